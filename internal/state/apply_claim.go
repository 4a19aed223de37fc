package state

import (
	"bytes"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// claimRequest grants a key to the first process that claims it. The grant is
// committed before the first byte of the request is sent, so a resend through
// another entry VM, or after a crash, finds the claim and does not run the
// request again. A claim settled as not-run frees its key for the same request.
func (c *core) claimRequest(command *Command, claim model.Claim) Result {
	if refused := validateID("request key", string(claim.Key)); refused != "" {
		return Result{Refused: refused}
	}
	existing := c.claims.get(claim.Key)
	if existing != nil && !bytes.Equal(existing.Digest, claim.Digest) {
		return Result{
			Refused: "the key was used for another request",
			Claim:   &ClaimResult{Existing: existing},
		}
	}
	free := existing == nil || isSettledNotRun(existing)
	if !free && !c.rules.SkipClaimOnce {
		return Result{Claim: &ClaimResult{Existing: existing}}
	}
	if existing == nil && c.claims.len() >= MaxClaims {
		return Result{Refused: refusef("%d request keys are claimed, which is the most", MaxClaims)}
	}
	claim.State = model.ClaimRunning
	claim.Verdict = model.MayHaveRun
	claim.Claimed = command.At
	claim.Answer = nil
	c.putClaim(&claim)
	return Result{Claim: &ClaimResult{Granted: true}}
}

// isSettledNotRun reports whether the request surely did not run.
func isSettledNotRun(claim *model.Claim) bool {
	return claim.State == model.ClaimSettled && claim.Verdict == model.NotRun
}

// settleRequest records how a claimed request ended. Only the process that
// claimed it knows the outcome; others may only settle it as unknown.
func (c *core) settleRequest(s *SettleRequest) Result {
	claim := c.claims.get(s.Key)
	if refused := c.validateSettle(claim, s); refused != "" {
		return Result{Refused: refused}
	}
	settled := *claim
	settled.State = s.State
	settled.Verdict = s.Verdict
	settled.Answer = boundAnswer(s.Answer)
	if s.State == model.ClaimUnknown {
		settled.Verdict = model.MayHaveRun
		settled.Answer = nil
	}
	c.putClaim(&settled)
	c.dropOldAnswers()
	return Result{}
}

func (c *core) validateSettle(claim *model.Claim, s *SettleRequest) Refusal {
	if claim == nil {
		return "the key is not claimed"
	}
	if s.State != model.ClaimSettled && s.State != model.ClaimUnknown {
		return "a claim settles as settled or unknown"
	}
	if s.Takeover && s.State != model.ClaimUnknown {
		return "a takeover settles as unknown only"
	}
	if c.rules.SkipClaimOwner {
		return ""
	}
	isOwner := claim.Owner == s.Owner && claim.Incarnation == s.Incarnation
	if !isOwner && !s.Takeover {
		return refusef("the claim belongs to %s, incarnation %d", claim.Owner, claim.Incarnation)
	}
	if claim.State != model.ClaimRunning {
		return "the claim is settled already"
	}
	return ""
}

// forgetClaims drops settled claims whose deadline lies before the instant. A
// claim that is still running becomes unknown instead: dropping it would let
// its key run again.
func (c *core) forgetClaims(before model.Instant) Result {
	for _, claim := range c.claims.sorted() {
		if claim.Deadline >= before {
			continue
		}
		if claim.State != model.ClaimRunning {
			c.removeClaim(claim)
			continue
		}
		unknown := *claim
		unknown.State = model.ClaimUnknown
		c.putClaim(&unknown)
	}
	c.answers.compact(c.claims.get)
	return Result{}
}

func (c *core) putClaim(claim *model.Claim) {
	old := c.claims.get(claim.Key)
	c.guardClaim(old, claim)
	c.derived.answerBytes += bodySize(claim) - bodySize(old)
	if bodySize(claim) > 0 {
		c.answers.keys = append(c.answers.keys, claim.Key)
	}
	c.claims.put(claim.Key, claim)
}

func (c *core) removeClaim(claim *model.Claim) {
	c.derived.answerBytes -= bodySize(claim)
	c.claims.remove(claim.Key)
}

// answerQueue lists the keys whose answers have a body, in the order in which
// they settled. It may hold keys whose body or claim was dropped since.
type answerQueue struct{ keys []model.RequestKey }

// compact removes the keys whose answers no longer have a body.
func (q *answerQueue) compact(claim func(model.RequestKey) *model.Claim) {
	keys := make([]model.RequestKey, 0, len(q.keys))
	for _, key := range q.keys {
		if bodySize(claim(key)) > 0 {
			keys = append(keys, key)
		}
	}
	q.keys = keys
}

// dropOldAnswers drops the bodies of the oldest answers until the rest fit in
// MaxKeptBytes. The claims stay, so no request runs again because of this bound.
func (c *core) dropOldAnswers() {
	for c.derived.answerBytes > MaxKeptBytes && len(c.answers.keys) > 0 {
		key := c.answers.keys[0]
		c.answers.keys = c.answers.keys[1:]
		claim := c.claims.get(key)
		if bodySize(claim) == 0 {
			continue
		}
		dropped := *claim
		dropped.Answer = withoutBody(claim.Answer)
		c.putClaim(&dropped)
	}
}

// boundAnswer returns the answer, without its body if that exceeds MaxKeptAnswer.
func boundAnswer(a *model.KeptAnswer) *model.KeptAnswer {
	if a == nil || len(a.Body) <= MaxKeptAnswer {
		return a
	}
	return withoutBody(a)
}

func withoutBody(a *model.KeptAnswer) *model.KeptAnswer {
	return &model.KeptAnswer{Status: a.Status, ContentType: a.ContentType, Dropped: true}
}

func bodySize(claim *model.Claim) int64 {
	if claim == nil || claim.Answer == nil {
		return 0
	}
	return int64(len(claim.Answer.Body))
}
