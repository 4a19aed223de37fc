// Package member assembles one process of a site whose VMs discover each other
// from a few seeds. An entry VM serves callers and forwards their requests to the
// leader. A core VM holds a replica of the control log and serves operators and
// workers; while it leads, it also makes the decisions and sends the orders.
//
// The handlers of external requests and the clients for external calls are passed
// to New; this package depends on no external names or formats.
package member
