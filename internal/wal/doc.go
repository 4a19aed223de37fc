// Package wal is the write-ahead log of a voter: segments of checksummed
// records, to which one record at a time is appended and synced.
//
// One Append writes one record with one sync, however many entries it carries.
// A record is written only after the sync of the previous one has succeeded, so
// a crash can tear only the last record of the last segment; that torn tail is
// cut off. Any other unreadable record had been made durable before, and the
// voter may have acknowledged it: Open then returns an error.
//
// After a failed write or sync the log is permanently failed. The kernel may
// drop the pages of a failed sync and report success the next time, so a second
// sync proves nothing. For the same reason Open rewrites the last segment: what
// it read may come from the page cache, left there by a process whose sync
// failed.
package wal
