package datafolder_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
)

func options(disk datafolder.FS) datafolder.Options {
	return datafolder.Options{Path: "/data", Site: "port-klang", Node: "a", Disk: disk}
}

// The machine crashes during any call while the identity is written. An identity
// that takes effect before it is durable could make a voter vote under two disk
// identities, or forget a phase that it reported to others.
func TestIdentitySurvivesCrashes(t *testing.T) {
	is := is.New(t)
	for crash := 1; crash <= 12; crash++ {
		for seed := range uint64(16) {
			random := rand.New(rand.NewPCG(seed, 1))
			disk := fakedisk.New()
			disk.SetFault(func(op fakedisk.Op) error {
				if op.Number == crash {
					return fakedisk.ErrCrash
				}
				return nil
			})
			f, err := datafolder.Open(options(disk))
			opened := err == nil
			var reported datafolder.Identity
			if opened {
				reported = f.Identity()
				next := reported
				next.Phase = datafolder.PhaseActive
				_ = f.SetIdentity(next)
				reported = f.Identity()
			}
			again, err := datafolder.Open(options(disk.Reboot(random)))
			is.NoErr(err)
			is.True(!opened || again.Identity().Disk == reported.Disk)
			is.True(!opened || again.Identity().Phase >= reported.Phase)
		}
	}
}

// The process is killed between the rename of an identity and the sync of the
// directory. The next process acts in the phase that it reads, and a loss of power
// must not take that phase, or the whole identity, away again.
func TestReadIdentitySurvivesPowerLoss(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		disk := fakedisk.New()
		f, err := datafolder.Open(options(disk))
		is.NoErr(err)
		active := f.Identity()
		active.Phase = datafolder.PhaseActive
		disk.SetFault(func(op fakedisk.Op) error {
			if op.Kind == fakedisk.SyncDir {
				return fakedisk.ErrCrash
			}
			return nil
		})
		is.True(f.SetIdentity(active) != nil)
		disk = disk.Restart()
		f, err = datafolder.Open(options(disk))
		is.NoErr(err)
		is.Equal(f.Identity().Phase, datafolder.PhaseActive)
		f, err = datafolder.Open(options(disk.Reboot(rand.New(rand.NewPCG(seed, 1)))))
		is.NoErr(err)
		is.Equal(f.Identity().Phase, datafolder.PhaseActive)
	}
}

func TestFolderOfAnotherOwnerIsRefused(t *testing.T) {
	is := is.New(t)
	disk := fakedisk.New()
	f, err := datafolder.Open(options(disk))
	is.NoErr(err)
	_, err = datafolder.Open(options(disk))
	is.True(errors.Is(err, datafolder.ErrLocked)) // two processes
	is.NoErr(f.Close())
	var corrupt *datafolder.CorruptError
	other := options(disk)
	other.Site = "split"
	_, err = datafolder.Open(other)
	is.True(errors.As(err, &corrupt)) // another site
	other = options(disk)
	other.Node = "b"
	_, err = datafolder.Open(other)
	is.True(errors.As(err, &corrupt)) // another node
	disk.FlipBit("/data/identity", 20, 1)
	_, err = datafolder.Open(options(disk))
	is.True(errors.As(err, &corrupt)) // damaged
	disk.Delete("/data/identity")
	is.NoErr(disk.MkdirAll("/data/log"))
	_, err = datafolder.Open(options(disk))
	is.True(errors.As(err, &corrupt)) // a log whose identity was deleted
}

func TestRealDiskLock(t *testing.T) {
	is := is.New(t)
	o := options(nil)
	o.Path = t.TempDir()
	f, err := datafolder.Open(o)
	is.NoErr(err)
	_, err = datafolder.Open(o)
	is.True(errors.Is(err, datafolder.ErrLocked))
	is.NoErr(f.Close())
	again, err := datafolder.Open(o)
	is.NoErr(err)
	is.Equal(again.Identity(), f.Identity())
	is.NoErr(again.Close())
}
