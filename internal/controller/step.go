package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Step takes one round if this node is the leader, and does nothing otherwise.
func (c *Controller) Step(ctx context.Context) error {
	leader, term := c.config.Log.Leader()
	if leader != c.config.Self || term == 0 {
		c.stepDown()
		return nil
	}
	if err := c.beginTerm(ctx, term); err != nil {
		return err
	}
	c.observe(ctx)
	c.checkState()
	if c.quiet() {
		c.counts.quiet.Inc(1)
		return nil
	}
	decided := c.decide()
	if c.config.Rules.SkipCommit {
		c.soft.ungranted = decided.granted()
	}
	err := c.commit(ctx, decided)
	if c.superseded() {
		return errSuperseded
	}
	sent := c.command(ctx)
	c.publish(decided)
	c.soft.settled = err == nil && len(decided.actions) == 0 && !sent
	return err
}

// quiet reports whether a round would find the same as the last one, which
// found nothing to do: neither the state nor the platform nor the announced
// instances changed since, and the last round is not long ago. Leases, soaks
// and other times pass without a change, so rounds are left out for a short
// while only.
func (c *Controller) quiet() bool {
	s := c.soft
	seen := lastSeen{index: c.config.Log.View().Index, changes: s.world.changes, serving: c.config.Serving()}
	now := c.config.Clock()
	same := s.settled && s.seen.index == seen.index && s.seen.changes == seen.changes && maps.Equal(s.seen.serving, seen.serving)
	if same && now.Sub(s.seen.at) < quietFor && !c.stale(now) {
		return true
	}
	seen.at = now
	s.seen = seen
	return false
}

// quietFor bounds how long rounds are left out.
const quietFor = 3 * time.Second

// lastSeen is what the last full round looked at.
type lastSeen struct {
	at      model.Instant
	index   uint64
	changes uint64
	serving map[model.TaskID]bool
}

// errSuperseded says that the platform took commands of a later term.
var errSuperseded = errors.New("controller: a later controller commands the platform")

// superseded reports whether the platform took commands of a later term. A
// leader that is cut off from the other voters may not know yet that it was
// replaced; it then sends nothing more.
func (c *Controller) superseded() bool {
	for _, r := range c.soft.world.vms {
		if r.Fence.Term > c.term {
			return true
		}
	}
	return false
}

// stepDown forgets what was learned as leader: when this node leads again the
// world has moved on.
func (c *Controller) stepDown() {
	if c.term == 0 {
		return
	}
	c.config.Logger.WithField("term", c.term).Info("controller: not the leader any more")
	c.term = 0
	c.soft = newSoft()
}

// beginTerm commits the start of the term before anything else: it fences the
// plans of earlier leaders, and once it is applied here this node has applied
// every plan that they committed.
func (c *Controller) beginTerm(ctx context.Context, term uint64) error {
	if c.term == term {
		return nil
	}
	c.stepDown()
	result, err := c.config.Log.Propose(ctx, state.Command{
		ID:        model.CommandID(fmt.Sprintf("start-term/%d/%s", term, c.config.Self)),
		At:        c.config.Clock(),
		Actor:     "controller",
		Term:      term,
		StartTerm: &state.StartTerm{Leader: c.config.Self},
	})
	if err != nil {
		return oops.Wrapf(err, "controller: begin term %d", term)
	}
	if result.Refused != "" {
		return oops.Errorf("controller: begin term %d: %s", term, result.Refused)
	}
	c.term = term
	c.config.Logger.WithField("term", term).Info("controller: term begins")
	return nil
}

// commit proposes what the round decided as one plan.
func (c *Controller) commit(ctx context.Context, d *decided) error {
	if len(d.actions) == 0 {
		return nil
	}
	c.plans++
	result, err := c.config.Log.Propose(ctx, state.Command{
		ID:    model.CommandID(fmt.Sprintf("plan/%s/%d/%d", c.config.Self, c.term, c.plans)),
		At:    d.at,
		Actor: "controller",
		Term:  c.term,
		Plan:  &state.Plan{Actions: d.actions},
	})
	if err != nil {
		return oops.Wrapf(err, "controller: commit plan")
	}
	if result.Refused != "" {
		return oops.Errorf("controller: plan refused: %s", result.Refused)
	}
	c.counts.actions.Inc(int64(len(d.actions)))
	for i, refusal := range result.Actions {
		if refusal != "" {
			c.counts.refused.Inc(1)
			c.config.Logger.WithField("reason", d.actions[i].Reason).Debugf("controller: action refused: %s", refusal)
		}
	}
	return nil
}
