// Package dispatch carries out on the leader what the tables of package
// workload say: it orders runs on workers and stops them, keeps their leases,
// takes note of their ends, and has package schedule decide what comes next.
//
// Lead is entered with a term, which is the fence of every order. A round
// reads the tables and what the workers listed, commits what follows from
// both, and leaves the calls to a link, one for each worker. Orders follow
// from the tables alone: a run that is committed and that the worker does not
// list is ordered, whoever committed it. So a new leader picks up where the
// last one was, and a lost answer is asked for again.
//
// A run leaves the tables only when it is certain that it does not run: its
// end was listed, or a list that was asked for after the answer to its order
// does not hold it, or every lease that its worker can have has passed, or
// another incarnation answered in its place.
package dispatch
