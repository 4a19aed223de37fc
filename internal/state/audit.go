package state

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// entry is an accepted change as apply describes it for the audit trail.
type entry struct {
	action  string
	subject string
	before  string
	after   string
	// cause is the reason of an action; the command's cause when empty.
	cause string
}

// auditTail holds the newest records of the trail.
type auditTail struct {
	records []model.AuditRecord
	// sequence and digest are those of the last record ever made.
	sequence uint64
	digest   string
}

// record adds an accepted change to the audit trail.
func (c *core) record(command *Command, e entry) {
	cause := e.cause
	if cause == "" {
		cause = command.Cause
	}
	c.audit.append(model.AuditRecord{
		Sequence: c.audit.sequence + 1,
		At:       command.At,
		Actor:    clip(command.Actor),
		Action:   e.action,
		Subject:  clip(e.subject),
		Before:   clip(e.before),
		After:    clip(e.after),
		Cause:    clip(cause),
	})
}

func (t *auditTail) append(r model.AuditRecord) {
	r.Digest = ChainDigest(t.digest, r)
	t.sequence = r.Sequence
	t.digest = r.Digest
	if len(t.records) >= 2*AuditTail {
		t.records = append(make([]model.AuditRecord, 0, 2*AuditTail), t.kept()...)
	}
	t.records = append(t.records, r)
}

// kept returns the last AuditTail records. The slice behind it holds up to
// twice as many, so that dropping the oldest costs little.
func (t *auditTail) kept() []model.AuditRecord {
	return t.records[max(0, len(t.records)-AuditTail):]
}

func (t *auditTail) read(from uint64, limit int) []model.AuditRecord {
	records := t.kept()
	limit = min(limit, MaxAuditRead)
	if len(records) == 0 || limit <= 0 {
		return nil
	}
	first := records[0].Sequence
	if from > first {
		records = records[min(from-first, uint64(len(records))):]
	}
	return append([]model.AuditRecord(nil), records[:min(limit, len(records))]...)
}

// ChainDigest returns the digest of a record that follows the one with the
// digest before: hex SHA-256 of the encoded record with before in its place.
// Editing or dropping a record changes every digest after it.
func ChainDigest(before string, r model.AuditRecord) string {
	r.Digest = before
	data, err := codec.Marshal(r)
	if err != nil {
		panic(err) // an AuditRecord holds only numbers and texts
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
