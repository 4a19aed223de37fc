package replica

import (
	"context"
	"errors"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// Leadership is the leader, the term and the commit index of the control log as
// seen by this voter.
type Leadership struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads is set when this voter is the leader.
	Leads bool
	// Confirmed is set when this voter is the leader and received replies from a
	// quorum within its lease.
	Confirmed bool
}

// Status returns the quorum core's status as of the last round of the driver. A
// leader is Confirmed only while that status is recent: when the process was
// suspended, callers could read the old status before the driver has advanced
// the clock by the missed ticks, and act on a leader that was replaced long
// ago.
func (r *Replica) Status() quorum.Status {
	p := r.status.Load()
	s := p.status
	if r.config.Clock()-p.at > r.config.TickInterval*maxStatusAge(r.config.ElectionTicks) {
		s.Confirmed = false
	}
	return s
}

// Leadership returns the part of Status that is relevant outside the quorum.
func (r *Replica) Leadership() Leadership {
	s := r.Status()
	return Leadership{
		Leader:    datafolder.NodeOf(s.Leader),
		Term:      s.Term,
		Commit:    s.Commit,
		Leads:     s.Role == quorum.RoleLeader,
		Confirmed: s.Confirmed,
	}
}

// ResponsiveVoters returns the VMs of the other voters that answered this leader
// recently and keep up with its log, sorted; none if this voter does not lead.
func (r *Replica) ResponsiveVoters() []model.NodeID {
	if p := r.responsive.Load(); p != nil {
		return slices.Clone(*p)
	}
	return nil
}

func (d *driver) publishResponsiveVoters() {
	var nodes []model.NodeID
	for _, p := range d.raft.Peers() {
		if p.UnresponsiveTicks <= uint64(d.config.ElectionTicks/2) && !p.Snapshot {
			nodes = append(nodes, datafolder.NodeOf(p.ID))
		}
	}
	slices.Sort(nodes)
	d.responsive.Store(&nodes)
}

// ErrNoSuccessor is returned when no other voter can become leader, so that
// leadership stays.
var ErrNoSuccessor = errors.New("replica: no other voter can take over")

// TransferLeadership transfers leadership to the voter with the most complete
// log, and waits until this voter is no longer the leader. It returns nil at
// once when this voter is not the leader, ErrNoSuccessor, or the error of ctx.
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
		case <-r.stopped:
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
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReadIndex returns an index that covers everything committed before the call,
// after a quorum has confirmed that this voter is still the leader. Errors:
// ErrNotLeader, quorum.ErrBusy, the error of ctx.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	done := make(chan readOutcome, 1)
	if err := r.control(ctx, func(d *driver) { d.reads.join(done) }); err != nil {
		return 0, err
	}
	select {
	case o := <-done:
		return o.index, o.err
	case <-r.stopped:
		return 0, ErrNotLeader{}
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
