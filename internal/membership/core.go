package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Core is the membership state machine of one process. It is not safe for
// concurrent use.
type Core struct {
	config   Config
	interval time.Duration
	members  []model.NodeID
	peers    map[model.NodeID]*peer

	incarnation         uint64
	incarnationAdvances int
	sequence            uint64
	local               Local
	// leader is the leader of term, the largest term received.
	leader model.NodeID
	term   uint64
	view   View
	// leadTerm is the term in which this process leads. leadSince is when it
	// began to lead, or when it was last unconfirmed as leader.
	leadTerm  uint64
	leadSince model.Instant
	// suspects are the processes without recent contact, at the leader only.
	suspects []model.NodeID
	// probeRequests holds when the leader last asked to probe a process.
	probeRequests map[model.NodeID]model.Instant

	confirmation
	// immediateRound requests a round without waiting, broadcast one that
	// includes all processes.
	immediateRound, broadcast bool
	roundCount                int
	// unconfirmedRounds counts consecutive rounds without a confirmation.
	unconfirmedRounds int
	violations        []string
}

// peer is the state of another process.
type peer struct {
	incarnation uint64
	sequence    uint64
	applied     uint64
	ready       bool
	leaving     bool
	// lastContact is when its last message was received directly; lastReady is
	// when it was last received as ready, directly or by a witness. 0 is never.
	lastContact, lastReady model.Instant
	// view is the view of its last message; only Term and Version are used.
	view View
}

// New returns the core of a process that has received no message yet. The
// incarnation must grow with each start of the process.
func New(c Config, incarnation uint64) *Core {
	members := slices.Clone(c.Members)
	slices.Sort(members)
	members = slices.Compact(members)
	core := &Core{
		config:        c,
		interval:      c.Interval,
		members:       members,
		peers:         make(map[model.NodeID]*peer, len(members)),
		incarnation:   incarnation,
		probeRequests: map[model.NodeID]model.Instant{},
	}
	if core.interval == 0 {
		core.interval = max(DefaultInterval, time.Duration(len(members))*intervalPerMember)
	}
	for _, name := range members {
		if name != c.Self {
			core.peers[name] = &peer{}
		}
	}
	return core
}

// Interval returns the time between two regular beats.
func (c *Core) Interval() time.Duration { return c.interval }

// Incarnation returns the incarnation of this process. It grows when others
// know a larger one of the same name, so it must be read anew for each use.
func (c *Core) Incarnation() uint64 { return c.incarnation }

// NeedsImmediateRound reports whether a round should be run without waiting: the
// view changed here, a probe was requested, or this process is leaving.
func (c *Core) NeedsImmediateRound() bool { return c.immediateRound }

// View returns the current view of this process.
func (c *Core) View() View { return c.view }

// Leader returns the largest term received and its leader.
func (c *Core) Leader() (model.NodeID, uint64) { return c.leader, c.term }

// Update applies the state of this process's own control log.
func (c *Core) Update(now model.Instant, l Local) {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	c.immediateRound = c.immediateRound || l.Leaving != c.local.Leaving
	c.local = l
	c.recordLeader(l.Leader, l.Term)
	if l.Leads && l.Confirmed {
		c.recordConfirmation(l.Commit, now)
	}
	c.completePending(l.Applied, c.config.Rules.SkipCatchUp)
	c.updateView(now)
}

// Beat returns the next Beat for a process.
func (c *Core) Beat(now model.Instant, to model.NodeID) Beat {
	c.sequence++
	b := Beat{
		From:           c.config.Self,
		Incarnation:    c.incarnation,
		Sequence:       c.sequence,
		Applied:        c.local.Applied,
		Ready:          c.ready(now),
		Leaving:        c.local.Leaving,
		Leader:         c.leader,
		Term:           c.term,
		View:           View{Term: c.view.Term, Version: c.view.Version},
		WitnessReports: c.witnessReports(now),
	}
	if c.hasConfirmation {
		b.Confirmed, b.Commit, b.ConfirmationAge = true, c.confirmedIndex, now.Sub(c.confirmedAt)
	}
	if c.local.Leads {
		b.Suspects = slices.Clone(c.suspects)
	}
	if p := c.peers[to]; p != nil {
		b.KnownIncarnation = p.incarnation
		if p.lastContact != 0 && c.view.Newer(p.view) {
			b.View.Live = c.view.Live
		}
	}
	return b
}

// Receive handles a request and returns the reply. A request of a process that
// the settings don't name gets a reply, but nothing in it is recorded.
func (c *Core) Receive(now model.Instant, b Beat) Beat {
	c.handle(now, b)
	return c.Beat(now, b.From)
}

// ReceiveReply handles the reply to a request that was sent at the given instant.
func (c *Core) ReceiveReply(now, sent model.Instant, b Beat) {
	c.handle(now, b)
	// Only a reply confirms: a request may have been in flight for long, so
	// the age of its confirmation is unknown.
	if b.Confirmed && b.ConfirmationAge >= 0 {
		at := sent.Add(-b.ConfirmationAge)
		if c.config.Rules.SkipAge {
			at = now
		}
		c.recordConfirmation(b.Commit, at)
	}
	c.completePending(c.local.Applied, c.config.Rules.SkipCatchUp)
}

// handle applies a message, request or reply.
func (c *Core) handle(now model.Instant, b Beat) {
	p := c.peers[b.From]
	if p == nil {
		return
	}
	if !c.recordIfLatest(p, b) {
		return
	}
	p.lastContact = now
	p.ready, p.leaving = b.Ready, b.Leaving
	if b.Ready {
		p.lastReady = now
	}
	p.view = b.View
	c.advanceIncarnation(b.KnownIncarnation)
	c.recordLeader(b.Leader, b.Term)
	c.adoptView(b.View)
	c.recordProbeRequests(now, b)
	c.applyWitnessReports(now, b)
	c.updateView(now)
}

// recordIfLatest reports whether a message is the latest of its sender, and
// records its sequence and applied index. Messages of an earlier incarnation
// and delayed messages must not keep a restarted process live or make it appear
// behind.
func (c *Core) recordIfLatest(p *peer, b Beat) bool {
	if b.Incarnation < p.incarnation {
		c.reportIf(c.config.Rules.SkipIncarnation, "incarnation of %s went back", b.From)
		return c.config.Rules.SkipIncarnation
	}
	if b.Incarnation > p.incarnation {
		*p = peer{incarnation: b.Incarnation}
	} else if b.Sequence <= p.sequence {
		return false
	}
	p.sequence = b.Sequence
	p.applied = max(p.applied, b.Applied)
	return true
}

// advanceIncarnation sets an incarnation above the one that another process
// knows for this name. The clock may have gone back since the last start; the
// others would then ignore this process as an earlier incarnation, and it would
// never become a member. Two processes that share a name, a mistake in the
// settings, would advance each other without end; that is reported.
func (c *Core) advanceIncarnation(known uint64) {
	if known <= c.incarnation {
		return
	}
	c.incarnationAdvances++
	c.reportIf(c.incarnationAdvances == maxIncarnationAdvances, "another process seems to use the name %s", c.config.Self)
	c.incarnation = known + 1
	c.sequence = 0
}

func (c *Core) recordLeader(leader model.NodeID, term uint64) {
	if term < c.term || leader == "" {
		return
	}
	c.leader, c.term = leader, term
}

// adoptView adopts a newer view. An older one would restore removed members, at
// some processes and not at others.
func (c *Core) adoptView(v View) {
	if v.Live == nil || len(v.Live) > maxMembers {
		return
	}
	if !v.Newer(c.view) {
		isOlder := c.view.Newer(v)
		c.reportIf(isOlder && c.config.Rules.SkipViewOrder, "view went back from %d.%d to %d.%d", c.view.Term, c.view.Version, v.Term, v.Version)
		if !c.config.Rules.SkipViewOrder {
			return
		}
	}
	c.view = View{Term: v.Term, Version: v.Version, Live: sortedByName(v.Live)}
}

func sortedByName(members []Member) []Member {
	s := slices.Clone(members)
	slices.SortFunc(s, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return slices.CompactFunc(s, func(a, b Member) bool { return a.Node == b.Node })
}

// Behind returns the processes that are not known to have applied the index,
// sorted by name. It uses the applied index of the last Update for this process
// and that of the last Beat for each other one; at the leader these are at most
// one interval old.
func (c *Core) Behind(index uint64) (behind []model.NodeID) {
	for _, name := range c.members {
		applied := c.local.Applied
		if p := c.peers[name]; p != nil {
			applied = p.applied
		}
		if applied < index {
			behind = append(behind, name)
		}
	}
	return behind
}

// reportIf records the violation of an invariant if violated is true.
func (c *Core) reportIf(violated bool, format string, args ...any) {
	if violated {
		c.reportViolation(format, args...)
	}
}

func (c *Core) reportViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}
