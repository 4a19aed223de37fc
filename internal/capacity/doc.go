// Package capacity decides which VM serves which pool and when a VM is
// maintained. It performs no I/O: its input is the platform's list of VMs, the
// replicated tables and the demand of each pool, its output which VMs to close,
// drain, move and maintain. Package dispatch carries that out.
//
// A VM is only moved or maintained when nothing is committed on its worker.
// Closing a worker keeps new work off it until then; long-running tasks are
// evicted one at a time within the bound of their step.
package capacity
