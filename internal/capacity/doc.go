// Package capacity decides which VM serves which pool and when a VM is
// maintained. It is pure: the platform's list of VMs, the replicated tables
// and the demand of each pool come in; what to close, empty, move and maintain
// comes out. Package dispatch carries it out.
//
// A VM is only moved or maintained when nothing is committed on its worker.
// Closing a worker keeps new work off it until then; lasting tasks are evicted
// one after the other within the bound of their step.
package capacity
