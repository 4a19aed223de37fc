package membership

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Round is what to do now and when to come back.
type Round struct {
	// Targets are to get a Beat each.
	Targets []model.NodeID
	// Next is the time until the next round.
	Next time.Duration
}

// Round chooses whom to send a beat. Regularly these are the leader and one
// other process in turn; while unconfirmed, more of them and sooner, so that a
// restarted process is confirmed quickly.
func (c *Core) Round(now model.Instant) Round {
	c.review(now)
	c.round++
	if c.spread {
		c.urgent, c.spread = false, false
		return Round{Targets: c.others(), Next: c.interval}
	}
	c.urgent = false
	confirmed := c.ever && now.Sub(c.at) <= c.interval+c.interval/2
	var targets []model.NodeID
	if c.leader != "" && c.leader != c.config.Self {
		targets = append(targets, c.leader)
	}
	targets = c.inTurn(targets, c.members)
	if !confirmed {
		targets = c.inTurn(targets, c.config.Voters)
	}
	for _, name := range c.probes(now) {
		if !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return Round{Targets: targets, Next: c.next(confirmed)}
}

// inTurn adds the process whose turn it is. The order starts at this process,
// so that in one round no two processes choose the same one.
func (c *Core) inTurn(targets, from []model.NodeID) []model.NodeID {
	if len(from) == 0 {
		return targets
	}
	own, _ := slices.BinarySearch(c.members, c.config.Self)
	for i := range from {
		name := from[(own+c.round+i)%len(from)]
		if name != c.config.Self && !slices.Contains(targets, name) {
			return append(targets, name)
		}
	}
	return targets
}

// probes are the processes that the leader doubts, or asked to probe.
func (c *Core) probes(now model.Instant) []model.NodeID {
	if c.local.Leads {
		return c.liveOnly(c.doubts)
	}
	var names []model.NodeID
	for _, name := range c.members {
		if at, asked := c.asked[name]; asked && now.Sub(at) <= c.DownAfter() {
			names = append(names, name)
		}
	}
	return c.liveOnly(names)
}

func (c *Core) others() []model.NodeID {
	return slices.DeleteFunc(slices.Clone(c.members), func(n model.NodeID) bool { return n == c.config.Self })
}

// liveOnly keeps the members of the view: one that was taken out comes back
// by its own beats.
func (c *Core) liveOnly(names []model.NodeID) []model.NodeID {
	return slices.DeleteFunc(slices.Clone(names), func(n model.NodeID) bool { return !c.view.Has(n) })
}

// next is short after a start or a loss of confirmation and doubles from
// round to round: a long outage must not cost more than normal running.
func (c *Core) next(confirmed bool) time.Duration {
	if confirmed {
		c.slow = 0
		return c.interval
	}
	wait := min(fastInterval<<min(c.slow, 8), c.interval)
	c.slow++
	return wait
}
