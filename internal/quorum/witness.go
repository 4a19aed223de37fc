package quorum

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// witnessWindow is how many of the latest indexes a Witness remembers.
	witnessWindow = 4096
	// witnessKept is how many broken invariants a Witness keeps in words.
	witnessKept = 16
)

// Witness checks the promises of the protocol over what it is shown: the
// messages, the work handed out and the status of one voter in a process, or
// of all voters in a test. Its memory is bounded. It is not safe for
// concurrent use.
type Witness struct {
	leaders map[uint64]ID // by term
	topTerm uint64        // the highest term that a leader is known of
	// entries holds by index which entries were seen there, one a term, and
	// committed which of them was committed.
	entries   map[uint64][]fingerprint
	committed map[uint64]fingerprint
	top       uint64 // the highest committed index
	seen      map[ID]*Status
	count     uint64
	broken    []string
}

// fingerprint stands for an entry and its place in the log.
type fingerprint struct {
	term     uint64
	previous uint64 // term of the entry before, 0 when not known
	sum      uint64
}

// NewWitness returns a Witness that has seen nothing.
func NewWitness() *Witness {
	return &Witness{
		leaders:   map[uint64]ID{},
		entries:   map[uint64][]fingerprint{},
		committed: map[uint64]fingerprint{},
		seen:      map[ID]*Status{},
	}
}

// Broken returns how many checks failed, and the first of them in words.
func (w *Witness) Broken() (uint64, []string) {
	return w.count, w.broken
}

func (w *Witness) fail(format string, args ...any) {
	w.count++
	if len(w.broken) < witnessKept {
		w.broken = append(w.broken, fmt.Sprintf(format, args...))
	}
}

// Restarted forgets what may go back when a voter restarts: what it knew to
// be committed and what it applied since its snapshot.
func (w *Witness) Restarted(id ID) {
	delete(w.seen, id)
}

// Message checks a message that was sent or received: one leader a term, and
// log matching.
func (w *Witness) Message(m *Message) {
	if m.fromLeader() {
		w.leader(m.From, m.Term)
	}
	if m.Kind == KindAppend {
		w.logMatching(m.From, m.LogTerm, m.Entries)
	}
}

func (w *Witness) leader(id ID, term uint64) {
	known, ok := w.leaders[term]
	if ok && known != id {
		w.fail("one leader a term: %q and %q in term %d", known, id, term)
		return
	}
	w.leaders[term] = id
	w.topTerm = max(w.topTerm, term)
	delete(w.leaders, term-witnessWindow)
}

// Ready checks the work of one voter: log matching of what it stores, and
// that what it applies agrees with what any voter applied at the same index.
func (w *Witness) Ready(id ID, rd *Ready) {
	w.logMatching(id, 0, rd.Entries)
	for i := range rd.Committed {
		w.commit(id, &rd.Committed[i])
	}
}

// logMatching checks that an entry is determined by index and term, and so
// is the entry before it; from that follows by induction that two logs which
// share an entry are equal up to it.
func (w *Witness) logMatching(id ID, previous uint64, entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index+witnessWindow > w.top {
			w.entry(id, e, previous)
		}
		previous = e.Term
	}
}

func (w *Witness) entry(id ID, e *Entry, previous uint64) {
	f := fingerprintOf(e, previous)
	known := w.entries[e.Index]
	for i := range known {
		if known[i].term != f.term {
			continue
		}
		differs := known[i].previous != 0 && f.previous != 0 && known[i].previous != f.previous
		if known[i].sum != f.sum || differs {
			w.fail("log matching: entry %d of term %d at %q differs from another voter's", e.Index, e.Term, id)
		}
		known[i].previous = max(known[i].previous, f.previous)
		return
	}
	w.entries[e.Index] = append(known, f)
}

func (w *Witness) commit(id ID, e *Entry) {
	if e.Index+witnessWindow <= w.top {
		return
	}
	f := fingerprintOf(e, 0)
	known, ok := w.committed[e.Index]
	if ok && (known.term != f.term || known.sum != f.sum) {
		w.fail("committed never lost: %q applies entry %d of term %d, term %d was committed", id, e.Index, e.Term, known.term)
		return
	}
	w.committed[e.Index] = f
	w.advance(e.Index)
}

// advance moves the window of remembered indexes.
func (w *Witness) advance(index uint64) {
	if index <= w.top {
		return
	}
	for i := w.top; i < min(index, w.top+witnessWindow); i++ {
		delete(w.committed, i-witnessWindow)
		delete(w.entries, i-witnessWindow)
	}
	w.top = index
}

func fingerprintOf(e *Entry, previous uint64) fingerprint {
	return fingerprint{term: e.Term, previous: previous, sum: xxhash.Sum64(e.Data) + uint64(e.Kind)}
}

// Voter checks a voter after it did something: its own state, that nothing
// went back, one leader a term, that a new leader holds what is committed,
// and that no leader of an earlier term is Confirmed.
func (w *Witness) Voter(r *Raft) {
	s := r.Status()
	for _, b := range r.Check() {
		w.fail("%q: %s", s.Self, b)
	}
	before := w.seen[s.Self]
	if before == nil {
		before = &Status{}
		w.seen[s.Self] = before
	}
	if s.Term < before.Term || s.Commit < before.Commit || s.Applied < before.Applied {
		w.fail("nothing steps back: %q from term %d commit %d applied %d to %d %d %d",
			s.Self, before.Term, before.Commit, before.Applied, s.Term, s.Commit, s.Applied)
	}
	elected := s.Role == RoleLeader && (before.Role != RoleLeader || before.Term != s.Term)
	*before = s
	if elected {
		w.elected(r, &s)
	}
	w.Confirmed(&s)
}

func (w *Witness) elected(r *Raft, s *Status) {
	w.leader(s.Self, s.Term)
	// The last vote may have been late: what leaders of later terms
	// committed in the meantime need not be here.
	if s.Term < w.topTerm {
		return
	}
	for index := max(w.top, witnessWindow) - witnessWindow; index <= w.top; index++ {
		f, ok := w.committed[index]
		if ok && index > r.log.baseIndex && !r.log.matches(index, f.term) {
			w.fail("committed never lost: new leader %q of term %d lacks committed entry %d of term %d", s.Self, s.Term, index, f.term)
			return
		}
	}
}

// Confirmed checks that a Confirmed leader has the highest term that anybody
// leads. A test also calls it for the others when a leader is elected.
func (w *Witness) Confirmed(s *Status) {
	if s.Confirmed && s.Term < w.topTerm {
		w.fail("lease: %q is Confirmed in term %d while term %d has a leader", s.Self, s.Term, w.topTerm)
	}
}

// Promise checks that what a message promises is durable before it leaves:
// hard is the stored hard state and last the last index of the stored log.
func (w *Witness) Promise(m *Message, hard HardState, last uint64) {
	vote := ID("")
	switch {
	case m.Kind == KindVote:
		vote = m.From
	case m.Kind == KindVoteReply && !m.Reject:
		vote = m.To
	}
	kept := m.Term <= hard.Term
	if vote != "" {
		kept = m.Term == hard.Term && vote == hard.VotedFor
	}
	if m.Kind == KindAppendReply && !m.Reject {
		kept = kept && m.Index <= last
	}
	if m.Promises() && !kept {
		w.fail("durable before send: kind %d of term %d index %d from %q to %q, stored are %+v and %d",
			m.Kind, m.Term, m.Index, m.From, m.To, hard, last)
	}
}

// Read checks that a read was answered with an index that covers what was
// committed when it was asked for.
func (w *Witness) Read(id ID, committedBefore, index uint64) {
	if index < committedBefore {
		w.fail("no stale read: %q answers %d, %d was committed before the read", id, index, committedBefore)
	}
}
