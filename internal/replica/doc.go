// Package replica drives one voter of the control log: it joins the quorum
// core, the log on disk, the snapshots and the state machine.
//
// One duty owns the quorum core. Messages, proposals and requests reach it
// through bounded rings; it makes each step durable before it sends what
// follows from it, applies what is committed, and only then answers.
package replica
