package membership

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Round lists the targets of one round of beats and the time until the next.
type Round struct {
	// Targets are the processes to send a Beat to.
	Targets []model.NodeID
	// Next is the time until the next round.
	Next time.Duration
}

// Round selects the targets of a round. Regularly these are the leader and one
// other process, round-robin. While unconfirmed there are more targets and
// shorter intervals, so that a restarted process is confirmed quickly.
func (c *Core) Round(now model.Instant) Round {
	c.updateView(now)
	c.roundCount++
	if c.broadcast {
		c.immediateRound, c.broadcast = false, false
		return Round{Targets: c.otherMembers(), Next: c.interval}
	}
	c.immediateRound = false
	confirmed := c.hasConfirmation && now.Sub(c.confirmedAt) <= c.interval+c.interval/2
	var targets []model.NodeID
	if c.leader != "" && c.leader != c.config.Self {
		targets = append(targets, c.leader)
	}
	targets = c.appendRoundRobin(targets, c.members)
	if !confirmed {
		targets = c.appendRoundRobin(targets, c.config.Voters)
	}
	for _, name := range c.probeTargets(now) {
		if !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return Round{Targets: targets, Next: c.nextInterval(confirmed)}
}

// appendRoundRobin appends the next process in round-robin order. The order
// starts at this process, so that in one round no two processes select the same
// one.
func (c *Core) appendRoundRobin(targets, from []model.NodeID) []model.NodeID {
	if len(from) == 0 {
		return targets
	}
	own, _ := slices.BinarySearch(c.members, c.config.Self)
	for i := range from {
		name := from[(own+c.roundCount+i)%len(from)]
		if name != c.config.Self && !slices.Contains(targets, name) {
			return append(targets, name)
		}
	}
	return targets
}

// probeTargets returns the live members to probe: at the leader its suspects, at
// others those that the leader asked to probe.
func (c *Core) probeTargets(now model.Instant) []model.NodeID {
	if c.local.Leads {
		return c.filterLive(c.suspects)
	}
	var names []model.NodeID
	for _, name := range c.members {
		if at, requested := c.probeRequests[name]; requested && now.Sub(at) <= c.DownAfter() {
			names = append(names, name)
		}
	}
	return c.filterLive(names)
}

func (c *Core) otherMembers() []model.NodeID {
	return slices.DeleteFunc(slices.Clone(c.members), func(n model.NodeID) bool { return n == c.config.Self })
}

// filterLive returns the names that are members of the view. Others need no
// probe: a removed process rejoins by its own beats.
func (c *Core) filterLive(names []model.NodeID) []model.NodeID {
	return slices.DeleteFunc(slices.Clone(names), func(n model.NodeID) bool { return !c.view.Has(n) })
}

// nextInterval returns the time until the next round. It is short after a start
// or a loss of confirmation and doubles with each round up to the regular
// interval: a long outage must not cost more than normal operation.
func (c *Core) nextInterval(confirmed bool) time.Duration {
	if confirmed {
		c.unconfirmedRounds = 0
		return c.interval
	}
	wait := min(initialInterval<<min(c.unconfirmedRounds, 8), c.interval)
	c.unconfirmedRounds++
	return wait
}
