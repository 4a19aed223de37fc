package relay

import (
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// callKind is the kind of a call to a worker.
type callKind uint8

const (
	callStart callKind = iota + 1
	callStop
	callHold
	callPace
)

// call is a call to a worker. Fields that its kind does not use are zero.
type call struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the call within its session.
	ID      uint64
	Kind    callKind
	Worker  workload.WorkerID
	Address string
	// TimeoutMS is how long the call may take from its arrival at the relay.
	TimeoutMS int64
	Fence     uint64
	Run       workload.RunRef
	// Payload, Checkpoint and Ticket are those of a start, LeaseUntilMS that of a
	// start or a hold.
	Payload, Checkpoint, Ticket string
	LeaseUntilMS                int64
	// Acked and WaitMS are those of a hold, Percent that of a pace.
	Acked   uint64
	WaitMS  int64
	Percent int
}

func (c *call) target() workers.Target { return workers.Target{ID: c.Worker, Address: c.Address} }

func (c *call) startOrder() workers.StartOrder {
	return workers.StartOrder{
		Run: c.Run, Payload: c.Payload, Checkpoint: c.Checkpoint, Ticket: c.Ticket,
		LeaseUntilMS: c.LeaseUntilMS, Fence: c.Fence,
	}
}

func (c *call) holdOrder() workers.HoldOrder {
	return workers.HoldOrder{LeaseUntilMS: c.LeaseUntilMS, Fence: c.Fence, Acked: c.Acked, WaitMS: c.WaitMS}
}

// reply is the outcome of a call.
type reply struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Error is the text of the call's error, empty if the worker replied; Verdict and
	// NotListening are those of workers.CallError.
	Error        string
	Verdict      model.Verdict
	NotListening bool
	Refusal      workers.Refusal
	ClockMS      int64
	Running      []runRow
	Ends         []workload.End
	// MoreEnds, EndsAfterGap and UnreadableRows are those of workers.List.
	MoreEnds                     bool
	EndsAfterGap, UnreadableRows int
}

// runRow is a workers.RunStatus.
type runRow struct {
	_          struct{} `cbor:",toarray"`
	Run        workload.RunRef
	Checkpoint string
	Percent    int
	Load       int64
}

// newReply returns the reply to a call; the list holds no rows unless it is the
// reply to a hold.
func newReply(id uint64, list workers.List, err error) reply {
	r := reply{
		ID: id, Refusal: list.Refusal, ClockMS: list.ClockMS, Ends: list.Ends,
		MoreEnds: list.MoreEnds, EndsAfterGap: list.EndsAfterGap, UnreadableRows: list.UnreadableRows,
	}
	for _, run := range list.Running {
		r.Running = append(r.Running, runRow{Run: run.Run, Checkpoint: run.Checkpoint, Percent: run.Percent, Load: run.Load})
	}
	if err != nil {
		r.Error, r.Verdict, r.NotListening = err.Error(), verdictOf(err), workers.NotListening(err)
	}
	return r
}

// verdictOf returns the verdict of a call's error. One that is not known may have
// run.
func verdictOf(err error) model.Verdict {
	var failed *workers.CallError
	if errors.As(err, &failed) {
		return failed.Verdict
	}
	return model.MayHaveRun
}

// list returns what the worker replied.
func (r *reply) list() (workers.List, error) {
	if r.Error != "" {
		return workers.List{}, &workers.CallError{Verdict: r.Verdict, NotListening: r.NotListening, Err: errors.New(r.Error)}
	}
	l := workers.List{
		Reply: workers.Reply{Refusal: r.Refusal, ClockMS: r.ClockMS}, Ends: r.Ends,
		MoreEnds: r.MoreEnds, EndsAfterGap: r.EndsAfterGap, UnreadableRows: r.UnreadableRows,
	}
	for _, row := range r.Running {
		l.Running = append(l.Running, workers.RunStatus{Run: row.Run, Checkpoint: row.Checkpoint, Percent: row.Percent, Load: row.Load})
	}
	return l, nil
}
