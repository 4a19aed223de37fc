package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// proposal is a command that waits for its outcome. Whoever changes its stage
// from waiting owns it: the driver accepts it, or the caller withdraws it.
type proposal struct {
	data  []byte
	stage atomic.Int32
	// done receives exactly one outcome if the driver accepted the proposal.
	done chan outcome
}

const (
	stageWaiting int32 = iota
	stageAccepted
	stageWithdrawn
)

type outcome struct {
	result state.Result
	err    error
}

func newProposal(data []byte) *proposal {
	return &proposal{data: data, done: make(chan outcome, 1)}
}

func (p *proposal) accept() bool   { return p.stage.CompareAndSwap(stageWaiting, stageAccepted) }
func (p *proposal) withdraw() bool { return p.stage.CompareAndSwap(stageWaiting, stageWithdrawn) }

func (p *proposal) complete(result state.Result, err error) {
	p.done <- outcome{result: result, err: err}
}

// Propose commits an encoded command through this leader and returns the result
// of applying it. The data must not be modified afterwards.
//
// Errors wrap state.ErrNotProposed (including ErrNotLeader) when the command is
// not in the log, or state.ErrOutcomeUnknown when it was appended but this
// voter could not learn whether it was committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (state.Result, error) {
	if len(data) > r.config.MaxProposalBytes {
		return state.Result{}, fmt.Errorf("%w: %d bytes are above the limit of %d",
			state.ErrNotProposed, len(data), r.config.MaxProposalBytes)
	}
	p := newProposal(data)
	if err := r.enqueue(p); err != nil {
		r.counters.refused.Inc(1)
		return state.Result{}, fmt.Errorf("%w: %w", state.ErrNotProposed, err)
	}
	r.wakeUp()
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return r.abandon(p, ctx.Err())
	case <-r.stopped:
		return r.outcomeAfterStop(p)
	}
}

// enqueue queues a proposal for the driver unless too many proposals, or too
// many bytes, are waiting.
func (r *Replica) enqueue(p *proposal) error {
	size := int64(len(p.data))
	if r.pending.Add(size) > int64(r.config.MaxPendingBytes) && size > 0 {
		r.pending.Add(-size)
		return quorum.ErrBusy
	}
	err := r.proposals.TryPut(p)
	if err != nil {
		r.pending.Add(-size)
	}
	return err
}

// abandon returns the outcome of a proposal whose caller stops waiting.
func (r *Replica) abandon(p *proposal, cause error) (state.Result, error) {
	if p.withdraw() {
		return state.Result{}, fmt.Errorf("%w: %w", state.ErrNotProposed, cause)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		r.counters.unknown.Inc(1)
		return state.Result{}, fmt.Errorf("%w: %w", state.ErrOutcomeUnknown, cause)
	}
}

// outcomeAfterStop returns the outcome of a proposal after the driver ended; it
// completed every proposal that it had accepted.
func (r *Replica) outcomeAfterStop(p *proposal) (state.Result, error) {
	if p.withdraw() {
		return state.Result{}, fmt.Errorf("%w: the voter has stopped", state.ErrNotProposed)
	}
	o := <-p.done
	return o.result, o.err
}

// waiter is a proposal that was appended to the log.
type waiter struct {
	*proposal
	term uint64
	// deadline is the tick at which the outcome is reported as unknown; 0 while
	// this voter is the leader of the waiter's term.
	deadline uint64
}

// waiters holds the appended proposals by index.
type waiters map[uint64]*waiter

// applied completes the waiter at index, if any. An entry of another term at
// that index means that the proposal was overwritten and can never be
// committed.
func (w waiters) applied(index, term uint64, result state.Result) {
	waiting, ok := w[index]
	if !ok {
		return
	}
	delete(w, index)
	if waiting.term == term {
		waiting.complete(result, nil)
		return
	}
	waiting.complete(state.Result{}, fmt.Errorf("%w: another leader's entry took its place", state.ErrNotProposed))
}

// unknown completes all matching waiters with state.ErrOutcomeUnknown and
// returns their number.
func (w waiters) unknown(reason string, match func(index uint64, waiting *waiter) bool) int64 {
	var n int64
	for index, waiting := range w {
		if !match(index, waiting) {
			continue
		}
		delete(w, index)
		waiting.complete(state.Result{}, fmt.Errorf("%w: %s", state.ErrOutcomeUnknown, reason))
		n++
	}
	return n
}
