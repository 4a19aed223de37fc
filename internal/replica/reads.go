package replica

import "github.com/comfreyloom/comfreyloom/internal/quorum"

type readOutcome struct {
	index uint64
	err   error
}

// reads holds the readers that wait for the quorum. Those that come in one
// round of the duty share one request.
type reads struct {
	joining []chan readOutcome
	pending map[uint64][]chan readOutcome
	token   uint64
}

func newReads() *reads { return &reads{pending: map[uint64][]chan readOutcome{}} }

func (r *reads) join(done chan readOutcome) { r.joining = append(r.joining, done) }

// start asks the core for all that joined since the last call.
func (r *reads) start(raft *quorum.Raft, notLeader error) {
	if len(r.joining) == 0 {
		return
	}
	joined := r.joining
	r.joining = nil
	r.token++
	switch err := raft.ReadIndex(r.token); err {
	case nil:
		r.pending[r.token] = joined
	case quorum.ErrNotLeader:
		answer(joined, readOutcome{err: notLeader})
	default:
		answer(joined, readOutcome{err: err})
	}
}

func (r *reads) confirmed(states []quorum.ReadState) {
	for _, s := range states {
		answer(r.pending[s.Token], readOutcome{index: s.Index})
		delete(r.pending, s.Token)
	}
}

// fail answers everybody; the core forgets reads when leadership ends.
func (r *reads) fail(err error) {
	for token, waiting := range r.pending {
		answer(waiting, readOutcome{err: err})
		delete(r.pending, token)
	}
	answer(r.joining, readOutcome{err: err})
	r.joining = nil
}

func answer(waiting []chan readOutcome, o readOutcome) {
	for _, done := range waiting {
		done <- o
	}
}
