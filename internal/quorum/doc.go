// Package quorum is the replication protocol of the control log as a pure
// state machine: messages and ticks come in, messages, entries to store and
// committed entries come out. It has no goroutine, socket, file or clock.
//
// The caller loops: Step or Tick or Propose, then Ready; it stores HardState,
// Snapshot and Entries durably, only then sends Messages, then applies
// Committed, and calls Advance. Messages whose Promises is false may be sent
// while storing.
//
// A voter that lost its disk comes back under another ID, empty, and the
// leader removes the old ID and adds the new one. The first voter of a site
// starts from a snapshot under FoundingMeta; all others start empty.
//
// Time is counted in ticks of a monotonic clock that goes on while the
// process is suspended. Ticks that are due come before messages that have
// arrived: a message that waited while the process was suspended would
// otherwise count as heard after the suspension, and then the ticks that
// make up for it as time since.
package quorum
