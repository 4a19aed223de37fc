// Package registry keeps the upstreams that announced themselves, as soft
// state in memory, and spreads them between entry VMs.
//
// Announcements of one instance are ordered by (incarnation, sequence); leaving
// and withdrawal are sticky within an incarnation, so that a late or doubled
// message never brings back an instance that is on its way out. A record lives
// under a lease. Between entry VMs only the time that remains of a lease is
// sent, never an instant, because their clocks differ.
//
// Spreading has two parts. Deltas carry what was announced at this VM, in
// order of a local version that each peer acknowledges; an announcement that
// changes nothing but the lease costs a Renewal of a few bytes. A digest
// exchange then repairs whatever deltas missed.
//
// Nothing here reads a clock or a socket: time and messages are arguments.
// A Registry is safe for concurrent use.
package registry
