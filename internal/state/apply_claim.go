package state

import (
	"bytes"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// claimRequest grants a key to the first process that asks. The grant is
// committed before the first byte of the request leaves, so a resend through
// any other entry VM, or after a crash, finds the claim and never runs it
// again. A claim settled as not-run frees its key for the same request.
func (c *core) claimRequest(command *Command, asked model.Claim) Result {
	if refused := badID("request key", string(asked.Key)); refused != "" {
		return Result{Refused: refused}
	}
	existing := c.claims.get(asked.Key)
	if existing != nil && !bytes.Equal(existing.Digest, asked.Digest) {
		return Result{
			Refused: "the key was used for another request",
			Claim:   &ClaimResult{Existing: existing},
		}
	}
	free := existing == nil || settledNotRun(existing)
	if !free && !c.rules.SkipClaimOnce {
		return Result{Claim: &ClaimResult{Existing: existing}}
	}
	if existing == nil && c.claims.len() >= MaxClaims {
		return Result{Refused: refusef("%d request keys are claimed, which is the most", MaxClaims)}
	}
	asked.State = model.ClaimRunning
	asked.Verdict = model.MayHaveRun
	asked.Claimed = command.At
	asked.Answer = nil
	c.putClaim(&asked)
	return Result{Claim: &ClaimResult{Granted: true}}
}

func settledNotRun(claim *model.Claim) bool {
	return claim.State == model.ClaimSettled && claim.Verdict == model.NotRun
}

// settleRequest records how a claimed request ended. Only the process that
// claimed knows; others may only say that the outcome can't be learned.
func (c *core) settleRequest(s *SettleRequest) Result {
	claim := c.claims.get(s.Key)
	if refused := c.badSettle(claim, s); refused != "" {
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

func (c *core) badSettle(claim *model.Claim, s *SettleRequest) Refusal {
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
	owner := claim.Owner == s.Owner && claim.Incarnation == s.Incarnation
	if !owner && !s.Takeover {
		return refusef("the claim belongs to %s, incarnation %d", claim.Owner, claim.Incarnation)
	}
	if claim.State != model.ClaimRunning {
		return "the claim is settled already"
	}
	return ""
}

// forgetClaims drops ended claims whose deadline passed. A claim that is still
// running becomes unknown first: dropping it would let its key run again.
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
	c.kept.compact(c.claims.get)
	return Result{}
}

func (c *core) putClaim(claim *model.Claim) {
	old := c.claims.get(claim.Key)
	c.guardClaim(old, claim)
	c.derived.keptBody += bodySize(claim) - bodySize(old)
	if bodySize(claim) > 0 {
		c.kept.keys = append(c.kept.keys, claim.Key)
	}
	c.claims.put(claim.Key, claim)
}

func (c *core) removeClaim(claim *model.Claim) {
	c.derived.keptBody -= bodySize(claim)
	c.claims.remove(claim.Key)
}

// keptAnswers lists the keys whose answers have a body, in the order in which
// they settled; it may hold keys that were dropped since.
type keptAnswers struct{ keys []model.RequestKey }

// compact removes the keys that have no body any more.
func (k *keptAnswers) compact(claim func(model.RequestKey) *model.Claim) {
	keys := make([]model.RequestKey, 0, len(k.keys))
	for _, key := range k.keys {
		if bodySize(claim(key)) > 0 {
			keys = append(keys, key)
		}
	}
	k.keys = keys
}

// dropOldAnswers drops the bodies of the oldest answers until the rest fits.
// The claims stay, so that no request runs again for lack of memory.
func (c *core) dropOldAnswers() {
	for c.derived.keptBody > MaxKeptBytes && len(c.kept.keys) > 0 {
		key := c.kept.keys[0]
		c.kept.keys = c.kept.keys[1:]
		claim := c.claims.get(key)
		if bodySize(claim) == 0 {
			continue
		}
		dropped := *claim
		dropped.Answer = withoutBody(claim.Answer)
		c.putClaim(&dropped)
	}
}

// boundAnswer returns the answer as it is kept.
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
