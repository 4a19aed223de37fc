// Package schedule decides which tasks to start where. It is pure: the
// replicated tables and what the leader knows of the workers come in, starts
// come out. Package dispatch commits and carries them out.
//
// Plan goes through the queues by urgency and through their jobs in order. A
// job that does not fit never holds up one behind it. Within what a worker
// must satisfy (Filter) the best one is taken (score).
package schedule
