// Package balance chooses the instance for a request: it counts the slots in
// use, spreads load over the instances of a service, ejects an instance that
// fails all requests and shares limits between entry VMs.
//
// Nothing here reads a clock or a random source: both are arguments. The types
// are not safe for concurrent use; the caller holds a lock.
package balance
