package replica

import (
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/snapshot"
)

// saver writes snapshots, one at a time, and never replaces a newer one by an
// older one: a snapshot of this voter may still be in progress when a leader
// sends one.
type saver struct {
	disk datafolder.FS
	dir  string

	mu         sync.Mutex
	savedIndex uint64
}

func newSaver(disk datafolder.FS, dir string) *saver { return &saver{disk: disk, dir: dir} }

// save returns once this or a newer snapshot is durable.
func (s *saver) save(snap quorum.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Meta.Index <= s.savedIndex {
		return nil
	}
	if err := snapshot.Save(s.disk, s.dir, snap); err != nil {
		return err
	}
	s.savedIndex = snap.Meta.Index
	return nil
}
