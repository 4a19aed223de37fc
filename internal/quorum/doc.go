// Package quorum implements the Raft consensus protocol of the control log as
// a pure state machine: its inputs are messages, proposals and ticks, its
// outputs are messages to send, entries to store and committed entries to
// apply. It uses no goroutine, socket, file or clock.
//
// The caller runs a loop: it calls Step, Tick or Propose and then Ready. It
// stores HardState, Snapshot and Entries durably, only then sends Messages,
// then applies Committed and calls Advance. Messages whose RequiresSync is false
// may be sent while storing is in progress.
//
// A voter that lost its disk restarts empty under a new ID; the leader then
// removes the old ID and adds the new one. The first voter of a site starts
// from a snapshot with FoundingMeta; all other voters start empty.
//
// Time is counted in ticks of a monotonic clock that continues while the
// process is suspended. After a suspension the caller must deliver the missed
// ticks before the messages that arrived meanwhile. Otherwise an old message
// would count as received after the suspension, and the missed ticks as time
// that passed since.
package quorum
