// Package operator serves the peers that operate a site: they hand in the
// manifest and read status, jobs, the audit trail and counters over HTTP.
//
// Every answer carries the verdict of its request: not-run promises that
// nothing changed, may-have-run says that the outcome is unknown and that
// sending the same manifest again is safe.
package operator
