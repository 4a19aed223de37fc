// Package admission decides which requests wait for a slot of a service. It has
// a bounded priority queue, an estimate of when a slot becomes free, and quotas
// of teams.
//
// A request is refused at once, with the time after which to retry, when the
// measured rate shows that it can't start before its deadline, or when it is
// shed because the queue is full. No code in this package reads a clock. The
// types are not safe for concurrent use; their user holds a lock.
package admission
