package replica

import (
	"errors"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// processMessages passes the waiting messages to the quorum core.
func (d *driver) processMessages() error {
	for range d.messages.Len() {
		batch, ok := d.messages.TryGet()
		if !ok {
			return nil
		}
		for _, m := range batch {
			if err := d.step(m); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *driver) step(m quorum.Message) error {
	err := d.raft.Step(m)
	if err == nil {
		return nil
	}
	if errors.Is(err, quorum.ErrDiverged) {
		return err
	}
	d.counters.messagesRefused.Inc(1)
	return nil
}

// runControls runs the functions that other goroutines queued for the driver.
func (d *driver) runControls() {
	for range d.controls.Len() {
		if f, ok := d.controls.TryGet(); ok {
			f(d)
		}
	}
}

// processProposals appends every proposal that arrived during the last sync;
// they all share the next one.
func (d *driver) processProposals() {
	for range d.proposals.Len() {
		p, ok := d.proposals.TryGet()
		if !ok {
			return
		}
		d.pending.Add(-int64(len(p.data)))
		if p.accept() {
			d.propose(p)
		}
	}
}

func (d *driver) propose(p *proposal) {
	index, term, err := d.raft.Propose(p.data)
	switch {
	case err == nil:
		d.counters.proposals.Inc(1)
		d.waiters[index] = &waiter{proposal: p, term: term}
		return
	case errors.Is(err, quorum.ErrNotLeader):
		err = d.notLeaderError()
	default:
		err = fmt.Errorf("%w: %w", state.ErrNotProposed, err)
	}
	d.counters.refused.Inc(1)
	p.complete(state.Result{}, err)
}

func (d *driver) notLeaderError() error {
	return ErrNotLeader{Leader: datafolder.NodeOf(d.raft.Status().Leader)}
}
