package quorum

import (
	"fmt"
	"slices"
	"sort"
)

// entryLog holds the entries after the base in memory, and the indexes up to
// which they are stable, committed, handed out and applied.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry // entries[i].Index == baseIndex+1+i
	stable    uint64  // last index that is durable locally
	commit    uint64
	applying  uint64 // last index handed out to be applied
	applied   uint64
	dropped   bool       // recovered entries do not continue from the snapshot
	voterSets []voterSet // ascending; the first is in force at baseIndex
}

// voterSet is a set of voters and the index from which it is in force.
type voterSet struct {
	index  uint64
	voters Voters
}

// newLog returns a log with the recovered state. Entries that the snapshot
// covers are dropped. If they contradict the snapshot, all later entries are
// dropped as well: they remain after a crash between saving a received snapshot
// and truncating the log.
func newLog(meta SnapshotMeta, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{}
	l.resetToSnapshot(meta)
	tail, dropped, err := entriesAfterSnapshot(meta, entries)
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

// entriesAfterSnapshot returns the entries that continue from the snapshot. If
// the entries end before the snapshot or contradict it, dropped is true.
func entriesAfterSnapshot(meta SnapshotMeta, entries []Entry) (tail []Entry, dropped bool, err error) {
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

// resetToSnapshot empties the log and sets its base to the snapshot.
func (l *entryLog) resetToSnapshot(meta SnapshotMeta) {
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.entries = nil
	l.stable, l.commit, l.applying = meta.Index, meta.Index, meta.Index
	l.voterSets = []voterSet{{index: meta.Index, voters: meta.Voters.sorted()}}
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an index, false if it is compacted or not reached.
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

func (l *entryLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, inclusive.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if lo <= l.baseIndex || lo > hi {
		return nil
	}
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries from lo on, limited to maxBytes but at least one.
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

// entryOverhead is the approximate size of an encoded entry without its data,
// in bytes.
const entryOverhead = 24

func entrySize(e *Entry) int {
	return len(e.Data) + entryOverhead
}

// append adds entries at the end of the log.
func (l *entryLog) append(entries []Entry) error {
	sets := l.voterSets
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
	l.voterSets = sets
	l.entries = append(l.entries, entries...)
	return nil
}

// truncate drops the entries from index on. It limits the capacity of the
// slice, so that a later append cannot overwrite entries that were handed out.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.voterSets) > 1 && l.voterSets[len(l.voterSets)-1].index >= index {
		l.voterSets = l.voterSets[:len(l.voterSets)-1]
	}
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applying {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
	for len(l.voterSets) > 1 && l.voterSets[1].index <= index {
		l.voterSets = l.voterSets[1:]
	}
}

// countWithin returns how many of the entries up to an index are within a number of
// entries and of bytes.
func (l *entryLog) countWithin(index uint64, entries, bytes int) uint64 {
	count := 0
	for i := index; i > l.baseIndex && i <= l.last() && count < entries; i-- {
		if bytes -= entrySize(&l.entries[i-l.baseIndex-1]); bytes < 0 {
			break
		}
		count++
	}
	return uint64(count)
}

func (l *entryLog) unstable() []Entry {
	return l.slice(l.stable+1, l.last())
}

func (l *entryLog) nextCommitted() []Entry {
	return l.slice(l.applying+1, l.commit)
}

// stableTo records that the log is durable up to index, unless that entry was
// overwritten in the meantime.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matchesTerm(index, term) {
		l.stable = index
	}
}

// firstConflict returns the index of the first entry that is not in the log, 0
// if all are.
func (l *entryLog) firstConflict(entries []Entry) uint64 {
	for i := range entries {
		if !l.matchesTerm(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// lastWithTermAtMost returns the index and term of the last entry up to index
// whose term is at most term.
func (l *entryLog) lastWithTermAtMost(index, term uint64) (uint64, uint64) {
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

// voters returns the set in force: the last one in the log, whether committed
// or not.
func (l *entryLog) voters() Voters {
	return l.voterSets[len(l.voterSets)-1].voters
}

func (l *entryLog) votersIndex() uint64 {
	return l.voterSets[len(l.voterSets)-1].index
}

func (l *entryLog) votersAt(index uint64) Voters {
	v := l.voterSets[0].voters
	for _, s := range l.voterSets[1:] {
		if s.index <= index {
			v = s.voters
		}
	}
	return v
}
