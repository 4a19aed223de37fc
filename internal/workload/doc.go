// Package workload is the replicated state of the work that callers submit:
// the configuration of queues, jobs with their steps and tasks, the workers
// that run tasks, and maintenance waves. It is a deterministic state machine:
// every core VM applies the same commands of the control log and holds the
// same tables.
//
// A job is a list of steps; a step is a number of identical tasks. A run is one
// start of a task on one worker, numbered by its attempt. A run is committed
// before it is sent to the worker, and stays in the tables until its end is
// committed or it is certain that it isn't running and never will (Release).
// The free capacity of a worker is its capacity less what its runs are charged
// for; a run that is being stopped is still charged.
//
// Package schedule decides what to start, package dispatch carries it out.
package workload
