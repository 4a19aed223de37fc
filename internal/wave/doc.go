// Package wave carries maintenance through the pools: it chooses which VMs
// are drained next, what becomes of their work, and when a permit goes on to
// its next phase.
//
// A permit is committed before any command. It goes from granted to draining,
// to rebooting once nothing runs on the VM, to soaking once the platform shows
// another boot ID, and ends once the VM soaked and takes work again. Each step
// reads only the state and what the platform lists, so a new leader goes on
// where the last one stopped, and reboots no VM a second time.
//
// The package is pure.
package wave
