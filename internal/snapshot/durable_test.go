package snapshot

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
)

// Guards against a voter that can't start any more: its process is killed between
// the rename of a snapshot and the sync of the directory, the next process continues
// from that snapshot, and a loss of power takes the name away again.
func TestLoadedSnapshotSurvivesPowerLoss(t *testing.T) {
	is := is.New(t)
	saved := snapshotAt(7)
	for seed := range uint64(20) {
		disk := fakedisk.New()
		disk.SetFault(func(op fakedisk.Op) error {
			if op.Kind == fakedisk.SyncDir && op.File == testDir {
				return fakedisk.ErrCrash
			}
			return nil
		})
		is.True(Save(disk, testDir, saved) != nil)
		disk = disk.Restart()
		loaded, err := Load(disk, testDir)
		is.NoErr(err)
		is.Equal(loaded.Meta.Index, saved.Meta.Index)
		disk = disk.Reboot(rand.New(rand.NewPCG(seed, 1)))
		loaded, err = Load(disk, testDir)
		is.NoErr(err)
		is.True(loaded != nil) // the process before has built on it
	}
}
