package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/replica"
	"github.com/comfreyloom/comfreyloom/internal/security"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

const testSite = "test-site"

// sharedLog is a fake of the replicated log: an entry that the leader proposes is
// committed at once.
type sharedLog struct {
	mu      sync.Mutex
	entries []quorum.Entry
	// first is the first index that was not compacted.
	first    uint64
	snapshot *quorum.Snapshot
	leader   model.NodeID
	term     uint64
	changed  chan struct{}
}

func newSharedLog(leader model.NodeID) *sharedLog {
	return &sharedLog{leader: leader, term: 1, first: 1, changed: make(chan struct{})}
}

func (l *sharedLog) setLeader(leader model.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.term = leader, l.term+1
}

func (l *sharedLog) append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := uint64(len(l.entries)) + 1
	l.entries = append(l.entries, quorum.Entry{Index: index, Term: l.term, Kind: quorum.EntryCommand, Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return index
}

// proposeHook replaces a proposal; next runs the real one.
type proposeHook func(next func() (state.Result, error)) (state.Result, error)

// fakeVoter is one voter's view of a sharedLog.
type fakeVoter struct {
	name    model.NodeID
	log     *sharedLog
	machine *state.Machine
	client  *Client
	hook    atomic.Pointer[proposeHook]
	// stale, if set, is the voter's outdated view of the log, as on the minority
	// side of a partition; it then commits nothing new.
	stale atomic.Pointer[VoterStatus]
	// hold, if set, blocks the feed until it is closed.
	hold chan struct{}
}

func (v *fakeVoter) Step(messages []quorum.Message) {
	for _, m := range messages {
		if m.Kind == quorum.KindHeartbeat {
			v.client.Send(model.NodeID(m.From), []quorum.Message{{Kind: quorum.KindHeartbeatReply, From: m.To, To: m.From, Term: m.Term}})
		}
	}
}

func (v *fakeVoter) Status() VoterStatus {
	if stale := v.stale.Load(); stale != nil {
		return *stale
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	leads := v.log.leader == v.name
	return VoterStatus{
		Leader: v.log.leader, Term: v.log.term, Commit: uint64(len(v.log.entries)),
		Leads: leads, Confirmed: leads,
	}
}

func (v *fakeVoter) Propose(_ context.Context, data []byte) (state.Result, error) {
	next := func() (state.Result, error) {
		if !v.Status().Leads {
			return state.Result{}, fmt.Errorf("not leader: %w", state.ErrNotProposed)
		}
		return v.apply(v.log.append(data)), nil
	}
	if hook := v.hook.Load(); hook != nil {
		return (*hook)(next)
	}
	return next()
}

// apply applies the log and returns the result at an index. It replays the log
// for that, since the machine may already be past the index.
func (v *fakeVoter) apply(index uint64) state.Result {
	v.catchUp()
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	replay := state.NewMachine(state.Options{})
	var result state.Result
	for _, e := range v.log.entries[:index] {
		result = replay.Apply(e.Index, e.Data)
	}
	return result
}

func (v *fakeVoter) catchUp() {
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	for _, e := range v.log.entries[min(v.machine.Applied(), uint64(len(v.log.entries))):] {
		v.machine.Apply(e.Index, e.Data)
	}
}

// compact replaces all entries by a snapshot of the voter's state.
func (v *fakeVoter) compact() error {
	data, err := v.machine.Snapshot()
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	v.log.snapshot = &quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: uint64(len(v.log.entries)), Term: v.log.term}, Data: data}
	v.log.first = uint64(len(v.log.entries)) + 1
	return err
}

func (v *fakeVoter) ReadIndex(context.Context) (uint64, error) {
	s := v.Status()
	if !s.Confirmed {
		return 0, errors.New("not confirmed")
	}
	return s.Commit, nil
}

func (v *fakeVoter) Committed(ctx context.Context, from uint64, maxBytes int) (Feed, error) {
	if v.hold != nil {
		select {
		case <-v.hold:
		case <-ctx.Done():
			return Feed{}, ctx.Err()
		}
	}
	for {
		if v.stale.Load() != nil {
			<-ctx.Done()
			return Feed{}, ctx.Err()
		}
		v.log.mu.Lock()
		feed := Feed{Commit: uint64(len(v.log.entries))}
		switch {
		case from < v.log.first:
			feed.Snapshot = v.log.snapshot
		case from <= feed.Commit:
			feed.Entries = v.log.entries[from-1 : min(feed.Commit, from+uint64(maxBytes/1024))]
		}
		changed := v.log.changed
		v.log.mu.Unlock()
		if feed.Snapshot != nil || len(feed.Entries) > 0 {
			return feed, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return feed, ctx.Err()
		}
	}
}

// process is one process of a test site with all parts of this package.
type process struct {
	name         model.NodeID
	machine      *state.Machine
	voter        *fakeVoter
	replica      *replica.Replica
	client       *Client
	log          *Log
	follower     *Follower
	heartbeats   *Heartbeats
	registry     *registry.Registry
	registrySync *RegistrySync
	server       *Server
	metrics      metrics.Registry
	stop         func()
}

// site is a set of processes on loopback.
type site struct {
	network   *network
	log       *sharedLog
	names     []model.NodeID
	voters    []model.NodeID
	addresses map[model.NodeID]string
	byAddress map[string]model.NodeID
	token     string
	interval  time.Duration
	// probe is the time after which connections are probed; 0 is the default.
	probe time.Duration
	// folders, when set, is the folder of the data folders of real replicas,
	// which then vote instead of fakes.
	folders   string
	processes map[model.NodeID]*process
}

func newSite(tb testing.TB, voters, learners int, interval time.Duration) *site {
	tb.Helper()
	return startSite(tb, voters, learners, &site{interval: interval})
}

func startSite(tb testing.TB, voters, learners int, s *site) *site {
	tb.Helper()
	*s = site{
		interval: s.interval, folders: s.folders, probe: s.probe,
		network: newNetwork(), addresses: map[model.NodeID]string{}, byAddress: map[string]model.NodeID{},
		token: "node-token-of-the-test", processes: map[model.NodeID]*process{},
	}
	listeners := map[model.NodeID]net.Listener{}
	for i := range voters + learners {
		name := model.NodeID(fmt.Sprintf("n%d", i+1))
		s.names = append(s.names, name)
		if i < voters {
			s.voters = append(s.voters, name)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners[name] = l
		s.addresses[name], s.byAddress[l.Addr().String()] = l.Addr().String(), name
	}
	s.log = newSharedLog(s.names[0])
	for _, name := range s.names {
		s.start(tb, name, listeners[name])
	}
	tb.Cleanup(func() {
		for _, p := range s.processes {
			p.stop()
		}
	})
	return s
}

// start runs a process; with a nil listener it opens its address again.
func (s *site) start(tb testing.TB, name model.NodeID, l net.Listener) *process {
	tb.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.addresses[name]); err != nil {
			tb.Fatal(err)
		}
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	counters := metrics.NewRegistry()
	p := &process{name: name, machine: state.NewMachine(state.Options{}), metrics: counters}
	leader := &LeaderHint{}
	p.client = NewClient(ClientConfig{Self: name, Site: testSite, Token: func() string { return s.token },
		Addresses: s.addresses, Metrics: counters, Dial: s.network.dial(name, s.byAddress), ProbeAfter: s.probe})
	p.registry = registry.New(registry.Options{})
	p.registrySync = NewRegistrySync(RegistrySyncConfig{Self: name, Registry: p.registry, Client: p.client, Metrics: counters})
	p.follower = NewFollower(FollowerConfig{Self: name, Machine: p.machine, Client: p.client, Voters: s.voters,
		Leader: leader, Metrics: counters, Logger: quiet})
	p.heartbeats = NewHeartbeats(HeartbeatsConfig{Self: name, Members: s.names, Voters: s.voters, Interval: s.interval,
		Machine: p.machine, Client: p.client, Leader: leader, RegistrySync: p.registrySync, Metrics: counters, Logger: quiet,
		OnUnconfirmed: p.follower.Rotate})
	p.server = NewServer(ServerConfig{Self: name, Site: testSite, Authorizer: testAuthorizer(tb, s.token, counters),
		Identity: func() datafolder.Identity { return datafolder.Identity{Site: testSite, Node: name} },
		Client:   p.client, Heartbeats: p.heartbeats, RegistrySync: p.registrySync, Metrics: counters})
	logConfig := LogConfig{Self: name, Machine: p.machine, Client: p.client, Voters: s.voters, Leader: leader, Metrics: counters}
	if s.isVoter(name) && s.folders != "" {
		p.replica = s.openReplica(tb, p)
		voter := FromReplica(p.replica)
		p.client.SetReceiver(voter.Step)
		p.server.SetVoter(voter)
		p.heartbeats.SetVoter(voter)
		logConfig.Voter = voter
	} else if s.isVoter(name) {
		p.voter = &fakeVoter{name: name, log: s.log, machine: p.machine, client: p.client}
		p.server.SetVoter(p.voter)
		p.heartbeats.SetVoter(p.voter)
		logConfig.Voter = p.voter
	}
	p.log = NewLog(logConfig)
	s.run(p, listener{l, s.network, name})
	s.processes[name] = p
	return p
}

func (s *site) openReplica(tb testing.TB, p *process) *replica.Replica {
	tb.Helper()
	r, err := replica.Open(replica.Config{
		Folder: filepath.Join(s.folders, string(p.name)), Site: testSite, Self: p.name, Members: s.voters, StateMachine: p.machine,
		Transport: p.client, Bootstrapper: p.client, Log: p.follower.config.Logger, Metrics: p.metrics,
	})
	is.New(tb).NoErr(err)
	p.server.config.Identity = r.Identity
	return r
}

func (s *site) run(p *process, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	server := NewHTTPServer(ctx, p.server.Handler())
	tasks.Go(func() { _ = server.Serve(l) })
	tasks.Go(func() { _ = p.client.Run(ctx) })
	tasks.Go(func() { _ = p.heartbeats.Run(ctx) })
	tasks.Go(func() { _ = p.registrySync.Run(ctx) })
	switch {
	case p.replica != nil:
		tasks.Go(func() { _ = p.replica.Run(ctx) })
	case p.voter != nil:
		tasks.Go(func() { p.voter.follow(ctx) })
	default:
		tasks.Go(func() { _ = p.follower.Run(ctx) })
	}
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			_ = server.Close()
			tasks.Wait()
			p.client.Close()
		})
	}
}

// follow applies the entries that other voters commit.
func (v *fakeVoter) follow(ctx context.Context) {
	for ctx.Err() == nil {
		v.catchUp()
		_, _ = v.Committed(ctx, v.machine.Applied()+1, 1<<20)
	}
}

func (s *site) isVoter(name model.NodeID) bool {
	for _, v := range s.voters {
		if v == name {
			return true
		}
	}
	return false
}

func (s *site) all(condition func(*process) bool) func() bool {
	return func() bool {
		for _, p := range s.processes {
			if !condition(p) {
				return false
			}
		}
		return true
	}
}

// eventually waits for a condition. The limit is generous, so that a slow machine
// fails no test.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func testAuthorizer(tb testing.TB, token string, registry metrics.Registry) *security.Authorizer {
	tb.Helper()
	path := tb.TempDir() + "/tokens"
	writeFile(tb, path, "peer:"+token+"\n")
	a, err := security.Open("nodes", path, registry)
	is.New(tb).NoErr(err)
	return a
}
