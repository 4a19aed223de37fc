// Package wal is the write-ahead log of a voter: segments of checksummed
// records to which one record is appended and synced at a time.
//
// One Append is one record and one sync, however many entries it carries.
// Because a record is written only after the sync of the one before has
// succeeded, only the last record of the last segment can be torn by a crash;
// that tail is cut off. Any other record that cannot be read had been made
// durable once, so that promises depend on it: Open refuses the log then.
//
// A failed write or sync makes the log fail for good. The kernel may drop the
// pages of a failed sync and report success the next time, so a second sync
// proves nothing. For the same reason Open writes the last segment anew: what
// it read may have come from the page cache of a process whose sync failed.
package wal
