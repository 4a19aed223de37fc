package replica

import (
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/snapshot"
)

// saver writes snapshots, one at a time and never an older one over a newer:
// a snapshot of our own may still be on its way when a leader sends one.
type saver struct {
	disk datafolder.FS
	dir  string

	mu    sync.Mutex
	saved uint64
}

func newSaver(disk datafolder.FS, dir string) *saver { return &saver{disk: disk, dir: dir} }

// save returns once this snapshot, or a newer one, is durable.
func (s *saver) save(snap quorum.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Meta.Index <= s.saved {
		return nil
	}
	if err := snapshot.Save(s.disk, s.dir, snap); err != nil {
		return err
	}
	s.saved = snap.Meta.Index
	return nil
}
