package replica

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// Standing is how this voter sees the control log.
type Standing struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads says that this voter is the leader.
	Leads bool
	// Confirmed says that this voter leads and heard from a quorum within its lease.
	Confirmed bool
}

// Status returns the quorum core's view as of the duty's last round. A
// leader is Confirmed only while that round is fresh: after the process was
// stopped for a while others could read the old status before the duty lets
// the missed ticks pass, and act as a leader that was long replaced.
func (r *Replica) Status() quorum.Status {
	p := r.status.Load()
	s := p.status
	if r.config.Clock()-p.at > r.config.TickEvery*freshTicks(r.config.ElectionTicks) {
		s.Confirmed = false
	}
	return s
}

// Standing returns Status in the terms of those outside the quorum.
func (r *Replica) Standing() Standing {
	s := r.Status()
	return Standing{
		Leader:    datafolder.NodeOf(s.Leader),
		Term:      s.Term,
		Commit:    s.Commit,
		Leads:     s.Role == quorum.RoleLeader,
		Confirmed: s.Confirmed,
	}
}

// ErrNoSuccessor says that no other voter answers, so that leadership stays.
var ErrNoSuccessor = errors.New("replica: no other voter can take over")

// TransferLeadership hands leadership to the voter that is furthest, and
// waits until this voter no longer leads. It returns nil at once when it does
// not lead, ErrNoSuccessor, or the error of ctx.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	for {
		changed := r.notify.wait()
		if r.Status().Role != quorum.RoleLeader {
			return nil
		}
		if err := r.startTransfer(ctx); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-r.ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Replica) startTransfer(ctx context.Context) error {
	done := make(chan error, 1)
	if err := r.control(ctx, func(d *driver) { done <- d.transfer() }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-r.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReadIndex returns an index that covers everything committed before the
// call, once a quorum confirmed that this voter still leads. Errors:
// ErrNotLeader, quorum.ErrBusy, the error of ctx.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	done := make(chan readOutcome, 1)
	if err := r.control(ctx, func(d *driver) { d.reads.join(done) }); err != nil {
		return 0, err
	}
	select {
	case o := <-done:
		return o.index, o.err
	case <-r.ended:
		return 0, ErrNotLeader{}
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
