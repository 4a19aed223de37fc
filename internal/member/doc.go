// Package member wires one process of a site whose VMs find each other from a
// few seeds: an entry VM, which answers callers and asks the leader, or a core
// VM, which holds the control log, answers operators and workers, and when it
// leads decides and gives orders.
//
// What arrives from outside and what leaves is given to New as handlers and
// calls; this package knows no outside names or formats.
package member
