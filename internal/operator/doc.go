// Package operator implements the HTTP API for the operators of a site: they
// submit the manifest and read status, jobs, the audit trail and counters.
//
// Every response carries the verdict of its request: not-run guarantees that
// nothing changed, may-have-run means that the outcome is unknown and that
// sending the same manifest again is safe.
package operator
