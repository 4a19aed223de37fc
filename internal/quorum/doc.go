// Package quorum is the replication protocol of the control log as a pure
// state machine: messages and ticks come in, messages, entries to store and
// committed entries come out. It has no goroutine, socket, file or clock.
//
// The caller loops: Step or Tick or Propose, then Ready; it stores HardState,
// Snapshot and Entries durably, only then sends Messages, then applies
// Committed, and calls Advance.
package quorum
