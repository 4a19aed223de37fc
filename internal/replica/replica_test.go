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
	is.Equal(len(c.waitForAgreement()), 60)

	ctx := context.Background()
	index, err := leader.ReadIndex(ctx)
	is.NoErr(err)
	is.True(index >= leader.machine.Applied())
	var follower *node
	for other, n := range c.reachable() {
		if other != name {
			follower = n
		}
	}
	_, err = follower.Propose(ctx, []byte("no"))
	var notLeader ErrNotLeader
	is.True(errors.As(err, &notLeader) && notLeader.Leader == name) // the error names the leader
	is.True(errors.Is(err, state.ErrNotProposed))

	chunk, err := follower.Committed(ctx, 1, 1<<20)
	is.NoErr(err)
	is.True(chunk.Snapshot != nil) // the first entries are compacted
	at := chunk.Snapshot.Meta.Index
	for at < follower.machine.Applied() {
		chunk, err = follower.Committed(ctx, at+1, 10)
		is.NoErr(err)
		is.Equal(chunk.Entries[0].Index, at+1) // continues without a gap
		at += uint64(len(chunk.Entries))
	}
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = follower.Committed(short, at+100, 10)
	is.True(errors.Is(err, context.DeadlineExceeded)) // no such entry yet: waits

	done := make(chan error, 1)
	go func() { done <- leader.TransferLeadership(ctx) }()
	c.waitFor("handover", func() bool { return len(done) > 0 })
	is.NoErr(<-done)
	next, _ := c.leader()
	is.True(next != name)
}

// Guards against lost changes, and a voter that votes twice in a term, when two
// disks are lost one after the other. A voter loses its disk, returns empty and
// is added under a new identity. Right after that repair a second voter, the
// leader, loses its disk too; then the first again. The failure follows when a
// lost disk keeps its vote, founds a second site, or is replaced in a way that
// lets two quorums have no voter in common.
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
		c.acknowledged = map[quorum.ID]bool{}
		c.mu.Unlock()
		c.start(name, nil)
		c.waitForVoters()
		c.mu.Lock()
		for id := range lost {
			is.True(!c.acknowledged[id]) // a lost disk never votes or acknowledges again
		}
		c.mu.Unlock()
	}
	c.propose("end")
	is.Equal(c.waitForAgreement(), append(accepted, "end")) // nothing lost, duplicated or reordered
	founding := c.nodes["a"].Identity().Founding.ID
	for _, n := range c.reachable() {
		is.Equal(n.Identity().Founding.ID, founding) // one site
	}
}

// Guards against a repaired voter that breaks the site when its first disk
// returns: a disk is not mounted at one start, so the voter joins with an empty
// one, and at the next start the old disk is back. The old identity must not
// act on its old set of voters.
func TestOldDiskReturnsAfterRepair(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("before")
	c.waitForAgreement()
	old := c.stop("c")
	c.propose("alone")
	c.start("c", nil)
	c.waitForVoters()
	c.propose("repaired")
	c.stop("c")
	c.start("c", old)
	c.waitForVoters()
	c.propose("end")
	is.Equal(c.waitForAgreement(), []string{"before", "alone", "repaired", "end"})
}

// Guards against a reply before a quorum has stored the command: a caller
// learns that a change took effect and it did not, or that it was not proposed
// and it takes effect. The leader is isolated with proposals in flight, the
// others elect another leader and continue, and the old one returns.
func TestProposalOutcomesOfIsolatedLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("before")
	name, old := c.leader()
	c.setIsolated(name, true)
	errs := make(chan error, 10)
	for i := range 10 {
		go func() {
			_, err := old.Propose(context.Background(), fmt.Appendf(nil, "lost %d", i))
			errs <- err
		}()
	}
	c.propose("after")
	c.waitFor("all outcomes", func() bool { return len(errs) == 10 })
	unknown := 0
	for range 10 {
		err := <-errs
		is.True(err != nil) // no quorum, so no command succeeds
		is.True(errors.Is(err, state.ErrNotProposed) || errors.Is(err, state.ErrOutcomeUnknown))
		if errors.Is(err, state.ErrOutcomeUnknown) {
			unknown++
		}
	}
	is.True(unknown > 0) // an appended command is not reported as not proposed
	_, err := old.ReadIndex(context.Background())
	is.True(err != nil) // and reads are not served
	c.setIsolated(name, false)
	c.propose("end")
	is.Equal(c.waitForAgreement(), []string{"before", "after", "end"})
}

// Guards against one sync for each command, which would limit commits per
// second to syncs per second: commands that arrive during a sync share the next
// one.
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
	c.waitFor("all commands wait", func() bool { return n.proposals.Len() == many })
	close(release)
	c.waitFor("all commands are done", func() bool { return len(done) == many+1 })
	for range many + 1 {
		is.NoErr(<-done)
	}
	is.Equal(n.counters.syncs.Count()-before, int64(2)) // the blocked one, and one for all other commands
}

// Guards against a snapshot and a log that do not fit together: a voter that
// restarts after many changes serves an old state or does not start. A follower
// is down during 500 changes, so that its log and snapshot are far behind; it
// restarts, and then the whole site does.
func TestRestartAfterManyChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	c.propose("first")
	c.waitForAgreement()
	disk := c.stop("b")
	var changes []string
	for i := range 500 {
		changes = append(changes, fmt.Sprint(i))
	}
	held := c.nodes["a"].Status().Last
	unknown := c.proposeAll(changes)
	c.waitFor("the others have compacted the entries that b lacks", func() bool {
		return c.nodes["a"].Status().First > held+1 && c.nodes["c"].Status().First > held+1
	})
	behind := c.start("b", disk)
	list := c.waitForAgreement()
	is.True(len(list) <= 501+unknown) // only a command with an unknown outcome may appear twice
	is.Equal(len(distinct(list)), 501)
	// The counter changes right after the state was replaced, which
	// waitForAgreement observes.
	c.waitFor("the installed snapshot is counted", func() bool { return behind.counters.installed.Count() > 0 })
	disks := map[model.NodeID]*fakedisk.Disk{}
	for _, name := range c.members {
		disks[name] = c.stop(name)
	}
	for name, disk := range disks {
		c.start(name, disk)
	}
	c.propose("last")
	after := c.waitForAgreement()
	is.Equal(after[:len(list)], list)
	is.Equal(len(distinct(after)), 502)
}

// proposeAll commits all commands concurrently through the current leader,
// proposes those without success again, and returns how many outcomes were
// unknown. The clock of these tests advances while the machine is busy, so
// leaders may change.
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
		c.waitFor("outcomes of all changes", func() bool { return len(done) == len(commands) })
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

// Guards against reads from an old state: a leader's process is suspended
// beyond its lease while another leader is elected, and a caller queries it as
// soon as it resumes. Its last published status must not count as current.
func TestStaleStatusIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	n := c.start("a", nil)
	c.leader()
	is.True(n.Status().Confirmed)
	p := n.status.Load()
	resumed := &Replica{config: n.config}
	resumed.config.Clock = func() time.Duration { return p.at + time.Minute }
	resumed.status.Store(p)
	is.True(!resumed.Status().Confirmed)
}
