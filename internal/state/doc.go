// Package state implements the replicated state machine: it applies typed
// commands as deterministic changes to tables of immutable records.
//
// Every VM applies the same commands in the same order and so holds the same
// tables. Nothing here reads a clock, a random number or a file: each command
// carries its time.
//
// A Machine has one applier (Apply, Restore) and any number of concurrent
// readers. Rows are replaced, never modified, so a View stays valid indefinitely.
package state
