package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

func TestProposeReadFollowTransfer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	name, leader := c.leader()
	for i := range 60 {
		c.propose(fmt.Sprint(i))
	}
	is.Equal(len(c.agree()), 60)

	ctx := context.Background()
	index, err := leader.ReadIndex(ctx)
	is.NoErr(err)
	is.True(index >= leader.machine.Applied())
	var follower *node
	for other, n := range c.all() {
		if other != name {
			follower = n
		}
	}
	_, err = follower.Propose(ctx, []byte("no"))
	var notLeader ErrNotLeader
	is.True(errors.As(err, &notLeader) && notLeader.Leader == name) // names the leader
	is.True(errors.Is(err, state.ErrNotProposed))

	piece, err := follower.Committed(ctx, 1, 1<<20)
	is.NoErr(err)
	is.True(piece.Snapshot != nil) // the first entries are compacted
	at := piece.Snapshot.Meta.Index
	for at < follower.machine.Applied() {
		piece, err = follower.Committed(ctx, at+1, 10)
		is.NoErr(err)
		is.Equal(piece.Entries[0].Index, at+1) // goes on without a gap
		at += uint64(len(piece.Entries))
	}
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = follower.Committed(short, at+100, 10)
	is.True(errors.Is(err, context.DeadlineExceeded)) // nothing there yet: waits

	done := make(chan error, 1)
	go func() { done <- leader.TransferLeadership(ctx) }()
	c.until("handover", func() bool { return len(done) > 0 })
	is.NoErr(<-done)
	next, _ := c.leader()
	is.True(next != name)
}

// Symptom: after the loss of two disks, one after the other, accepted changes
// are gone, or a voter voted twice in a term.
// Sequence: a voter loses its disk, comes back empty and is voted on under a
// new identity. Right after that repair a second voter, the leader, loses its
// disk too; then the first again.
// Cause: a lost disk kept its vote, founded a second site, or was replaced in
// a way that let two quorums miss each other.
func TestLostDiskAndSecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	var accepted []string
	lost := map[quorum.ID]bool{}
	for round := range 4 {
		for i := range 12 {
			accepted = append(accepted, fmt.Sprintf("%d/%d", round, i))
			c.propose(accepted[len(accepted)-1])
		}
		name, leader := c.leader()
		if round == 0 {
			name, leader = "c", c.nodes["c"]
		}
		lost[leader.Identity().Voter()] = true
		c.stop(name)
		c.mu.Lock()
		c.heard = map[quorum.ID]bool{}
		c.mu.Unlock()
		c.start(name, nil)
		c.votersSettle()
		c.mu.Lock()
		for id := range lost {
			is.True(!c.heard[id]) // a lost disk never votes or acknowledges again
		}
		c.mu.Unlock()
	}
	c.propose("end")
	is.Equal(c.agree(), append(accepted, "end")) // nothing lost, doubled or reordered
	founding := c.nodes["a"].Identity().Founding.ID
	for _, n := range c.all() {
		is.Equal(n.Identity().Founding.ID, founding) // one site
	}
}

// Symptom: a caller was told that a change took effect, and it did not; or
// that it was not entered, and it takes effect.
// Sequence: the leader is cut off with proposals under way, the others elect
// another and go on, the old one comes back.
// Cause: an answer was given before a quorum had stored the command.
func TestOutcomesOfCutOffLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("before")
	name, old := c.leader()
	c.isolate(name, true)
	errs := make(chan error, 10)
	for i := range 10 {
		go func() {
			_, err := old.Propose(context.Background(), fmt.Appendf(nil, "lost %d", i))
			errs <- err
		}()
	}
	c.propose("after")
	c.until("all outcomes", func() bool { return len(errs) == 10 })
	unknown := 0
	for range 10 {
		err := <-errs
		is.True(err != nil) // no quorum, so no success
		is.True(errors.Is(err, state.ErrNotProposed) || errors.Is(err, state.ErrOutcomeUnknown))
		if errors.Is(err, state.ErrOutcomeUnknown) {
			unknown++
		}
	}
	is.True(unknown > 0) // what was appended is not called not proposed
	_, err := old.ReadIndex(context.Background())
	is.True(err != nil) // nor is a read served
	c.isolate(name, false)
	c.propose("end")
	is.Equal(c.agree(), []string{"before", "after", "end"})
}

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
	var accepted, refused []string
	disk := fakedisk.New()
	steps := 0
	for round := range 2 {
		at := max(1, crash/(1+round*random.IntN(4)))
		disk.SetFault(func(op fakedisk.Op) error {
			if op.Number == at {
				return fakedisk.ErrCrash
			}
			return nil
		})
		a, r := untilCrash(c, disk, round)
		accepted, refused = append(accepted, a...), append(refused, r...)
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
	c.stop("a")
	return steps
}

func untilCrash(c *cluster, disk *fakedisk.Disk, round int) (accepted, refused []string) {
	machine := &listMachine{}
	config := c.config("a", disk, machine)
	config.SnapshotEntries = 4
	config.SegmentBytes = 300
	r, err := Open(config)
	if err != nil {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	n := &node{Replica: r, machine: machine}
	c.until("leader or end", func() bool { return len(ended) > 0 || r.Status().Confirmed })
	for i := 0; i < 14 && len(ended) == 0; i++ {
		command := fmt.Sprintf("%d/%d/%s", round, i, strings.Repeat("x", 60))
		switch err := c.tryPropose(n, command); {
		case err == nil:
			accepted = append(accepted, command)
		case errors.Is(err, state.ErrNotProposed):
			refused = append(refused, command)
		}
	}
	cancel()
	<-ended
	return accepted, refused
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

// Symptom: commits a second are bound by syncs a second.
// Sequence: commands arrive while a sync runs.
// Cause: each command got its own sync.
func TestProposalsShareSyncs(t *testing.T) {
	is := is.New(t)
	const many = 100
	c := newCluster(t, "a")
	n := c.start("a", nil)
	c.propose("first")
	release := make(chan struct{})
	var once sync.Once
	blocked := make(chan struct{})
	n.disk.SetFault(func(op fakedisk.Op) error {
		if op.Kind == fakedisk.Sync {
			once.Do(func() {
				close(blocked)
				<-release
			})
		}
		return nil
	})
	before := n.counters.syncs.Count()
	done := make(chan error, many+1)
	commit := func(command string) {
		_, err := n.Propose(context.Background(), []byte(command))
		done <- err
	}
	go commit("holds the sync")
	<-blocked
	for i := range many {
		go commit(fmt.Sprint(i))
	}
	c.until("all wait", func() bool { return n.proposals.Len() == many })
	close(release)
	c.until("all done", func() bool { return len(done) == many+1 })
	for range many + 1 {
		is.NoErr(<-done)
	}
	is.Equal(n.counters.syncs.Count()-before, int64(2)) // one that ran, one for all others
}

// Symptom: a voter that restarts after many changes serves an old state, or
// refuses to start.
// Sequence: a follower is down while 500 changes pile up, its log and
// snapshot are far behind; it restarts, and then the whole site does.
// Cause: snapshot and log did not fit together.
func TestRestartAfterManyChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("first")
	c.agree()
	disk := c.stop("b")
	_, leader := c.leader()
	done := make(chan error, 500)
	for i := range 500 {
		go func() {
			_, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%d", i))
			done <- err
		}()
	}
	c.until("500 changes", func() bool { return len(done) == 500 })
	for range 500 {
		is.NoErr(<-done)
	}
	behind := c.start("b", disk)
	is.Equal(len(c.agree()), 501)
	is.True(behind.counters.installed.Count() > 0) // it needed a snapshot
	disks := map[model.NodeID]*fakedisk.Disk{}
	for _, name := range c.members {
		disks[name] = c.stop(name)
	}
	for name, disk := range disks {
		c.start(name, disk)
	}
	c.propose("last")
	is.Equal(len(c.agree()), 502)
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

// Symptom: a leader that was stopped for long answers reads from an old state.
// Sequence: the leader's process is stopped past its lease while another is
// elected; it wakes and somebody asks it at once.
// Cause: its last published status was taken for current.
func TestStaleStatusIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	n := c.start("a", nil)
	c.leader()
	is.True(n.Status().Confirmed)
	p := n.status.Load()
	n.config.Clock = func() time.Duration { return p.at + time.Minute }
	is.True(!n.Status().Confirmed)
}
