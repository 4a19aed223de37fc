// Package platform is the client of the platform that owns the VMs. It lists the
// changes of VMs, workers and tasks since a cursor and sends commands for VMs and
// tasks.
//
// Every command has a stable ID and a fence: a repeated command takes effect only
// once, and a command of an earlier decision is refused. The endpoints are
// described in docs/interface/platform.md.
package platform
