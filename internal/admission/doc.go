// Package admission holds the requests that wait for a slot of a service: a
// bounded queue by priority, an estimate of when a slot comes, and quotas of
// teams.
//
// A request that can't start before its deadline by the measured rate is
// refused at once with the time to come back, and so is one that is shed when
// the queue is full. Nothing here reads a clock. The types are not safe for
// concurrent use; the caller holds a lock.
package admission
