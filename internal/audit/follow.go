package audit

import (
	"context"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Source is the part of the control log that the trail follows.
type Source interface {
	View() *state.View
	Audit(from uint64, limit int) []model.AuditRecord
	WaitApplied(ctx context.Context, index uint64) error
}

// Run checks the chain, then appends what the source makes until ctx ends. An
// error other than ctx's means that the trail can't be kept: the process must
// end, or changes would go on without a durable record at this VM.
func (t *Trail) Run(ctx context.Context, source Source, logger log.Interface) error {
	breaks, err := t.Verify()
	if err != nil {
		return err
	}
	report(logger, breaks)
	for {
		index := source.View().Index
		records := source.Audit(t.Last()+1, MaxRead)
		breaks, err := t.Append(records)
		if err != nil {
			return err
		}
		report(logger, breaks)
		if len(records) == MaxRead {
			continue
		}
		if err := source.WaitApplied(ctx, index+1); err != nil {
			return ctx.Err()
		}
	}
}

func report(logger log.Interface, breaks []Break) {
	for _, b := range breaks {
		logger.WithFields(log.Fields{
			"kind": b.Kind, "file": b.File, "line": b.Line, "sequence": b.Sequence,
		}).Error("audit trail is broken: " + b.Detail)
	}
}

// Tail reads the records that the state keeps, for VMs without a data folder.
type Tail struct{ Source Source }

// Read returns at most limit records from the sequence on.
func (t Tail) Read(from uint64, limit int) (Page, error) {
	records := t.Source.Audit(from, min(max(limit, 1), MaxRead))
	page := Page{Records: records, Next: from, Breaks: CheckRecords(records)}
	if len(records) > 0 {
		page.Next = records[len(records)-1].Sequence + 1
	}
	return page, nil
}
