package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

var discardLogger = &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel}

// listMachine is a state machine that stores its commands in a list.
type listMachine struct {
	mu   sync.Mutex
	list listState
}

type listState struct {
	Index    uint64
	Commands []string
}

func (m *listMachine) Apply(index uint64, data []byte) state.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index != m.list.Index+1 {
		panic(fmt.Sprintf("entry %d applied after %d", index, m.list.Index))
	}
	m.list.Index = index
	if len(data) > 0 {
		m.list.Commands = append(m.list.Commands, string(data))
	}
	return state.Result{Index: index}
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.list)
}

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next listState
	if err := cbor.Unmarshal(data, &next); err != nil {
		return err
	}
	if next.Index < m.list.Index {
		panic("restored a snapshot older than the state")
	}
	m.list = next
	return nil
}

func (m *listMachine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Index
}

func (m *listMachine) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list.Commands)
}

// cluster runs voters in one process with disks, clock and network in memory.
// Its clock advances only while a test waits in waitFor.
type cluster struct {
	t        testing.TB
	members  []model.NodeID
	mu       sync.Mutex
	now      time.Duration
	nodes    map[model.NodeID]*node
	isolated map[model.NodeID]bool
	// acknowledged holds every voter identity that granted a vote or
	// acknowledged entries.
	acknowledged map[quorum.ID]bool
	// founded is set once the site may not be founded again.
	founded bool
	// adjustConfig changes the configuration of a voter.
	adjustConfig func(*Config)
	log          *clusterLog
}

type node struct {
	*Replica
	machine *listMachine
	disk    *fakedisk.Disk
	cancel  context.CancelFunc
	ended   chan error
}

func newCluster(t testing.TB, members ...model.NodeID) *cluster {
	c := &cluster{t: t, members: members, nodes: map[model.NodeID]*node{},
		isolated: map[model.NodeID]bool{}, acknowledged: map[quorum.ID]bool{}, adjustConfig: func(*Config) {}}
	c.log = &clusterLog{clock: c.clock, lines: map[model.NodeID][]logLine{}}
	t.Cleanup(func() {
		for _, n := range c.members {
			c.stop(n)
		}
	})
	return c
}

func (c *cluster) clock() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Send implements Transport for all voters.
func (c *cluster) Send(to model.NodeID, messages []quorum.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := model.NodeID(messages[0].From[:1])
	if c.isolated[to] || c.isolated[from] || c.nodes[to] == nil {
		return
	}
	for _, m := range messages {
		if !m.Reject && (m.Kind == quorum.KindVoteReply || m.Kind == quorum.KindAppendReply) {
			c.acknowledged[m.From] = true
		}
	}
	c.nodes[to].Step(slices.Clone(messages))
}

// Identify implements Bootstrapper.
func (c *cluster) Identify(_ context.Context, to model.NodeID) (Identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[to] || c.nodes[to] == nil {
		return Identity{}, errors.New("no reply")
	}
	return c.nodes[to].Identity(), nil
}

func (c *cluster) config(name model.NodeID, disk *fakedisk.Disk, machine *listMachine) Config {
	random := rand.New(rand.NewPCG(uint64(name[0]), 5))
	config := Config{
		Folder: "/data", Site: "port-klang", Self: name, Members: c.members,
		StateMachine: machine, Transport: c, Bootstrapper: c, Disk: disk, Clock: c.clock, Random: random.IntN,
		TickInterval: clockStep, ElectionTicks: 12, HeartbeatTicks: 2, ReviewTicks: 5,
		SnapshotEntries: 20, KeepEntries: 5, SegmentBytes: 2000, Log: c.log.logger(name),
	}
	c.adjustConfig(&config)
	return config
}

// start starts a voter on a disk; nil selects a new disk.
func (c *cluster) start(name model.NodeID, disk *fakedisk.Disk) *node {
	c.t.Helper()
	if disk == nil {
		disk = fakedisk.New()
	}
	n, err := c.tryStart(name, disk)
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}
	return n
}

func (c *cluster) tryStart(name model.NodeID, disk *fakedisk.Disk) (*node, error) {
	n := &node{machine: &listMachine{}, disk: disk, ended: make(chan error, 1)}
	r, err := Open(c.config(name, disk, n.machine))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.Replica, n.cancel = r, cancel
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go func() { n.ended <- r.Run(ctx) }()
	return n, nil
}

func (c *cluster) startAll() {
	for _, name := range c.members {
		c.start(name, nil)
	}
}

// stop stops a voter and returns its disk as the next process finds it.
func (c *cluster) stop(name model.NodeID) *fakedisk.Disk {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if n == nil {
		return nil
	}
	n.cancel()
	<-n.ended
	return n.disk.Restart()
}

func (c *cluster) setIsolated(name model.NodeID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

const (
	waitTimeout = 60 * time.Second
	// clockStep is a tick of the voters.
	clockStep = 2 * time.Millisecond
	// driverTimeout is the longest time for which a step of the clock waits for
	// the voters.
	driverTimeout = 200 * time.Millisecond
)

// waitFor advances the clock until the condition holds.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) {
			c.t.Fatalf("not reached: %s\n%s", what, c.describe())
		}
		time.Sleep(time.Millisecond)
		c.awaitDrivers()
		c.mu.Lock()
		c.now += clockStep
		c.mu.Unlock()
	}
}

// awaitDrivers waits until every running voter has seen the present time.
// Otherwise voters that get no processor time miss heartbeats, and a busy machine
// changes what a test plays. A voter whose disk hangs is not awaited for long.
func (c *cluster) awaitDrivers() {
	for end := time.Now().Add(driverTimeout); c.driversLag() && time.Now().Before(end); {
		time.Sleep(100 * time.Microsecond)
	}
}

// driversLag reports whether a running voter is more than a step behind the clock.
func (c *cluster) driversLag() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		p := n.status.Load()
		started := p.status.Self != ""
		if started && len(n.ended) == 0 && p.at+clockStep < c.now {
			return true
		}
	}
	return false
}

// reachable returns the running voters that are not isolated.
func (c *cluster) reachable() map[model.NodeID]*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := map[model.NodeID]*node{}
	for name, n := range c.nodes {
		if !c.isolated[name] {
			nodes[name] = n
		}
	}
	return nodes
}

// leader waits for a confirmed leader.
func (c *cluster) leader() (model.NodeID, *node) {
	c.t.Helper()
	var name model.NodeID
	c.waitFor("a confirmed leader", func() bool {
		for n, voter := range c.reachable() {
			if voter.Status().Confirmed {
				name = n
				return true
			}
		}
		return false
	})
	return name, c.nodes[name]
}

// propose commits a command through the current leader.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.waitFor("commit of "+command, func() bool {
		_, leader := c.leader()
		return c.tryPropose(leader, command) == nil
	})
}

// tryPropose proposes a command and advances the clock until its outcome is
// known.
func (c *cluster) tryPropose(n *node, command string) error {
	done := make(chan error, 1)
	go func() {
		_, err := n.Propose(context.Background(), []byte(command))
		done <- err
	}()
	var err error
	c.waitFor("outcome of "+command, func() bool {
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	return err
}

// waitForAgreement waits until all reachable voters have applied the same
// commands.
func (c *cluster) waitForAgreement() []string {
	c.t.Helper()
	var first []string
	c.waitFor("all voters agree", func() bool {
		first = nil
		for _, n := range c.reachable() {
			commands := n.machine.commands()
			if first == nil {
				first = commands
			}
			if !slices.Equal(first, commands) || len(commands) == 0 {
				return false
			}
		}
		return true
	})
	return first
}

// waitForVoters waits until the leader's set of voters is exactly that of the
// reachable disks, and that change is committed.
func (c *cluster) waitForVoters() {
	c.t.Helper()
	c.waitFor("voters match the running disks", func() bool {
		_, leader := c.leader()
		s := leader.Status()
		for _, n := range c.reachable() {
			if !s.Voters.Has(n.Identity().Voter()) {
				return false
			}
		}
		return !s.VotersPending && len(s.Voters.Members) == len(c.reachable())
	})
}
