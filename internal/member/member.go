package member

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/dispatch"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/relay"
	"github.com/comfreyloom/comfreyloom/internal/relay/relaypb"
	"github.com/comfreyloom/comfreyloom/internal/replica"
	"github.com/comfreyloom/comfreyloom/internal/settings"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// siteName stands in for the name of the site, which a site whose VMs discover
	// each other from seeds doesn't have. It keeps out processes of sites with a
	// name and of other product versions.
	siteName = "seeded"
	// tick is the time unit of the control log. A leader that is unresponsive for
	// 8 to 16 ticks (0.5 to 1 s) is replaced; during that time nothing is decided.
	// It was compared with 75 and 100 ms on days with five killed leaders; 45 ms
	// gave no further improvement. A sync that takes 270 ms, thirty times as long
	// as on a healthy disk, must not end a leader's term.
	tick = 60 * time.Millisecond
	// reviewTicks is the time between two reviews of the set of voters, in ticks.
	// A VM that replaced another should become a voter before one more is lost.
	reviewTicks = 10
	// leaseShare is the share of the longest allowed lease that is requested. The
	// rest covers the error in the estimate of the worker's clock.
	leaseShare = 0.85
)

// Dependencies holds the handlers and clients for communication with everything
// but the site's own processes.
type Dependencies struct {
	// Callers handles the requests of callers at an entry VM, Operators those of
	// operators and workers at a core VM.
	Callers   func(*Member) http.Handler
	Operators func(*Member) http.Handler
	// Refuse writes the response to a request that was not run because of an error of
	// package intake.
	Refuse  func(http.ResponseWriter, error)
	Workers workers.Client
	Fleet   dispatch.Fleet
	Advisor dispatch.Advisor
	Environment
}

// Environment is what a process uses of its VM. A nil field selects what the
// operating system provides.
type Environment struct {
	// Disk is the file system of the data folder.
	Disk datafolder.FS
	// Dial opens connections to the site's other processes.
	Dial node.DialFunc
}

// Member is one process of the site.
type Member struct {
	Settings *settings.Member
	Logger   log.Interface
	Metrics  metrics.Registry
	// Client sends requests to the leader, HelloClient tracks whether there is one.
	Client      *control.Client
	HelloClient *control.HelloClient

	directory  *control.Directory
	nodes      *node.Client
	nodeServer *node.Server
	replica    *replica.Replica
	machine    *workload.Machine
	dispatcher *dispatch.Dispatcher
	// relays has other core VMs call workers while this one leads, relayServer calls
	// them for another leader.
	relays       *relay.Client
	relayServer  *relay.Server
	dependencies Dependencies
	sockets      sockets
	stopping     stopFlag
}

// sockets are the open listeners; those that are nil are not served.
type sockets struct{ callers, readiness, operators, nodes, metrics net.Listener }

// New opens the sockets and the data folder. Nothing is served before Run.
func New(s *settings.Member, d Dependencies, logger log.Interface, r metrics.Registry) (*Member, error) {
	m := &Member{Settings: s, Logger: logger, Metrics: r, dependencies: d}
	self := m.self()
	m.directory = control.NewDirectory(m.seeds(s), steady.Now)
	m.nodes = node.NewClient(node.ClientConfig{Self: self, Site: siteName, NamedByAddress: true, Metrics: r, Dial: d.Dial})
	m.nodeServer = node.NewServer(node.ServerConfig{Self: self, Site: siteName, Identity: m.identity, Client: m.nodes, Metrics: r})
	if err := m.openSockets(); err != nil {
		m.sockets.close()
		return nil, err
	}
	if s.Node.Role != settings.RoleCore {
		m.Client = control.NewClient(self, nil, m.nodes, m.directory, r)
		m.HelloClient = control.NewHelloClient(m.Client, false)
		return m, nil
	}
	if err := m.openCore(self); err != nil {
		m.sockets.close()
		return nil, err
	}
	return m, nil
}

func (m *Member) self() model.NodeID { return m.Settings.NodeID(m.Settings.Node.IP) }

func (m *Member) seeds(s *settings.Member) []model.NodeID {
	var seeds []model.NodeID
	for _, ip := range s.Seeds {
		seeds = append(seeds, m.Settings.NodeID(ip))
	}
	return seeds
}

func (m *Member) openCore(self model.NodeID) error {
	m.waitForDiskSpace()
	m.machine = workload.NewMachine()
	m.machine.SetClock(steady.Now)
	opened, err := replica.Open(m.replicaConfig(self))
	if err != nil {
		return err
	}
	m.replica = opened
	m.nodes.SetReceiver(opened.Step)
	m.nodeServer.SetVoter(node.FromReplica(opened))
	wallMS := func() int64 { return time.Now().UnixMilli() }
	controlled := controlLog{replica: opened, wallMS: wallMS, logger: m.Logger}
	m.openRelays()
	m.dispatcher = dispatch.New(dispatch.Config{
		Self: string(m.Settings.Node.Name), Log: controlled, Machine: m.machine,
		Workers: m.relays, ListRate: m.relays.ListRate, Fleet: m.dependencies.Fleet, Advisor: m.dependencies.Advisor,
		Lease:    time.Duration(leaseShare * float64(m.Settings.Bounds.LeaseMax)),
		LeaseMax: m.Settings.Bounds.LeaseMax, StopTime: m.Settings.Bounds.WorkerStopTime, TakeOverDelay: m.Settings.Bounds.FleetTakeOver,
		FleetRate: m.Settings.FleetRate, Room: m.room(),
		Now: steady.Now, WallMS: wallMS, Logger: m.Logger, Metrics: m.Metrics,
	})
	server := control.NewServer(controlled, m.machine, m.directory, m.dispatcher, m.room())
	m.nodeServer.Handle(controlpb.ControlPathPrefix, controlpb.NewControlServer(server))
	m.Client = control.NewClient(self, server, m.nodes, m.directory, m.Metrics)
	m.HelloClient = control.NewHelloClient(m.Client, true)
	return nil
}

// openRelays prepares the calls to workers through other core VMs, and for them.
func (m *Member) openRelays() {
	m.relays = relay.NewClient(relay.ClientConfig{
		Direct: m.dependencies.Workers, Nodes: m.nodes, Available: m.replica.ResponsiveVoters,
		KnownWorkers: m.countWorkers, WorkersPerRelay: m.Settings.WorkersPerRelay, Now: steady.Now, Logger: m.Logger, Metrics: m.Metrics,
	})
	m.relayServer = relay.NewServer(m.dependencies.Workers, steady.Now)
	m.nodeServer.Handle(relaypb.RelayPathPrefix, relaypb.NewRelayServer(m.relayServer))
}

func (m *Member) countWorkers() (n int) {
	m.machine.Read(func(t *workload.Tables) { n = len(t.Workers) })
	return n
}

const (
	// diskSpacePoll is the time between two checks of a full disk.
	// diskSpaceTimeout is how long a process waits for disk space before it
	// continues and fails.
	diskSpacePoll    = 500 * time.Millisecond
	diskSpaceTimeout = 5 * time.Minute
)

// waitForDiskSpace waits while the disk is full. Without it the process would end
// at its first write and be restarted several times a second, and each start
// would cost the other processes a connection and a round of requests.
func (m *Member) waitForDiskSpace() {
	disk := datafolder.Disk{}
	for waited := time.Duration(0); waited < diskSpaceTimeout; waited += diskSpacePoll {
		err := datafolder.CheckDiskSpace(disk, m.Settings.Node.DataFolder)
		if err == nil || !datafolder.IsFull(err) {
			return
		}
		if waited == 0 {
			m.Logger.WithError(err).Warn("the disk is full; waiting for room")
		}
		time.Sleep(diskSpacePoll)
	}
}

// replicaConfig returns the configuration of the replica. The seeds found the
// site together, on the first start only: a seed that lost its disk must never
// found another site.
func (m *Member) replicaConfig(self model.NodeID) replica.Config {
	var founders []model.NodeID
	if m.Settings.Node.MayFound {
		founders = m.seeds(m.Settings)
	}
	return replica.Config{
		Disk: m.dependencies.Disk, Folder: m.Settings.Node.DataFolder, Site: siteName, Self: self, Members: founders,
		Candidates: m.directory.Cores, StateMachine: m.machine, Transport: m.nodes, Bootstrapper: m.nodes,
		LostDisks: m.Settings.Bounds.LostDisks, TickInterval: tick, ReviewTicks: reviewTicks, Log: m.Logger, Metrics: m.Metrics,
		// Only the leader replies to requests and acts on the state.
		PiggybackCommit: true,
	}
}

func (m *Member) identity() datafolder.Identity {
	if m.replica == nil {
		return datafolder.Identity{Site: siteName, Node: m.self()}
	}
	return m.replica.Identity()
}

// LeaderIP returns the IP address of the leader, empty when unknown.
func (m *Member) LeaderIP() string {
	leader, _ := m.directory.Leader.Get()
	host, _, err := net.SplitHostPort(string(leader))
	if err != nil {
		return ""
	}
	return host
}

func (m *Member) openSockets() error {
	l := m.Settings.Listen
	for _, s := range []struct {
		to           *net.Listener
		key, address string
	}{
		{&m.sockets.callers, "callers", l.Callers}, {&m.sockets.readiness, "readiness", l.Readiness},
		{&m.sockets.operators, "operators", l.Operators}, {&m.sockets.nodes, "nodes", l.Nodes},
		{&m.sockets.metrics, "metrics", l.Metrics},
	} {
		if s.address == "" {
			continue
		}
		opened, err := caller.Listen(context.Background(), s.address)
		if err != nil {
			return oops.In("member").Wrapf(err, "[listen] %s: cannot listen on %s", s.key, s.address)
		}
		*s.to = opened
	}
	return nil
}

func (s *sockets) close() {
	for _, l := range []net.Listener{s.callers, s.readiness, s.operators, s.nodes, s.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}
