package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Symptom: a change that was accepted is gone after a power cut.
// Sequence: the machine of a single voter stops within any call of its disk,
// through founding, appends, snapshots and log compaction; it starts again
// and is cut once more.
// Cause: a proposer was answered before its command was durable, or the log
// was shortened before the snapshot was durable.
func TestPowerCutAtEveryStep(t *testing.T) {
	steps := powerCut(t, 1<<30, 0)
	stride := 1
	if testing.Short() {
		stride = 7
	}
	for crash := 1; crash <= steps; crash += stride {
		t.Run(fmt.Sprint(crash), func(t *testing.T) {
			t.Parallel()
			powerCut(t, crash, uint64(crash))
		})
	}
}

// powerCut runs a voter until the given call, twice, and returns the calls made.
func powerCut(t *testing.T, crash int, seed uint64) int {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 9))
	c := newCluster(t, "a")
	c.tune = func(config *Config) { config.SnapshotEntries, config.SegmentBytes = 4, 300 }
	var accepted, refused []string
	disk := fakedisk.New()
	steps := 0
	for round := range 2 {
		disk.SetFault(crashAt(max(1, crash/(1+round*random.IntN(4)))))
		n, err := c.tryStart("a", disk)
		if err == nil {
			c.until("leader or end", func() bool { return len(n.ended) > 0 || n.Status().Confirmed })
		}
		for i := 0; i < 14 && err == nil && len(n.ended) == 0; i++ {
			command := fmt.Sprintf("%d/%d/%s", round, i, strings.Repeat("x", 60))
			switch outcome := c.tryPropose(n, command); {
			case outcome == nil:
				accepted = append(accepted, command)
			case errors.Is(outcome, state.ErrNotProposed):
				refused = append(refused, command)
			}
		}
		c.stop("a")
		steps = disk.Ops()
		disk = disk.Reboot(random)
	}
	n := c.start("a", disk)
	c.propose("end")
	found := n.machine.commands()
	for _, command := range accepted {
		is.True(slices.Contains(found, command)) // accepted, so there
	}
	for _, command := range refused {
		is.True(!slices.Contains(found, command)) // not proposed, so not there
	}
	return steps
}

// Symptom: the process goes on after its disk failed, and promises what is
// lost at the next start.
// Sequence: a write, sync, create or rename fails, or the disk is full, while
// commands are proposed.
// Cause: an error of the disk was logged, or the call was tried again.
func TestStorageFailureEndsTheVoter(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC} {
		for _, kind := range []fakedisk.Kind{fakedisk.Write, fakedisk.Sync, fakedisk.Create, fakedisk.Rename, fakedisk.SyncDir} {
			t.Run(fmt.Sprintf("%s %v", kind, cause), func(t *testing.T) { storageFailure(t, kind, cause) })
		}
	}
}

func storageFailure(t *testing.T, kind fakedisk.Kind, cause error) {
	is := is.New(t)
	c := newCluster(t, "a")
	n := c.start("a", nil)
	c.propose("before")
	n.disk.SetFault(func(op fakedisk.Op) error {
		if op.Kind == kind {
			return cause
		}
		return nil
	})
	var accepted []string
	var last error
	for i := 0; len(n.ended) == 0; i++ {
		command := fmt.Sprintf("%d %s", i, strings.Repeat("x", 500))
		if last = c.tryPropose(n, command); last == nil {
			accepted = append(accepted, command)
		}
	}
	err := <-n.ended
	n.ended <- err
	var storage *datafolder.StorageError
	is.True(errors.As(err, &storage) && storage.Remedy != "") // Run ends and says what to do
	is.True(errors.Is(err, cause))
	is.True(errors.Is(last, state.ErrOutcomeUnknown) || errors.Is(last, state.ErrNotProposed))
	c.mu.Lock()
	delete(c.nodes, "a")
	c.mu.Unlock()
	again := c.start("a", n.disk.Reboot(rand.New(rand.NewPCG(1, 1))))
	c.propose("end")
	found := again.machine.commands()
	for _, command := range append(accepted, "before") {
		is.True(slices.Contains(found, command)) // what was promised is there
	}
}

// Symptom: a voter comes back with part of its files and votes a second time
// in a term it voted in.
// Sequence: the log, or the snapshot, is deleted while the identity stays.
// Cause: missing files were taken for a new disk.
func TestMissingFilesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, pattern := range []string{"/data/log", "/data/snapshot"} {
		c := newCluster(t, "a")
		c.start("a", nil)
		for i := range 30 {
			c.propose(fmt.Sprint(i))
		}
		disk := c.stop("a")
		names, err := disk.List(pattern)
		is.NoErr(err)
		for _, name := range names {
			disk.Delete(filepath.Join(pattern, name))
		}
		_, err = Open(c.config("a", disk, &listMachine{}))
		var corrupt *datafolder.CorruptError
		is.True(errors.As(err, &corrupt))
		is.True(strings.HasPrefix(corrupt.File, pattern))
	}
}

// Symptom: after power cuts at several voters an accepted change is gone, or
// two voters hold different logs.
// Sequence: machines stop within any call of their disks while commands are
// committed, one after another or all at once, and start again on what their
// disks kept.
// Cause: a voter acknowledged, voted or shortened its log before that was
// durable, so that a quorum's promise rested on less than a quorum.
func TestPowerCutsOfTheSite(t *testing.T) {
	runs := uint64(8)
	if steps, err := strconv.ParseUint(os.Getenv("COMFREYLOOM_STEPS"), 10, 64); err == nil {
		runs = max(runs, steps/160) // a run is 160 proposals
	}
	for seed := range runs {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			powerCuts(t, rand.New(rand.NewPCG(seed, 11)))
		})
	}
}

func powerCuts(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	var accepted []string
	for round := range 8 {
		for _, name := range c.members {
			if random.IntN(2) == 0 {
				disk := c.nodes[name].disk
				disk.SetFault(crashAt(disk.Ops() + 1 + random.IntN(40)))
			}
		}
		for i := range 20 {
			command := fmt.Sprintf("%d/%d", round, i)
			c.until("leader or crash", func() bool { return c.confirmed() || c.crashed() })
			for _, n := range c.all() {
				if n.Status().Confirmed && c.tryPropose(n, command) == nil {
					accepted = append(accepted, command)
				}
			}
			if random.IntN(3) == 0 || !c.confirmed() {
				c.restartCrashed(random)
			}
		}
		for _, n := range c.all() {
			n.disk.SetFault(nil)
		}
		c.restartCrashed(random)
	}
	c.propose("end")
	found := c.agree()
	at := 0
	for _, command := range accepted {
		next := slices.Index(found[at:], command)
		is.True(next >= 0) // accepted, so there, and in order
		at += next + 1
	}
	is.True(len(accepted) > 20) // the run was not idle
}

func (c *cluster) confirmed() bool {
	for _, n := range c.all() {
		if n.Status().Confirmed {
			return true
		}
	}
	return false
}

func (c *cluster) crashed() bool {
	for _, n := range c.all() {
		if len(n.ended) > 0 {
			return true
		}
	}
	return false
}

func (c *cluster) restartCrashed(random *rand.Rand) {
	for name, n := range c.all() {
		if len(n.ended) > 0 {
			c.mu.Lock()
			delete(c.nodes, name)
			c.mu.Unlock()
			c.start(name, n.disk.Reboot(random))
		}
	}
}

func crashAt(number int) fakedisk.Fault {
	return func(op fakedisk.Op) error {
		if op.Number == number {
			return fakedisk.ErrCrash
		}
		return nil
	}
}
