// Package state is the replicated state machine: typed commands in,
// deterministic changes of immutable records out.
//
// Every VM applies the same commands in the same order and so holds the same
// tables. Nothing here reads a clock, a random number or a file: time comes
// in with each command.
package state
