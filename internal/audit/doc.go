// Package audit keeps the audit trail in files of the data folder: one JSON
// record a line, chained by digest, in files of bounded size and number.
//
// Records come from the replicated state, where apply makes them; the files
// keep more of them than the state does. The chain is checked at the start and
// at every read, and a gap, an edit or an unreadable line is reported as a
// Break with its place. A chain without a secret shows edits of the middle; an
// edit of the newest records shows because the state, which a quorum agrees
// on, makes the records that follow.
package audit
