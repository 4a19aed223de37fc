// Package workload is the replicated state of the work that callers hand in:
// the configuration of queues, jobs with their steps and tasks, the workers
// that run tasks, and maintenance waves. It is a pure state machine: commands
// of the control log come in, tables change, the same on every core VM.
//
// A job is a list of steps; a step is a number of equal tasks. A run is one
// start of a task on one worker, numbered by its attempt. A run is committed
// here before the worker is told of it, and stays here until its end was
// committed or it is certain that it neither runs nor ever will (Release).
// The room of a worker is what its runs leave; a run that is being stopped
// still takes room.
//
// Package schedule decides what to start, package dispatch carries it out.
package workload
