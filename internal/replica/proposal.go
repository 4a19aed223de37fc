package replica

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// proposal is a command on its way through the duty. Whoever changes its
// stage from waiting decides: the duty takes it, or the caller gives it up.
type proposal struct {
	data  []byte
	stage atomic.Int32
	// done gets exactly one outcome if the duty took the proposal.
	done chan outcome
}

const (
	stageWaiting int32 = iota
	stageTaken
	stageGivenUp
)

type outcome struct {
	result state.Result
	err    error
}

func newProposal(data []byte) *proposal {
	return &proposal{data: data, done: make(chan outcome, 1)}
}

func (p *proposal) take() bool   { return p.stage.CompareAndSwap(stageWaiting, stageTaken) }
func (p *proposal) giveUp() bool { return p.stage.CompareAndSwap(stageWaiting, stageGivenUp) }

func (p *proposal) finish(result state.Result, err error) {
	p.done <- outcome{result: result, err: err}
}

// Propose commits an encoded command at this leader and returns what applying
// it yields. The data must not be changed afterwards.
//
// Errors wrap state.ErrNotProposed (ErrNotLeader among them) when the command
// is not in the log, or state.ErrOutcomeUnknown when it was appended and this
// voter could not see what became of it.
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
	case <-r.ended:
		return r.afterEnd(p)
	}
}

// enqueue hands a proposal to the duty unless too many, or too large ones, wait.
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

func (r *Replica) abandon(p *proposal, cause error) (state.Result, error) {
	if p.giveUp() {
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

// afterEnd answers a proposal when no duty runs any more; those that it had
// taken were all finished.
func (r *Replica) afterEnd(p *proposal) (state.Result, error) {
	if p.giveUp() {
		return state.Result{}, fmt.Errorf("%w: the voter has stopped", state.ErrNotProposed)
	}
	o := <-p.done
	return o.result, o.err
}

// waiter is a proposal that stands in the log.
type waiter struct {
	*proposal
	term uint64
	// deadline is the tick at which the outcome is given up as unknown; 0
	// while this voter leads the waiter's term.
	deadline uint64
}

// waiters holds the proposals that stand in the log by index.
type waiters map[uint64]*waiter

// applied answers the waiter at index, if any. An entry of another term there
// means that the proposal was overwritten: it can never be committed.
func (w waiters) applied(index, term uint64, result state.Result) {
	waiting, ok := w[index]
	if !ok {
		return
	}
	delete(w, index)
	if waiting.term == term {
		waiting.finish(result, nil)
		return
	}
	waiting.finish(state.Result{}, fmt.Errorf("%w: another leader's entry took its place", state.ErrNotProposed))
}

// unknown answers all waiters that match with state.ErrOutcomeUnknown, and
// returns their number.
func (w waiters) unknown(why string, match func(index uint64, waiting *waiter) bool) int64 {
	var n int64
	for index, waiting := range w {
		if !match(index, waiting) {
			continue
		}
		delete(w, index)
		waiting.finish(state.Result{}, fmt.Errorf("%w: %s", state.ErrOutcomeUnknown, why))
		n++
	}
	return n
}
