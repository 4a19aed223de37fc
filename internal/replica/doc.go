// Package replica runs one voter of the control log: it connects the quorum
// core, the write-ahead log, the snapshots and the state machine.
//
// One goroutine, the driver, owns the quorum core. Messages, proposals and
// requests reach it through bounded rings. It makes each step durable before it
// sends the messages that depend on it, applies committed entries, and only
// then replies to proposers.
package replica
