// Package audit stores the audit trail in files of the data folder: one JSON
// record per line, chained by digest, in files of bounded size and number.
//
// Records are created when commands are applied to the replicated state; the files
// keep more of them than the state does. The chain is checked at startup and at
// every read, and a gap, an edit or an unreadable line is reported as a Violation
// with its location. The chain uses no secret key: by itself it detects edits before
// the newest records. Edits of the newest records are detected because the records
// that follow come from the state, which a quorum agrees on.
package audit
