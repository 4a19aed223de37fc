// Package state is the replicated state machine: typed commands in,
// deterministic changes of immutable records out.
//
// Every VM applies the same commands in the same order and so holds the same
// tables. Nothing here reads a clock, a random number or a file: time comes
// in with each command.
//
// A Machine has one applier (Apply, Restore) and any number of readers. Rows
// are replaced, never changed, so a View stays valid for as long as it is kept.
package state
