// Package dispatch carries out on the leader what the replicated state of
// package workload holds: it starts and stops runs on workers, renews their
// leases, records their ends, and has package schedule decide what to start
// next.
//
// A leader acts within one term, which is the fence of every order. A round
// reads the state and the lists of the workers, commits what follows from both,
// and leaves the calls to one link per worker. Orders follow from the state
// alone: a run that is committed but not listed by its worker is ordered,
// whichever leader committed it. So a new leader continues where the previous
// one stopped, and an order whose answer was lost is sent again.
//
// A run is removed from the state only when it is certain that it does not run:
// its end was listed, or a list requested after the reply to its order lacks
// it, or every lease that its worker can hold has expired, or another
// incarnation answered in the worker's place.
package dispatch
