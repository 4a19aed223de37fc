package membership

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// suspectTimeout returns how long the leader may be without contact to a process
// before it suspects it.
func (c *Core) suspectTimeout() time.Duration { return c.interval * suspectQuarters / 4 }

// DownAfter returns how long a member stays in the view without a ready Beat.
func (c *Core) DownAfter() time.Duration { return c.interval * downQuarters / 4 }

// updateView updates the view if this process is a confirmed leader. A leader
// that is not confirmed may itself be cut off, so a lack of messages proves
// nothing about the others.
func (c *Core) updateView(now model.Instant) {
	if !c.local.Leads {
		c.leadTerm = 0
		c.suspects = nil
		return
	}
	if !c.local.Confirmed && !c.config.Rules.SkipLease {
		// The time while cut off must not count as time without contact.
		c.leadSince = now
		c.suspects = nil
		return
	}
	if c.leadTerm != c.local.Term {
		c.leadTerm, c.leadSince = c.local.Term, now
	}
	c.suspects = c.unresponsive(now)
	c.publishView(c.liveMembers(now))
}

// unresponsive returns the processes from which the leader received no message
// within suspectTimeout, counted at the earliest from when it began to lead.
func (c *Core) unresponsive(now model.Instant) []model.NodeID {
	var names []model.NodeID
	for _, name := range c.members {
		p := c.peers[name]
		if p != nil && now.Sub(max(p.lastContact, c.leadSince)) > c.suspectTimeout() {
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

// isLive reports whether a process belongs to the view. A current member stays
// for DownAfter since it was last ready; others need a ready Beat within
// suspectTimeout.
func (c *Core) isLive(now model.Instant, name model.NodeID, p *peer) bool {
	if p.leaving {
		return false
	}
	if c.view.Has(name) {
		return now.Sub(max(p.lastReady, c.leadSince)) <= c.DownAfter()
	}
	return p.lastReady != 0 && now.Sub(p.lastReady) <= c.suspectTimeout()
}

// publishView creates a new view if the members changed.
func (c *Core) publishView(live []Member) {
	if slices.Equal(live, c.view.Live) {
		return
	}
	next := View{Term: c.local.Term, Version: 1, Live: live}
	if next.Term <= c.view.Term {
		next.Term, next.Version = c.view.Term, c.view.Version+1
	}
	c.reportIf(c.local.Term < c.view.Term, "leader of term %d changed a view of term %d", c.local.Term, c.view.Term)
	c.reportIf(!c.local.Confirmed, "view %d.%d was made by a leader that is not confirmed", next.Term, next.Version)
	c.view = next
	c.broadcast, c.immediateRound = true, true
}

// recordProbeRequests records the suspects of the leader for which this process
// is a witness.
func (c *Core) recordProbeRequests(now model.Instant, b Beat) {
	if b.From != c.leader {
		return
	}
	for _, name := range b.Suspects {
		if c.peers[name] == nil || !c.isWitness(name) {
			continue
		}
		if _, requested := c.probeRequests[name]; !requested {
			c.immediateRound = true
		}
		c.probeRequests[name] = now
	}
}

// isWitness reports whether this process is one of the first witnessCount
// members after the suspect in the order of names, without the leader. Their
// fixed number bounds the probes of a process that the leader can't reach for
// hours.
func (c *Core) isWitness(name model.NodeID) bool {
	at, _ := slices.BinarySearch(c.members, name)
	found := 0
	for i := 1; i < len(c.members) && found < witnessCount; i++ {
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

// witnessReports returns the last direct contact with each process that the
// leader asked to probe.
func (c *Core) witnessReports(now model.Instant) []WitnessReport {
	var list []WitnessReport
	for _, name := range c.members {
		at, requested := c.probeRequests[name]
		if !requested {
			continue
		}
		if now.Sub(at) > c.DownAfter() {
			delete(c.probeRequests, name)
			continue
		}
		if p := c.peers[name]; p.lastContact != 0 && now.Sub(p.lastContact) <= c.DownAfter() {
			list = append(list, WitnessReport{Node: name, Incarnation: p.incarnation, Age: now.Sub(p.lastContact), Ready: p.ready})
		}
	}
	return list
}

// applyWitnessReports counts a ready Beat that a witness received as a sign of
// readiness of its sender.
func (c *Core) applyWitnessReports(now model.Instant, b Beat) {
	for _, report := range b.WitnessReports {
		p := c.peers[report.Node]
		if p == nil || !report.Ready || report.Age < 0 || report.Incarnation < p.incarnation || c.config.Rules.SkipWitness {
			continue
		}
		if report.Incarnation > p.incarnation {
			*p = peer{incarnation: report.Incarnation}
		}
		p.lastReady = max(p.lastReady, now.Add(-report.Age))
	}
}
