package quorum

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// checkedWindow is the number of recent indexes that an InvariantChecker
	// remembers.
	checkedWindow = 4096
	// maxViolationTexts is the number of violations whose text an
	// InvariantChecker keeps.
	maxViolationTexts = 16
)

// InvariantChecker checks the invariants of the protocol over the messages,
// Readys and status that are passed to it, of one voter in a process or of all
// voters in a test. Its memory is bounded. It is not safe for concurrent use.
type InvariantChecker struct {
	leaders       map[uint64]ID // by term
	maxLeaderTerm uint64        // the highest term with a known leader
	// entries holds by index the entries that were seen, one per term, and
	// committed the one that was committed.
	entries        map[uint64][]fingerprint
	committed      map[uint64]fingerprint
	maxCommitted   uint64 // the highest committed index
	lastStatus     map[ID]*Status
	violationCount uint64
	violations     []string
}

// fingerprint identifies an entry and its predecessor.
type fingerprint struct {
	term     uint64
	previous uint64 // term of the preceding entry, 0 if unknown
	sum      uint64
}

// NewInvariantChecker returns an empty InvariantChecker.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		leaders:    map[uint64]ID{},
		entries:    map[uint64][]fingerprint{},
		committed:  map[uint64]fingerprint{},
		lastStatus: map[ID]*Status{},
	}
}

// Violations returns the number of failed checks and the texts of the first ones.
func (c *InvariantChecker) Violations() (uint64, []string) {
	return c.violationCount, c.violations
}

func (c *InvariantChecker) fail(format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxViolationTexts {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// VoterRestarted forgets the last status of a voter: its commit index and the
// entries that it applied since its snapshot may go back at a restart.
func (c *InvariantChecker) VoterRestarted(id ID) {
	delete(c.lastStatus, id)
}

// CheckMessage checks a message that was sent or received: at most one leader per
// term, and log matching.
func (c *InvariantChecker) CheckMessage(m *Message) {
	if m.fromLeader() {
		c.checkLeader(m.From, m.Term)
	}
	if m.Kind == KindAppend {
		c.checkLogMatching(m.From, m.LogTerm, m.Entries)
	}
}

func (c *InvariantChecker) checkLeader(id ID, term uint64) {
	known, ok := c.leaders[term]
	if ok && known != id {
		c.fail("one leader a term: %q and %q in term %d", known, id, term)
		return
	}
	c.leaders[term] = id
	c.maxLeaderTerm = max(c.maxLeaderTerm, term)
	delete(c.leaders, term-checkedWindow)
}

// CheckReady checks the work of one voter: that the entries it stores satisfy log
// matching, and that it applies the same entry at each index as the other
// voters.
func (c *InvariantChecker) CheckReady(id ID, rd *Ready) {
	c.checkLogMatching(id, 0, rd.Entries)
	for i := range rd.Committed {
		c.checkCommitted(id, &rd.Committed[i])
	}
}

// checkLogMatching checks that index and term determine an entry and the term
// of the preceding entry. By induction, two logs that share an entry are then
// identical up to it.
func (c *InvariantChecker) checkLogMatching(id ID, previous uint64, entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index+checkedWindow > c.maxCommitted {
			c.checkEntry(id, e, previous)
		}
		previous = e.Term
	}
}

func (c *InvariantChecker) checkEntry(id ID, e *Entry, previous uint64) {
	f := fingerprintOf(e, previous)
	known := c.entries[e.Index]
	for i := range known {
		if known[i].term != f.term {
			continue
		}
		differs := known[i].previous != 0 && f.previous != 0 && known[i].previous != f.previous
		if known[i].sum != f.sum || differs {
			c.fail("log matching: entry %d of term %d at %q differs from another voter's", e.Index, e.Term, id)
		}
		known[i].previous = max(known[i].previous, f.previous)
		return
	}
	c.entries[e.Index] = append(known, f)
}

func (c *InvariantChecker) checkCommitted(id ID, e *Entry) {
	if e.Index+checkedWindow <= c.maxCommitted {
		return
	}
	f := fingerprintOf(e, 0)
	known, ok := c.committed[e.Index]
	if ok && (known.term != f.term || known.sum != f.sum) {
		c.fail("committed never lost: %q applies entry %d of term %d, term %d was committed", id, e.Index, e.Term, known.term)
		return
	}
	c.committed[e.Index] = f
	c.advanceWindow(e.Index)
}

// advanceWindow moves the window of remembered indexes.
func (c *InvariantChecker) advanceWindow(index uint64) {
	if index <= c.maxCommitted {
		return
	}
	for i := c.maxCommitted; i < min(index, c.maxCommitted+checkedWindow); i++ {
		delete(c.committed, i-checkedWindow)
		delete(c.entries, i-checkedWindow)
	}
	c.maxCommitted = index
}

func fingerprintOf(e *Entry, previous uint64) fingerprint {
	return fingerprint{term: e.Term, previous: previous, sum: xxhash.Sum64(e.Data) + uint64(e.Kind)}
}

// CheckVoter checks a voter after it processed an event: its own state, that term,
// commit and applied index did not decrease, that there is at most one leader
// per term, that a new leader has all committed entries, and that no leader of
// an earlier term is Confirmed.
func (c *InvariantChecker) CheckVoter(r *Raft) {
	s := r.Status()
	for _, violation := range r.Check() {
		c.fail("%q: %s", s.Self, violation)
	}
	before := c.lastStatus[s.Self]
	if before == nil {
		before = &Status{}
		c.lastStatus[s.Self] = before
	}
	if s.Term < before.Term || s.Commit < before.Commit || s.Applied < before.Applied {
		c.fail("nothing steps back: %q from term %d commit %d applied %d to %d %d %d",
			s.Self, before.Term, before.Commit, before.Applied, s.Term, s.Commit, s.Applied)
	}
	elected := s.Role == RoleLeader && (before.Role != RoleLeader || before.Term != s.Term)
	*before = s
	if elected {
		c.checkElected(r, &s)
	}
	c.CheckLease(&s)
}

func (c *InvariantChecker) checkElected(r *Raft, s *Status) {
	c.checkLeader(s.Self, s.Term)
	// The deciding vote may have been delayed: entries that leaders of later
	// terms committed in the meantime need not be in this log.
	if s.Term < c.maxLeaderTerm {
		return
	}
	for index := max(c.maxCommitted, checkedWindow) - checkedWindow; index <= c.maxCommitted; index++ {
		f, ok := c.committed[index]
		if ok && index > r.log.baseIndex && !r.log.matchesTerm(index, f.term) {
			c.fail("committed never lost: new leader %q of term %d lacks committed entry %d of term %d", s.Self, s.Term, index, f.term)
			return
		}
	}
}

// CheckLease checks that a Confirmed leader has the highest term of all known
// leaders. Tests also call it for the other voters when a leader is elected.
func (c *InvariantChecker) CheckLease(s *Status) {
	if s.Confirmed && s.Term < c.maxLeaderTerm {
		c.fail("lease: %q is Confirmed in term %d while term %d has a leader", s.Self, s.Term, c.maxLeaderTerm)
	}
}

// CheckDurable checks that the state on which a message depends is durable before
// the message is sent: hard is the stored hard state and last the last index
// of the stored log.
func (c *InvariantChecker) CheckDurable(m *Message, hard HardState, last uint64) {
	vote := ID("")
	switch {
	case m.Kind == KindVote:
		vote = m.From
	case m.Kind == KindVoteReply && !m.Reject:
		vote = m.To
	}
	durable := m.Term <= hard.Term
	if vote != "" {
		durable = m.Term == hard.Term && vote == hard.VotedFor
	}
	if m.Kind == KindAppendReply && !m.Reject {
		durable = durable && m.Index <= last
	}
	if m.RequiresSync() && !durable {
		c.fail("durable before send: kind %d of term %d index %d from %q to %q, stored are %+v and %d",
			m.Kind, m.Term, m.Index, m.From, m.To, hard, last)
	}
}

// CheckRead checks that the index of a confirmed read covers all entries that were
// committed when the read was requested.
func (c *InvariantChecker) CheckRead(id ID, committedBefore, index uint64) {
	if index < committedBefore {
		c.fail("no stale read: %q answers %d, %d was committed before the read", id, index, committedBefore)
	}
}
