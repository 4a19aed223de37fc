// Package control is how requests of callers, operators and workers reach the
// leader, from whichever VM they arrive at.
//
// Directory knows the core VMs, beginning with the seeds of the settings, and
// who leads. Client asks the leader and tries again elsewhere; all requests
// are idempotent, so that a lost answer has no second effect. Server answers
// on a core VM: the leader by its Desk, the others by naming the leader.
package control
