package quorum

import (
	"fmt"
	"slices"
	"sort"
)

// entryLog holds the entries after base in memory, with the marks of how far
// they are stored, committed and handed out.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry // entries[i].Index == baseIndex+1+i
	stable    uint64  // last index that is durable here
	commit    uint64
	handed    uint64 // last index handed out to be applied
	applied   uint64
	dropped   bool       // entries that were recovered do not go on from the snapshot
	sets      []voterSet // ascending; the first is in force at baseIndex
}

// voterSet is a set of voters and the index from which on it is in force.
type voterSet struct {
	index  uint64
	voters Voters
}

// newLog takes what was recovered. Entries that the snapshot covers are
// dropped; if they contradict it, so is everything after them, as a crash
// between saving a received snapshot and cutting the log leaves them behind.
func newLog(meta SnapshotMeta, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{}
	l.reset(meta)
	tail, dropped, err := afterSnapshot(meta, entries)
	if err != nil {
		return nil, err
	}
	l.dropped = dropped
	if err := l.append(tail); err != nil {
		return nil, err
	}
	l.stable = l.last()
	l.commit = max(l.commit, min(commit, l.last()))
	return l, nil
}

// afterSnapshot returns the entries that go on from the snapshot, and whether
// there were others that do not.
func afterSnapshot(meta SnapshotMeta, entries []Entry) (tail []Entry, dropped bool, err error) {
	if len(entries) == 0 {
		return nil, false, nil
	}
	first := entries[0]
	if err := checkEntries(first.Index-1, first.Term, entries[len(entries)-1].Term, entries); err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if first.Index > meta.Index+1 {
		return nil, false, fmt.Errorf("%w: entries start at %d after a snapshot at %d", ErrCorrupt, first.Index, meta.Index)
	}
	skip := meta.Index + 1 - first.Index
	if skip == 0 {
		return entries, false, nil
	}
	if skip > uint64(len(entries)) || entries[skip-1].Term != meta.Term {
		return nil, true, nil
	}
	return entries[skip:], false, nil
}

// reset makes the log empty after a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.stable, l.commit, l.handed = meta.Index, meta.Index, meta.Index
	l.sets = []voterSet{{index: meta.Index, voters: meta.Voters.normal()}}
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an index, false when it is compacted or not reached.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, both included.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if lo <= l.baseIndex || lo > hi {
		return nil
	}
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries from lo on, of at most maxBytes but at least one.
func (l *entryLog) batch(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.last())
	size := 0
	for i := range all {
		size += entrySize(&all[i])
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// entryOverhead is about what an entry costs on the wire besides its data, in bytes.
const entryOverhead = 24

func entrySize(e *Entry) int {
	return len(e.Data) + entryOverhead
}

// append adds entries after the last one.
func (l *entryLog) append(entries []Entry) error {
	sets := l.sets
	for i := range entries {
		if entries[i].Kind != EntryVoters {
			continue
		}
		v, err := DecodeVoters(entries[i].Data)
		if err != nil {
			return err
		}
		sets = append(sets, voterSet{index: entries[i].Index, voters: v})
	}
	l.sets = sets
	l.entries = append(l.entries, entries...)
	return nil
}

// truncate drops the entries from index on. The slice is clipped so that a
// later append cannot write into entries which were handed out.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.sets) > 1 && l.sets[len(l.sets)-1].index >= index {
		l.sets = l.sets[:len(l.sets)-1]
	}
}

// compact forgets the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.handed {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
	for len(l.sets) > 1 && l.sets[1].index <= index {
		l.sets = l.sets[1:]
	}
}

func (l *entryLog) unstable() []Entry {
	return l.slice(l.stable+1, l.last())
}

func (l *entryLog) toApply() []Entry {
	return l.slice(l.handed+1, l.commit)
}

// stableTo notes what was stored, unless it was overwritten in the meantime.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

// conflict returns the first of the entries that is not in the log, 0 when
// all are.
func (l *entryLog) conflict(entries []Entry) uint64 {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// lastAtMost returns the last entry up to index whose term is at most term.
func (l *entryLog) lastAtMost(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	if index < l.baseIndex {
		return index, 0
	}
	n := int(index - l.baseIndex)
	above := sort.Search(n, func(i int) bool { return l.entries[i].Term > term })
	if above == 0 {
		return l.baseIndex, l.baseTerm
	}
	return l.entries[above-1].Index, l.entries[above-1].Term
}

// voters returns the set in force: the last one in the log, committed or not.
func (l *entryLog) voters() Voters {
	return l.sets[len(l.sets)-1].voters
}

func (l *entryLog) votersIndex() uint64 {
	return l.sets[len(l.sets)-1].index
}

func (l *entryLog) votersAt(index uint64) Voters {
	v := l.sets[0].voters
	for _, s := range l.sets[1:] {
		if s.index <= index {
			v = s.voters
		}
	}
	return v
}
