// Package platform talks to the platform that owns the VMs: it lists VMs,
// workers and tasks by cursor and sends commands for VMs and tasks.
//
// Every command has a stable ID and a fence, so that sending it twice has the
// effect of once and a command of an older decision is refused. The endpoints
// are described in docs/interface/platform.md.
package platform
