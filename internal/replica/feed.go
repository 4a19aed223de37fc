package replica

import (
	"context"
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// feed holds the applied part of the log for followers: the latest durable
// snapshot, the entries after it, and some before it. Its memory is bounded,
// because each new snapshot drops the entries that it covers.
type feed struct {
	mu       sync.Mutex
	snapshot *quorum.Snapshot
	entries  []quorum.Entry
	// applied is the index of the last entry.
	applied uint64
	changed chan struct{}
	closed  bool
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// append adds applied entries.
func (f *feed) append(entries []quorum.Entry) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, entries...)
	f.applied = entries[len(entries)-1].Index
	f.wake()
}

// reset discards the entries and continues from a snapshot that replaced the
// state.
func (f *feed) reset(s *quorum.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	f.entries = nil
	f.applied = s.Meta.Index
	f.wake()
}

// compact replaces the snapshot and drops the entries that it covers, except
// the last keep within keepBytes. The rest is copied, so that the memory of the dropped entries
// can be freed.
func (f *feed) compact(s *quorum.Snapshot, keep, keepBytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot != nil && f.snapshot.Meta.Index >= s.Meta.Index {
		return
	}
	f.snapshot = s
	covered := len(f.entries) - int(f.applied-s.Meta.Index)
	first := max(covered, 0)
	for first > 0 && covered-first < keep && len(f.entries[first-1].Data) <= keepBytes {
		first--
		keepBytes -= len(f.entries[first].Data)
	}
	if first > 0 {
		f.entries = append([]quorum.Entry(nil), f.entries[first:]...)
	}
}

func (f *feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.wake()
}

func (f *feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// read returns the available entries from an index on, or a channel that is
// closed when there may be more.
func (f *feed) read(from uint64, maxBytes int) (LogChunk, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return LogChunk{}, nil, errStopped
	}
	if from > f.applied {
		return LogChunk{}, f.changed, nil
	}
	first := f.applied - uint64(len(f.entries)) + 1
	if from < first {
		return LogChunk{Snapshot: f.snapshot, Commit: f.applied}, nil, nil
	}
	return LogChunk{Entries: limitBytes(f.entries[from-first:], maxBytes), Commit: f.applied}, nil, nil
}

// limitBytes returns the first entries that have at most maxBytes together, but
// at least one entry.
func limitBytes(entries []quorum.Entry, maxBytes int) []quorum.Entry {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// Committed returns applied entries from an index on, at most maxBytes but at
// least one entry, or a snapshot when that index was compacted. It waits until
// there are entries or ctx ends.
func (r *Replica) Committed(ctx context.Context, from uint64, maxBytes int) (LogChunk, error) {
	for {
		chunk, changed, err := r.feed.read(from, maxBytes)
		if err != nil || changed == nil {
			return chunk, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return LogChunk{}, ctx.Err()
		}
	}
}
