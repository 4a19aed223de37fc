package audit

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// BreakKind says what is wrong at one place of the trail.
type BreakKind string

const (
	// Gap: records are missing.
	Gap BreakKind = "gap"
	// Edit: a record does not fit the one before it.
	Edit BreakKind = "edit"
	// Unreadable: a line is no record.
	Unreadable BreakKind = "unreadable"
)

// Break is one place where the chain does not hold.
type Break struct {
	Kind BreakKind `json:"kind"`
	File string    `json:"file,omitempty"`
	Line int       `json:"line,omitempty"`
	// Sequence is that of the first record after the break; 0 when the line
	// can't be read.
	Sequence uint64 `json:"sequence,omitempty"`
	Detail   string `json:"detail"`
}

// Page is what one read returns.
type Page struct {
	Records []model.AuditRecord `json:"records"`
	// Next is where the next read goes on.
	Next uint64 `json:"next"`
	// Breaks are those found on the way.
	Breaks []Break `json:"breaks,omitempty"`
}

// link is the end of a chain that was checked so far.
type link struct {
	sequence uint64
	digest   string
	started  bool
	// expect is the sequence that the first record must have; 0 for any.
	expect uint64
}

// follow checks that a record goes on from the link, and moves to it. The
// first record of all has nothing before it to be checked against, unless it
// is number 1.
func (l *link) follow(r model.AuditRecord, file string, line int) *Break {
	before := *l
	*l = link{sequence: r.Sequence, digest: r.Digest, started: true}
	first := !before.started && r.Sequence != 1
	switch {
	case !before.started && before.expect != 0 && r.Sequence != before.expect:
		return &Break{Gap, file, line, r.Sequence, fmt.Sprintf("record %d stands where record %d belongs", r.Sequence, before.expect)}
	case first:
		return nil
	case r.Sequence != before.sequence+1:
		return &Break{Gap, file, line, r.Sequence, fmt.Sprintf("record %d follows record %d", r.Sequence, before.sequence)}
	case r.Digest != state.ChainDigest(before.digest, r):
		return &Break{Edit, file, line, r.Sequence, fmt.Sprintf("record %d does not fit the one before it", r.Sequence)}
	default:
		return nil
	}
}

// CheckRecords returns the breaks within records that follow one another.
func CheckRecords(records []model.AuditRecord) []Break {
	var l link
	var breaks []Break
	for _, r := range records {
		if b := l.follow(r, "", 0); b != nil {
			breaks = append(breaks, *b)
		}
	}
	return breaks
}

// encodeLine returns the record as a line of a file.
func encodeLine(r model.AuditRecord) ([]byte, error) {
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}

// decodeLine is the inverse of encodeLine. It refuses unknown members: they
// would be outside the digest.
func decodeLine(line []byte) (model.AuditRecord, error) {
	var r model.AuditRecord
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&r)
	return r, err
}
