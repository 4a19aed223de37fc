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

// Guards against the loss of an accepted change in a power cut. The machine of
// a single voter stops within any call of its disk, during founding, appends,
// snapshots and log compaction; it restarts and is cut once more. The failure
// follows when a proposer gets its reply before the command is durable, or the
// log is compacted before the snapshot is durable.
func TestPowerCutAtEveryDiskCall(t *testing.T) {
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

// powerCut runs a voter until the given disk call, twice, and returns the
// number of calls.
func powerCut(t *testing.T, crash int, seed uint64) int {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 9))
	c := newCluster(t, "a")
	c.adjustConfig = func(config *Config) { config.SnapshotEntries, config.SegmentBytes = 4, 300 }
	var accepted, refused []string
	disk := fakedisk.New()
	steps := 0
	for round := range 2 {
		disk.SetFault(crashAt(max(1, crash/(1+round*random.IntN(4)))))
		n, err := c.tryStart("a", disk)
		if err == nil {
			c.waitFor("leader or end of the voter", func() bool { return len(n.ended) > 0 || n.Status().Confirmed })
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
		steps = disk.OpCount()
		disk = disk.Reboot(random)
	}
	n := c.start("a", disk)
	c.propose("end")
	found := n.machine.commands()
	for _, command := range accepted {
		is.True(slices.Contains(found, command)) // an accepted command is present
	}
	for _, command := range refused {
		is.True(!slices.Contains(found, command)) // a command that was not proposed is absent
	}
	return steps
}

// Guards against a process that continues after its disk failed, and so
// acknowledges what is lost at the next start. A write, sync, create or rename
// fails, or the disk is full, while commands are proposed; the error must
// neither be only logged nor the call be retried.
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
	is.True(errors.As(err, &storage) && storage.Hint != "") // Run ends with an error that names the remedy
	is.True(errors.Is(err, cause))
	is.True(errors.Is(last, state.ErrOutcomeUnknown) || errors.Is(last, state.ErrNotProposed))
	c.mu.Lock()
	delete(c.nodes, "a")
	c.mu.Unlock()
	again := c.start("a", n.disk.Reboot(rand.New(rand.NewPCG(1, 1))))
	c.propose("end")
	found := again.machine.commands()
	for _, command := range append(accepted, "before") {
		is.True(slices.Contains(found, command)) // every acknowledged command is present
	}
}

// Guards against a second vote in the same term by a voter that lost part of
// its files: the log or the snapshot is deleted while the identity stays.
// Missing files must not be taken for a new disk.
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

// Guards against lost changes and diverging logs after power cuts at several
// voters. Machines stop within any call of their disks while commands are
// committed, one after another or all at once, and restart on what their disks
// kept. The failure follows when a voter acknowledges, votes or compacts its
// log before that is durable, so that less than a quorum holds what a quorum
// acknowledged.
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
				disk.SetFault(crashAt(disk.OpCount() + 1 + random.IntN(40)))
			}
		}
		for i := range 20 {
			command := fmt.Sprintf("%d/%d", round, i)
			c.waitFor("leader or crash", func() bool { return c.confirmed() || c.crashed() })
			for _, n := range c.reachable() {
				if n.Status().Confirmed && c.tryPropose(n, command) == nil {
					accepted = append(accepted, command)
				}
			}
			if random.IntN(3) == 0 || !c.confirmed() {
				c.restartCrashed(random)
			}
		}
		for _, n := range c.reachable() {
			n.disk.SetFault(nil)
		}
		c.restartCrashed(random)
	}
	c.propose("end")
	found := c.waitForAgreement()
	at := 0
	for _, command := range accepted {
		next := slices.Index(found[at:], command)
		is.True(next >= 0) // accepted commands are present and in order
		at += next + 1
	}
	is.True(len(accepted) > 20) // enough commands were accepted for the check to mean something
}

func (c *cluster) confirmed() bool {
	for _, n := range c.reachable() {
		if n.Status().Confirmed {
			return true
		}
	}
	return false
}

func (c *cluster) crashed() bool {
	for _, n := range c.reachable() {
		if len(n.ended) > 0 {
			return true
		}
	}
	return false
}

// restartCrashed restarts the voters whose machine crashed on what their disks
// kept. A voter ends a moment after its disk crashed; without the wait it could be
// left dead for the rest of a run that expects all voters to agree.
func (c *cluster) restartCrashed(random *rand.Rand) {
	for name, n := range c.reachable() {
		if n.disk.Crashed() {
			c.waitFor(string(name)+" ends", func() bool { return len(n.ended) > 0 })
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
