package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

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

// Symptom: a voter that was repaired breaks the site when its first disk
// turns up again.
// Sequence: a disk is not mounted at a start, the voter joins with an empty
// one; at the next start the old disk is back.
// Cause: the old identity acted on its old set of voters.
func TestOldDiskComesBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("before")
	c.agree()
	old := c.stop("c")
	c.propose("alone")
	c.start("c", nil)
	c.votersSettle()
	c.propose("repaired")
	c.stop("c")
	c.start("c", old)
	c.votersSettle()
	c.propose("end")
	is.Equal(c.agree(), []string{"before", "alone", "repaired", "end"})
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
	var changes []string
	for i := range 500 {
		changes = append(changes, fmt.Sprint(i))
	}
	held := c.nodes["a"].Status().Last
	unknown := c.proposeAll(changes)
	c.until("the others have dropped what b lacks", func() bool {
		return c.nodes["a"].Status().First > held+1 && c.nodes["c"].Status().First > held+1
	})
	behind := c.start("b", disk)
	list := c.agree()
	is.True(len(list) <= 501+unknown) // only an unknown outcome may stand twice
	is.Equal(len(distinct(list)), 501)
	// It is counted right after the state was replaced, which agree sees.
	c.until("it counts the snapshot that it needed", func() bool { return behind.counters.installed.Count() > 0 })
	disks := map[model.NodeID]*fakedisk.Disk{}
	for _, name := range c.members {
		disks[name] = c.stop(name)
	}
	for name, disk := range disks {
		c.start(name, disk)
	}
	c.propose("last")
	after := c.agree()
	is.Equal(after[:len(list)], list)
	is.Equal(len(distinct(after)), 502)
}

// proposeAll commits all commands at once through whoever leads, those without
// a success once more, and returns how many outcomes were unknown. The clock of
// these tests goes on while the machine is busy, so that leaders may change.
func (c *cluster) proposeAll(commands []string) (unknown int) {
	for len(commands) > 0 {
		_, leader := c.leader()
		type outcome struct {
			command string
			err     error
		}
		done := make(chan outcome, len(commands))
		for _, command := range commands {
			go func() {
				_, err := leader.Propose(context.Background(), []byte(command))
				done <- outcome{command, err}
			}()
		}
		c.until("outcomes of all changes", func() bool { return len(done) == len(commands) })
		commands = nil
		for range cap(done) {
			o := <-done
			if o.err == nil {
				continue
			}
			commands = append(commands, o.command)
			if errors.Is(o.err, state.ErrOutcomeUnknown) {
				unknown++
			}
		}
	}
	return unknown
}

func distinct(commands []string) []string {
	all := slices.Clone(commands)
	slices.Sort(all)
	return slices.Compact(all)
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
	woken := &Replica{config: n.config}
	woken.config.Clock = func() time.Duration { return p.at + time.Minute }
	woken.status.Store(p)
	is.True(!woken.Status().Confirmed)
}
