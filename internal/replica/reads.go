package replica

import "github.com/comfreyloom/comfreyloom/internal/quorum"

type readOutcome struct {
	index uint64
	err   error
}

// reads holds the callers of ReadIndex that wait for a quorum. Those that
// arrive in one round of the driver share one request.
type reads struct {
	joining []chan readOutcome
	pending map[uint64][]chan readOutcome
	token   uint64
}

func newReads() *reads { return &reads{pending: map[uint64][]chan readOutcome{}} }

func (r *reads) join(done chan readOutcome) { r.joining = append(r.joining, done) }

// start sends the core one request for all callers that joined since the last
// call.
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
		reply(joined, readOutcome{err: notLeader})
	default:
		reply(joined, readOutcome{err: err})
	}
}

func (r *reads) confirmed(states []quorum.ReadState) {
	for _, s := range states {
		reply(r.pending[s.Token], readOutcome{index: s.Index})
		delete(r.pending, s.Token)
	}
}

// failAll returns an error to all waiting callers; the core drops read requests
// when leadership ends.
func (r *reads) failAll(err error) {
	for token, waiting := range r.pending {
		reply(waiting, readOutcome{err: err})
		delete(r.pending, token)
	}
	reply(r.joining, readOutcome{err: err})
	r.joining = nil
}

func reply(waiting []chan readOutcome, o readOutcome) {
	for _, done := range waiting {
		done <- o
	}
}
