package node

import (
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/samber/oops"
)

// snapshotFetch is a snapshot that is being fetched; data is its first part.
type snapshotFetch struct {
	meta  quorum.SnapshotMeta
	total uint64
	data  []byte
}

// addChunk adds a part of a snapshot, and installs the snapshot once it is
// complete.
func (f *Follower) addChunk(c *nodepb.SnapshotChunk) error {
	meta, err := decodeMeta(c.Meta)
	if err != nil {
		return errors.Join(ErrInvalidFeed, err)
	}
	if applied := f.config.Machine.Applied(); meta.Index <= applied || meta.Term < f.lastTerm {
		return oops.Wrapf(ErrStaleFeed, "snapshot of index %d, term %d; applied here: index %d, term %d",
			meta.Index, meta.Term, applied, f.lastTerm)
	}
	f.startFetch(meta, c.Total)
	if err := f.fetch.add(c); err != nil {
		return err
	}
	if uint64(len(f.fetch.data)) < f.fetch.total {
		return nil
	}
	return f.install()
}

// startFetch starts a new fetch unless the chunk belongs to the current one:
// after a rotation another voter may offer another snapshot.
func (f *Follower) startFetch(meta quorum.SnapshotMeta, total uint64) {
	if f.fetch != nil && f.fetch.meta.Index == meta.Index && f.fetch.meta.Term == meta.Term && f.fetch.total == total {
		return
	}
	f.fetch = &snapshotFetch{meta: meta, total: total}
}

// add appends a chunk, which must continue the fetched part.
func (s *snapshotFetch) add(c *nodepb.SnapshotChunk) error {
	if c.Total > maxSnapshotBytes || c.Offset != uint64(len(s.data)) {
		return oops.Wrapf(ErrInvalidFeed, "chunk at offset %d of %d bytes, %d bytes fetched so far", c.Offset, c.Total, len(s.data))
	}
	end := c.Offset + uint64(len(c.Data))
	if end > c.Total || (len(c.Data) == 0 && end < c.Total) {
		return oops.Wrapf(ErrInvalidFeed, "chunk of %d bytes at offset %d of %d bytes", len(c.Data), c.Offset, c.Total)
	}
	s.data = append(s.data, c.Data...)
	return nil
}

// install replaces the state with the fetched snapshot.
func (f *Follower) install() error {
	fetched := f.fetch
	f.fetch = nil
	if err := f.config.Machine.Restore(fetched.data); err != nil {
		return errors.Join(ErrInvalidFeed, err)
	}
	f.snapshots.Inc(1)
	f.lastTerm = fetched.meta.Term
	if applied := f.config.Machine.Applied(); applied != fetched.meta.Index {
		return oops.Wrapf(ErrInvalidFeed, "snapshot of index %d restored index %d", fetched.meta.Index, applied)
	}
	return nil
}
