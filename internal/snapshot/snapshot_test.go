package snapshot

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const testDir = "/data/snapshot"

func snapshotAt(index uint64) quorum.Snapshot {
	return quorum.Snapshot{
		Meta: quorum.SnapshotMeta{Index: index, Term: 2, Voters: quorum.Voters{Members: []quorum.ID{"a#1", "b#2"}}},
		Data: make([]byte, 3000),
	}
}

// Guards against a voter that starts without the snapshot that its compacted
// log needs. The machine stops, or the disk is full, within any call of a save;
// the new file must not replace the old one before it is durable.
func TestCrashAtEveryDiskCall(t *testing.T) {
	is := is.New(t)
	for crash := 1; crash <= 8; crash++ {
		for seed := range uint64(16) {
			disk := fakedisk.New()
			is.NoErr(Save(disk, testDir, snapshotAt(1)))
			first := disk.OpCount()
			cause := fakedisk.ErrCrash
			if seed%4 == 0 {
				cause = syscall.ENOSPC
			}
			disk.SetFault(func(op fakedisk.Op) error {
				if op.Number == first+crash {
					return cause
				}
				return nil
			})
			err := Save(disk, testDir, snapshotAt(2))
			found, loadErr := Load(disk.Reboot(rand.New(rand.NewPCG(seed, 1))), testDir)
			is.NoErr(loadErr)
			is.True(found != nil)
			is.True(found.Meta.Index == 2 || err != nil) // a saved snapshot is present
			is.True(len(found.Data) == 3000)             // and complete, whichever it is
		}
	}
}

// Guards against a damaged state that is applied and spread to other voters
// because the checksum of the snapshot was not compared.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	none, err := Load(fakedisk.New(), testDir)
	is.NoErr(err)
	is.True(none == nil)
	for _, offset := range []int{0, versionOffset, crcOffset, lengthOffset, headerSize, headerSize + 2000} {
		disk := fakedisk.New()
		is.NoErr(Save(disk, testDir, snapshotAt(1)))
		disk.FlipBit(filepath.Join(testDir, fileName), offset, 3)
		_, err := Load(disk, testDir)
		var corrupt *datafolder.CorruptError
		is.True(errors.As(err, &corrupt))
		is.True(corrupt.Hint != "")
	}
}
