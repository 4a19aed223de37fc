package membership

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

func (c *Core) doubtAfter() time.Duration { return c.interval * doubtQuarters / 4 }

// DownAfter is how long a member may go without a sign of readiness.
func (c *Core) DownAfter() time.Duration { return c.interval * downQuarters / 4 }

// review lets a confirmed leader bring the view up to date. A leader that is
// not confirmed may be the one that is cut off, so what it does not hear says
// nothing about the others.
func (c *Core) review(now model.Instant) {
	if !c.local.Leads {
		c.leadTerm = 0
		c.doubts = nil
		return
	}
	if !c.local.Confirmed && !c.config.Rules.SkipLease {
		// What was not heard while cut off must not count afterwards.
		c.leadSince = now
		c.doubts = nil
		return
	}
	if c.leadTerm != c.local.Term {
		c.leadTerm, c.leadSince = c.local.Term, now
	}
	c.doubts = c.unheard(now)
	c.publish(c.liveMembers(now))
}

// unheard lists the processes that the leader has not heard for a while.
func (c *Core) unheard(now model.Instant) []model.NodeID {
	var names []model.NodeID
	for _, name := range c.members {
		p := c.peers[name]
		if p != nil && now.Sub(max(p.heardAt, c.leadSince)) > c.doubtAfter() {
			names = append(names, name)
		}
	}
	return names
}

func (c *Core) liveMembers(now model.Instant) []Member {
	var live []Member
	for _, name := range c.members {
		incarnation, ok := c.incarnation, c.ready(now)
		if p := c.peers[name]; p != nil {
			incarnation, ok = p.incarnation, c.isLive(now, name, p)
		}
		if ok {
			live = append(live, Member{Node: name, Incarnation: incarnation})
		}
	}
	return live
}

// isLive decides about one process. One that was live gets DownAfter; one
// that was not must have said itself, just now, that it is ready.
func (c *Core) isLive(now model.Instant, name model.NodeID, p *peer) bool {
	if p.leaving {
		return false
	}
	if c.view.Has(name) {
		return now.Sub(max(p.goodAt, c.leadSince)) <= c.DownAfter()
	}
	return p.goodAt != 0 && now.Sub(p.goodAt) <= c.doubtAfter()
}

// publish makes a new view if the members changed.
func (c *Core) publish(live []Member) {
	if slices.Equal(live, c.view.Live) {
		return
	}
	next := View{Term: c.local.Term, Version: 1, Live: live}
	if next.Term <= c.view.Term {
		next.Term, next.Version = c.view.Term, c.view.Version+1
	}
	c.guard(c.local.Term < c.view.Term, "leader of term %d changed a view of term %d", c.local.Term, c.view.Term)
	c.guard(!c.local.Confirmed, "view %d.%d was made by a leader that is not confirmed", next.Term, next.Version)
	c.view = next
	c.spread, c.urgent = true, true
}

// takeDoubts notes that the leader asks for a probe of processes whose
// witness this one is.
func (c *Core) takeDoubts(now model.Instant, b Beat) {
	if b.From != c.leader {
		return
	}
	for _, name := range b.Doubts {
		if c.peers[name] == nil || !c.isWitness(name) {
			continue
		}
		if _, asked := c.asked[name]; !asked {
			c.urgent = true
		}
		c.asked[name] = now
	}
}

// isWitness reports whether this process is one of the next members after the
// one in question, by name. A fixed few bound the probes of a process which
// the leader can't hear for hours.
func (c *Core) isWitness(name model.NodeID) bool {
	at, _ := slices.BinarySearch(c.members, name)
	found := 0
	for i := 1; i < len(c.members) && found < witnesses; i++ {
		next := c.members[(at+i)%len(c.members)]
		if next == c.leader {
			continue
		}
		if next == c.config.Self {
			return true
		}
		found++
	}
	return false
}

// witnessReports answers the leader's doubts with what was heard directly.
func (c *Core) witnessReports(now model.Instant) []WitnessReport {
	var list []WitnessReport
	for _, name := range c.members {
		at, asked := c.asked[name]
		if !asked {
			continue
		}
		if now.Sub(at) > c.DownAfter() {
			delete(c.asked, name)
			continue
		}
		if p := c.peers[name]; p.heardAt != 0 && now.Sub(p.heardAt) <= c.DownAfter() {
			list = append(list, WitnessReport{Node: name, Incarnation: p.incarnation, Age: now.Sub(p.heardAt), Ready: p.ready})
		}
	}
	return list
}

// takeWitnessReports counts what a witness heard as a sign of readiness.
func (c *Core) takeWitnessReports(now model.Instant, b Beat) {
	for _, h := range b.WitnessReports {
		p := c.peers[h.Node]
		if p == nil || !h.Ready || h.Age < 0 || h.Incarnation < p.incarnation || c.config.Rules.SkipWitness {
			continue
		}
		if h.Incarnation > p.incarnation {
			*p = peer{incarnation: h.Incarnation}
		}
		p.goodAt = max(p.goodAt, now.Add(-h.Age))
	}
}
