package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

// A non-idempotent request with a key is served in this order:
//
//  1. if the key's claim is known here, the response is built from the claim;
//  2. a slot is acquired, so that overload never reaches the control log;
//  3. the key is claimed in the control log; exactly one claim is granted;
//  4. the owner of the claim, and no other process, sends the request;
//  5. the caller gets the response, and the outcome is recorded in the
//     background.
//
// A crash after step 3 leaves a claim without an outcome. That request is not
// sent again: the claim ends as unknown, and the caller gets may-have-run.

// forwardKeyed serves a non-idempotent request with a key.
func (s *Server) forwardKeyed(w http.ResponseWriter, r *http.Request, q *request) {
	if !q.body.fullyBuffered() {
		w.Header().Set("Connection", "close")
		s.writeFailure(w, q.id, tooLarge(s.limits.KeyedBodyBytes))
		return
	}
	digest := q.digest()
	if known := s.Log.Claim(q.key); known != nil && !reclaimable(known) {
		s.respondFromClaim(w, r, q.id, known, digest)
		return
	}
	if !s.breaker.allow(s.Now()) {
		s.writeFailure(w, q.id, overloaded(messageNoClaims, time.Second))
		return
	}
	c := &claimedRequest{server: s, request: q, digest: digest, incarnation: rand.Uint64()}
	q.beforeSend = c.acquireClaim
	q.responseLimit = max(q.responseLimit, s.limits.StoredResponseBytes)
	// A claimed request continues when its caller disconnects: the response
	// is stored for a later resend or look-up.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), q.deadline)
	defer cancel()
	stop := context.AfterFunc(r.Context(), func() {
		if !c.granted.Load() {
			cancel()
		}
	})
	defer stop()
	resp, f := s.run(ctx, q)
	if c.existing != nil {
		s.respondFromClaim(w, r, q.id, c.existing, digest)
		return
	}
	if c.granted.Load() {
		s.recordOutcomeOnEnd(c, resp, f)
	}
	s.respond(w, r, q, resp, f)
}

// recordOutcomeOnEnd records the outcome: at once if it is known, otherwise
// when the response ends.
func (s *Server) recordOutcomeOnEnd(c *claimedRequest, resp *response, f *failure) {
	s.unrecorded.Add(1)
	if resp == nil || resp.stream == nil {
		s.enqueueOutcome(c.outcome(resp, f))
		return
	}
	resp.readToEnd = true
	release := resp.onEnd
	resp.onEnd = func(whole bool) {
		release(whole)
		out := c.outcome(resp, f)
		if !whole {
			out = claimOutcome{key: out.key, incarnation: out.incarnation, state: model.ClaimUnknown, verdict: model.MayHaveRun}
		}
		s.enqueueOutcome(out)
	}
}

// digest identifies what a key was used for: service, method, path and body.
func (q *request) digest() []byte {
	h := sha256.New()
	for _, part := range []string{string(q.service.ID), q.method, q.url.RequestURI()} {
		writeLengthPrefixed(h, []byte(part))
	}
	writeLengthPrefixed(h, q.body.buffered)
	return h.Sum(nil)
}

// writeLengthPrefixed writes the length before the part, so that no two lists
// of parts produce the same bytes.
func writeLengthPrefixed(w io.Writer, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = w.Write(length[:])
	_, _ = w.Write(part)
}

// reclaimable reports whether a claim is settled as not run: its key may be
// claimed again.
func reclaimable(c *model.Claim) bool {
	return c.State == model.ClaimSettled && c.Verdict == model.NotRun
}

// claimCommand builds the command; its ID makes proposing it again harmless.
func (c *claimedRequest) claimCommand() state.Command {
	q := c.request
	return state.Command{
		ID:    model.CommandID("claim/" + uuid.NewString()),
		At:    model.InstantOf(c.server.Now()),
		Actor: "caller",
		ClaimRequest: &state.ClaimRequest{Claim: model.Claim{
			Key:         q.key,
			Service:     q.service.ID,
			Digest:      c.digest,
			Owner:       c.server.Self,
			Incarnation: c.incarnation,
			State:       model.ClaimRunning,
			Claimed:     model.InstantOf(c.server.Now()),
			Deadline:    model.InstantOf(q.deadline),
		}},
	}
}

// acquireClaim claims the key before the first byte is sent. For a retry of the
// same request the claim is already granted.
func (c *claimedRequest) acquireClaim(ctx context.Context) *failure {
	if c.granted.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.server.limits.ClaimTimeout)
	defer cancel()
	command := c.claimCommand()
	result, err := c.propose(ctx, command)
	c.server.breaker.record(c.server.Now(), err == nil)
	switch {
	case errors.Is(err, state.ErrNotProposed):
		return overloaded(messageNoClaims, time.Second)
	case err != nil:
		// Nothing is sent, so not-run is true. The claim may still be committed;
		// it is then settled as not run, or its key would stay blocked.
		c.server.unrecorded.Add(1)
		c.server.enqueueOutcome(claimOutcome{key: c.request.key, incarnation: c.incarnation, claim: &command, state: model.ClaimSettled, verdict: model.NotRun})
		return overloaded("the key could not be claimed in time", time.Second)
	case result.Claim == nil:
		return overloaded("the key can't be claimed: "+string(result.Refused), time.Second)
	case !result.Claim.Granted:
		c.existing = result.Claim.Existing
		return refuse(http.StatusConflict, "the key is claimed")
	}
	c.server.counters.claimsGranted.Inc(1)
	c.granted.Store(true)
	return nil
}

// propose repeats the command, with the same ID, while its outcome is unknown.
func (c *claimedRequest) propose(ctx context.Context, command state.Command) (state.Result, error) {
	for {
		result, err := c.server.Log.Propose(ctx, command)
		if err == nil || !errors.Is(err, state.ErrOutcomeUnknown) || ctx.Err() != nil {
			return result, err
		}
		steady.Pause(ctx, proposeRetryDelay)
	}
}

const messageNoClaims = "the control log takes no claims at present"

// proposeRetryDelay is the delay between two proposals of one command.
const proposeRetryDelay = 20 * time.Millisecond
