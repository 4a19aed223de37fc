package state

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// auditEntry describes an accepted change for the audit trail.
type auditEntry struct {
	action  string
	subject string
	before  string
	after   string
	// cause is the reason of an action; if empty, the command's cause is recorded.
	cause string
}

// auditTail holds the newest records of the trail.
type auditTail struct {
	records []model.AuditRecord
	// sequence and digest are those of the last record appended.
	sequence uint64
	digest   string
}

// record appends an accepted change to the audit trail.
func (c *core) record(command *Command, e auditEntry) {
	cause := e.cause
	if cause == "" {
		cause = command.Cause
	}
	c.audit.append(model.AuditRecord{
		Sequence: c.audit.sequence + 1,
		At:       command.At,
		Actor:    truncateText(command.Actor),
		Action:   e.action,
		Subject:  truncateText(e.subject),
		Before:   truncateText(e.before),
		After:    truncateText(e.after),
		Cause:    truncateText(cause),
	})
}

func (t *auditTail) append(r model.AuditRecord) {
	r.Digest = ChainDigest(t.digest, r)
	t.sequence = r.Sequence
	t.digest = r.Digest
	if len(t.records) >= 2*AuditTail {
		t.records = append(make([]model.AuditRecord, 0, 2*AuditTail), t.newest()...)
	}
	t.records = append(t.records, r)
}

// newest returns the last AuditTail records. The underlying slice holds up to
// twice as many, so that dropping the oldest records is cheap on average.
func (t *auditTail) newest() []model.AuditRecord {
	return t.records[max(0, len(t.records)-AuditTail):]
}

// read returns at most limit records with a sequence of at least from.
func (t *auditTail) read(from uint64, limit int) []model.AuditRecord {
	records := t.newest()
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

// ChainDigest returns the digest of a record whose predecessor has the digest
// before: the hex SHA-256 of the encoded record with before in its digest field.
// Editing or dropping a record changes every later digest.
func ChainDigest(before string, r model.AuditRecord) string {
	r.Digest = before
	data, err := codec.Marshal(r)
	if err != nil {
		panic(err) // can't happen: an AuditRecord holds only numbers and strings
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
