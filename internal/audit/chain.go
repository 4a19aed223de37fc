package audit

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// ViolationKind is the kind of a Violation.
type ViolationKind string

const (
	// Gap means that records are missing.
	Gap ViolationKind = "gap"
	// Edit means that the digest of a record does not match the record before it.
	Edit ViolationKind = "edit"
	// Unreadable means that a line can't be decoded as a record.
	Unreadable ViolationKind = "unreadable"
)

// Violation describes one place where the chain of records is not intact.
type Violation struct {
	Kind ViolationKind `json:"kind"`
	File string        `json:"file,omitempty"`
	Line int           `json:"line,omitempty"`
	// Sequence is the number of the first record after the violation; 0 when the
	// line can't be decoded.
	Sequence uint64 `json:"sequence,omitempty"`
	Detail   string `json:"detail"`
}

// Page is the result of one read.
type Page struct {
	Records []model.AuditRecord `json:"records"`
	// Next is the sequence number from which the next read continues.
	Next uint64 `json:"next"`
	// Violations lists the violations found during the read.
	Violations []Violation `json:"breaks,omitempty"`
}

// chainEnd is the last record of the part of the chain that has been checked.
type chainEnd struct {
	sequence uint64
	digest   string
	started  bool
	// firstSequence is the sequence that the first record must have; 0 for any.
	firstSequence uint64
}

// advance checks that record r continues the chain and makes it the new end. The
// first record can't be checked against a previous one, unless its number is 1.
func (e *chainEnd) advance(r model.AuditRecord, file string, line int) *Violation {
	previous := *e
	*e = chainEnd{sequence: r.Sequence, digest: r.Digest, started: true}
	unverifiable := !previous.started && r.Sequence != 1
	switch {
	case !previous.started && previous.firstSequence != 0 && r.Sequence != previous.firstSequence:
		return &Violation{Gap, file, line, r.Sequence, fmt.Sprintf("record %d stands where record %d belongs", r.Sequence, previous.firstSequence)}
	case unverifiable:
		return nil
	case r.Sequence != previous.sequence+1:
		return &Violation{Gap, file, line, r.Sequence, fmt.Sprintf("record %d follows record %d", r.Sequence, previous.sequence)}
	case r.Digest != state.ChainDigest(previous.digest, r):
		return &Violation{Edit, file, line, r.Sequence, fmt.Sprintf("record %d does not fit the one before it", r.Sequence)}
	default:
		return nil
	}
}

// VerifyRecords returns the violations in a sequence of records.
func VerifyRecords(records []model.AuditRecord) []Violation {
	var end chainEnd
	var violations []Violation
	for _, r := range records {
		if v := end.advance(r, "", 0); v != nil {
			violations = append(violations, *v)
		}
	}
	return violations
}

// encodeLine encodes the record as a line of a file.
func encodeLine(r model.AuditRecord) ([]byte, error) {
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}

// decodeLine is the inverse of encodeLine. It refuses unknown members, because the
// digest would not cover them.
func decodeLine(line []byte) (model.AuditRecord, error) {
	var r model.AuditRecord
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&r)
	return r, err
}
