package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

const (
	// outcomeQueueSize bounds the outcomes that wait to be recorded.
	outcomeQueueSize = 1024
	// outcomeRecorders is how many outcomes are recorded concurrently; the
	// control log batches them into one write.
	outcomeRecorders = 32
	// recordTimeout bounds one attempt to record an outcome.
	recordTimeout = 5 * time.Second
	// recordRetryDelay is the delay between two attempts.
	recordRetryDelay = 100 * time.Millisecond
)

// claimedRequest is a request whose key must be claimed.
type claimedRequest struct {
	server  *Server
	request *request
	digest  []byte
	// incarnation identifies this claim alone. If it identified the process, a
	// late copy of an earlier outcome for the same key could settle a later
	// claim as not run while its request is in flight.
	incarnation uint64
	// granted reports that this process, and no other, may send the request.
	granted atomic.Bool
	// existing is the earlier claim that was found instead.
	existing *model.Claim
}

// claimOutcome is an outcome to be recorded.
type claimOutcome struct {
	key         model.RequestKey
	incarnation uint64
	// claim is set if it is unknown whether the claim was committed: that must
	// be resolved first, or a claim that is committed later would stay open.
	claim   *state.Command
	state   model.ClaimState
	verdict model.Verdict
	// stored is the response to store under the key; nil if there is none.
	stored *model.KeptAnswer
}

// outcome returns the outcome of a claimed request.
func (c *claimedRequest) outcome(resp *response, f *failure) claimOutcome {
	out := claimOutcome{key: c.request.key, incarnation: c.incarnation, state: model.ClaimSettled, verdict: model.Ran}
	switch {
	case f != nil && f.verdict == model.NotRun:
		out.verdict = model.NotRun
	case f != nil:
		out.state, out.verdict = model.ClaimUnknown, model.MayHaveRun
	default:
		out.stored = storedResponse(resp, c.server.limits.StoredResponseBytes)
	}
	return out
}

// storedResponse returns the response in the form in which it is stored. One
// that is too long, or has not ended yet, is stored without its body.
func storedResponse(resp *response, limit int64) *model.KeptAnswer {
	stored := &model.KeptAnswer{Status: resp.status, ContentType: resp.header.Get("Content-Type")}
	if resp.stream != nil || int64(len(resp.body)) > limit {
		stored.Dropped = true
		return stored
	}
	stored.Body = resp.body
	return stored
}

// enqueueOutcome passes an outcome to the tasks that record it. If the queue is
// full, the request waits, which slows down the claims that fill the queue.
func (s *Server) enqueueOutcome(out claimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	s.pending.begin(out.key)
	if err := s.outcomeQueue.Put(ctx, out); err != nil {
		// The claim stays open and ends as unknown after its deadline.
		s.pending.end(out.key)
		s.counters.recordErrors.Inc(1)
		s.unrecorded.Done()
	}
}

// runOutcomeRecorder records outcomes until ctx ends.
func (s *Server) runOutcomeRecorder(ctx context.Context) {
	for {
		out, err := s.outcomeQueue.Get(ctx)
		if err != nil {
			return
		}
		s.recordOutcome(ctx, out)
		s.pending.end(out.key)
		s.unrecorded.Done()
	}
}

// recordOutcome proposes the outcome, with one command ID, until it is applied.
func (s *Server) recordOutcome(ctx context.Context, out claimOutcome) {
	if out.claim != nil && !s.proposeClaim(ctx, *out.claim) {
		return
	}
	_, err := s.proposeUntilApplied(ctx, s.settleCommand(out, false))
	if err != nil {
		s.counters.recordErrors.Inc(1)
	}
}

// proposeClaim proposes the claim until its result is known and reports whether
// it was granted to this process.
func (s *Server) proposeClaim(ctx context.Context, command state.Command) bool {
	result, err := s.proposeUntilApplied(ctx, command)
	return err == nil && result.Claim != nil && result.Claim.Granted
}

func (s *Server) settleCommand(out claimOutcome, takeover bool) state.Command {
	return state.Command{
		ID:    model.CommandID("settle/" + uuid.NewString()),
		At:    model.InstantOf(s.Now()),
		Actor: "caller",
		SettleRequest: &state.SettleRequest{
			Key:         out.key,
			Owner:       s.Self,
			Incarnation: out.incarnation,
			State:       out.state,
			Verdict:     out.verdict,
			Answer:      out.stored,
			Takeover:    takeover,
		},
	}
}

// proposeUntilApplied proposes a command until it is applied or ctx ends.
func (s *Server) proposeUntilApplied(ctx context.Context, command state.Command) (state.Result, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		result, err := s.Log.Propose(attemptCtx, command)
		cancel()
		if err == nil || ctx.Err() != nil {
			return result, err
		}
		s.counters.recordErrors.Inc(1)
		steady.Pause(ctx, recordRetryDelay)
	}
}
