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
	if c.unchanged() {
		c.counters.skippedRounds.Inc(1)
		return nil
	}
	decision := c.decide()
	if c.config.Rules.SkipCommit {
		c.softState.uncommittedGrants = decision.grantedVMs()
	}
	err := c.commit(ctx, decision)
	if c.superseded() {
		return errSuperseded
	}
	sent := c.command(ctx)
	c.publish(decision)
	c.softState.idle = err == nil && len(decision.actions) == 0 && !sent
	return err
}

// unchanged reports whether the last round found nothing to do and a new one
// would find the same: the state, the platform's reports and the announced
// instances are as they were. Leases, soaks and other timers expire without any
// such change, so rounds are skipped for at most maxSkipTime.
func (c *Controller) unchanged() bool {
	s := c.softState
	inputs := roundInputs{index: c.config.Log.View().Index, changes: s.observed.changes, serving: c.config.Serving()}
	now := c.config.Clock()
	same := s.idle && s.lastInputs.index == inputs.index && s.lastInputs.changes == inputs.changes && maps.Equal(s.lastInputs.serving, inputs.serving)
	if same && now.Sub(s.lastInputs.at) < maxSkipTime && !c.stale(now) {
		return true
	}
	inputs.at = now
	s.lastInputs = inputs
	return false
}

// maxSkipTime bounds how long rounds are skipped.
const maxSkipTime = 3 * time.Second

// roundInputs identifies what a full round read.
type roundInputs struct {
	at      model.Instant
	index   uint64
	changes uint64
	serving map[model.TaskID]bool
}

// errSuperseded is returned when the platform has taken commands of a later
// term.
var errSuperseded = errors.New("controller: a later controller commands the platform")

// superseded reports whether the platform has taken commands of a later term. A
// leader that is partitioned from the other voters may not have noticed yet
// that it was replaced; it then sends no more commands.
func (c *Controller) superseded() bool {
	for _, r := range c.softState.observed.vms {
		if r.Fence.Term > c.term {
			return true
		}
	}
	return false
}

// stepDown drops the soft state: by the time this node leads again it is out of
// date.
func (c *Controller) stepDown() {
	if c.term == 0 {
		return
	}
	c.config.Logger.WithField("term", c.term).Info("controller: lost leadership")
	c.term = 0
	c.softState = newSoftState()
}

// beginTerm commits the start of the term before anything else. This fences the
// plans of earlier leaders, and once it is applied on this node, every plan
// that they committed is applied too.
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
		return oops.Wrapf(err, "controller: start term %d", term)
	}
	if result.Refused != "" {
		return oops.Errorf("controller: start of term %d refused: %s", term, result.Refused)
	}
	c.term = term
	c.config.Logger.WithField("term", term).Info("controller: term started")
	return nil
}

// commit proposes the round's actions as one plan.
func (c *Controller) commit(ctx context.Context, d *roundDecision) error {
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
	c.counters.actions.Inc(int64(len(d.actions)))
	for i, refusal := range result.Actions {
		if refusal != "" {
			c.counters.refusedActions.Inc(1)
			c.config.Logger.WithField("reason", d.actions[i].Reason).Debugf("controller: action refused: %s", refusal)
		}
	}
	return nil
}
