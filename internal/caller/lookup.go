package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// maxConcurrentConfirms bounds the concurrent confirmations by the leader.
const maxConcurrentConfirms = 16

// confirm waits until this VM has applied everything that was committed before,
// so that "not found" does not merely mean "not yet applied here".
func (s *Server) confirm(ctx context.Context) *failure {
	select {
	case s.confirmSlots <- struct{}{}:
		defer func() { <-s.confirmSlots }()
	default:
		return overloaded("too many look-ups ask the leader", 0)
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.ClaimTimeout)
	defer cancel()
	if _, err := s.Log.Confirm(ctx); err != nil {
		return overloaded("the control log can't be read with certainty at present", 0)
	}
	return nil
}

// getRequest serves GET /requests/:key, which returns the stored response.
func (s *Server) getRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	key, ok := validKey(p.ByName("key"))
	if !ok {
		s.writeFailure(w, id, refuse(http.StatusBadRequest, "key: must have 1 to 128 printable ASCII characters without spaces or slashes"))
		return
	}
	claim := s.Log.Claim(key)
	if claim == nil {
		if f := s.confirm(r.Context()); f != nil {
			s.writeFailure(w, id, f)
			return
		}
		claim = s.Log.Claim(key)
	}
	if claim == nil {
		// The request may still wait for a slot at another entry VM and be
		// claimed later, or its claim may have been forgotten, so no verdict
		// but may-have-run is certain.
		s.writeFailure(w, id, &failure{status: http.StatusNotFound, verdict: model.MayHaveRun, message: "no request with this key is known"})
		return
	}
	s.respondFromClaim(w, r, id, claim, nil)
}

// respondFromClaim responds to a resend, or to GET /requests/:key, from the
// claim. digest is nil if there is no request to compare with the claim.
func (s *Server) respondFromClaim(w http.ResponseWriter, r *http.Request, id string, c *model.Claim, digest []byte) {
	s.counters.claimsFound.Inc(1)
	if digest != nil && !bytes.Equal(digest, c.Digest) {
		s.writeFailure(w, id, refuseKey(http.StatusUnprocessableEntity, "the key was used for another request"))
		return
	}
	if c.State == model.ClaimRunning && c.Owner == s.Self {
		c = s.awaitOutcome(r.Context(), c)
	}
	if c.State == model.ClaimRunning && s.ownerOverdue(c) {
		c = s.takeOver(r.Context(), c)
	}
	switch {
	case c.State == model.ClaimRunning:
		s.writeFailure(w, id, stillRunningFailure(digest != nil))
	case reclaimable(c):
		s.writeFailure(w, id, notRunFailure(digest != nil))
	case c.State == model.ClaimUnknown || c.Answer == nil:
		s.writeFailure(w, id, &failure{status: http.StatusConflict, verdict: model.MayHaveRun,
			message: "the outcome of the request is unknown, and it will not be run again"})
	case c.Answer.Dropped:
		s.writeFailure(w, id, &failure{status: http.StatusGone, verdict: model.Ran,
			message: fmt.Sprintf("the request ran with status %d; its answer was not kept", c.Answer.Status)})
	default:
		s.writeStoredResponse(w, r, id, c.Answer)
	}
}

// awaitOutcome waits for an outcome of this process that is not yet recorded,
// and returns the claim as it is then.
func (s *Server) awaitOutcome(ctx context.Context, c *model.Claim) *model.Claim {
	ctx, cancel := context.WithTimeout(ctx, s.limits.ClaimTimeout)
	defer cancel()
	s.pending.wait(ctx, c.Key)
	if current := s.Log.Claim(c.Key); current != nil {
		return current
	}
	return c
}

func refuseKey(status int, message string) *failure {
	f := refuseHeader(headerKey, message)
	f.status = status
	return f
}

func stillRunningFailure(resend bool) *failure {
	f := &failure{status: http.StatusAccepted, verdict: model.MayHaveRun, message: "the request is still running", retryAfter: time.Second}
	if resend {
		f.status = http.StatusConflict
	}
	return f
}

func notRunFailure(resend bool) *failure {
	if resend {
		return overloaded(messageNotRun, time.Second)
	}
	return refuse(http.StatusNotFound, messageNotRun)
}

const messageNotRun = "the request was not run; it may be sent again under its key"

func (s *Server) writeStoredResponse(w http.ResponseWriter, r *http.Request, id string, k *model.KeptAnswer) {
	header := http.Header{}
	if k.ContentType != "" {
		header.Set("Content-Type", k.ContentType)
	}
	w.Header().Set(headerKept, "true")
	s.writeResponse(w, r, id, &response{status: k.Status, header: header, body: k.Body, contentLength: int64(len(k.Body)), onEnd: func(bool) {}})
}

// ownerOverdue reports whether the owner should have settled the claim by now.
func (s *Server) ownerOverdue(c *model.Claim) bool {
	return s.Now().After(c.Deadline.Time().Add(s.limits.OwnerGrace))
}

// takeOver ends a claim whose owner was lost as unknown and returns the claim
// as it is then. On an error it returns c, which is still running.
func (s *Server) takeOver(ctx context.Context, c *model.Claim) *model.Claim {
	ctx, cancel := context.WithTimeout(ctx, s.limits.ClaimTimeout)
	defer cancel()
	out := claimOutcome{key: c.Key, incarnation: c.Incarnation, state: model.ClaimUnknown, verdict: model.MayHaveRun}
	command := s.settleCommand(out, true)
	command.SettleRequest.Owner = c.Owner
	command.Cause = "the owner did not record an outcome before the deadline"
	if _, err := s.Log.Propose(ctx, command); err != nil && !errors.Is(err, state.ErrOutcomeUnknown) {
		return c
	}
	s.counters.claimsTakenOver.Inc(1)
	if current := s.Log.Claim(c.Key); current != nil {
		return current
	}
	return c
}
