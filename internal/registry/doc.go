// Package registry keeps the announced upstream instances as soft state in
// memory, and replicates them between entry VMs.
//
// Announcements of one instance are ordered by (incarnation, sequence). Leaving
// and withdrawal are sticky within an incarnation, so that a delayed or
// duplicated message never restores an instance that is leaving. A record is
// valid for the time of its lease. Entry VMs send each other only the remaining
// time of a lease, never an instant, because their clocks differ.
//
// Replication has two parts. Deltas carry the announcements received at this VM,
// ordered by a local version that each peer acknowledges; an announcement that
// only extends the lease is sent as a Renewal of a few bytes. A digest exchange
// then repairs what the deltas missed.
//
// Nothing here reads a clock or a socket: time and messages are arguments.
// A Registry is safe for concurrent use.
package registry
