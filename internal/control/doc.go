// Package control carries requests of callers, operators and workers to the
// leader, from whichever VM they arrive at.
//
// Directory holds the known core VMs, beginning with the seeds of the settings,
// and the leader. Client sends requests to the leader and retries at other core
// VMs; all requests are idempotent, so that a lost reply has no second effect.
// Server handles the calls on a core VM: the leader processes a request, the
// others name the leader.
package control
