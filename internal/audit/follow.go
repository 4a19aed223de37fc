package audit

import (
	"context"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Source is the part of the control log from which the trail reads records.
type Source interface {
	View() *state.View
	Audit(from uint64, limit int) []model.AuditRecord
	WaitApplied(ctx context.Context, index uint64) error
}

// Run checks the chain and then appends the records of the source until ctx ends.
// An error other than that of ctx means that the trail can't be written: the
// process must end, otherwise changes would continue without a durable record on
// this VM.
func (t *Trail) Run(ctx context.Context, source Source, logger log.Interface) error {
	violations, err := t.Verify()
	if err != nil {
		return err
	}
	logViolations(logger, violations)
	for {
		index := source.View().Index
		records := source.Audit(t.Last()+1, MaxRead)
		violations, err := t.Append(records)
		if err != nil {
			return err
		}
		logViolations(logger, violations)
		if len(records) == MaxRead {
			continue
		}
		if err := source.WaitApplied(ctx, index+1); err != nil {
			return ctx.Err()
		}
	}
}

func logViolations(logger log.Interface, violations []Violation) {
	for _, v := range violations {
		logger.WithFields(log.Fields{
			"kind": v.Kind, "file": v.File, "line": v.Line, "sequence": v.Sequence,
		}).Error("audit trail is broken: " + v.Detail)
	}
}

// StateReader reads the newest records, which the state keeps, for VMs without a
// data folder.
type StateReader struct{ Source Source }

// Read returns at most limit records, starting at sequence from.
func (r StateReader) Read(from uint64, limit int) (Page, error) {
	records := r.Source.Audit(from, min(max(limit, 1), MaxRead))
	page := Page{Records: records, Next: from, Violations: VerifyRecords(records)}
	if len(records) > 0 {
		page.Next = records[len(records)-1].Sequence + 1
	}
	return page, nil
}
