// Package wave runs maintenance waves over the pools: it decides which VMs are
// drained next, which of their tasks are stopped, and when a permit enters its
// next phase.
//
// A permit is committed before any command is sent. It goes from granted to
// draining, to rebooting once nothing runs on the VM, to soaking once the
// platform reports another boot ID, and ends once the VM has soaked and takes
// work again. Each step reads only the state and the platform's list, so a new
// leader continues where the last one stopped and reboots no VM twice.
//
// The package is pure: it has no clock, no I/O and no state between rounds.
package wave
