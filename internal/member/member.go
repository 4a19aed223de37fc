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
	"github.com/comfreyloom/comfreyloom/internal/replica"
	"github.com/comfreyloom/comfreyloom/internal/settings"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// siteName keeps processes of another product version or site apart; sites
	// that find each other by seeds have no name of their own.
	siteName = "seeded"
	// tick is the unit of the control log's times: a leader that is silent for
	// 8 to 16 of them is replaced, 0.5 to 1 s. That is the time for which nothing
	// is decided; on days with five killed leaders it was measured against 75 and
	// 100 ms, and 45 ms brought no more. A sync of 270 ms, thirty times that of a
	// healthy disk, must not end a leader's time.
	tick = 60 * time.Millisecond
	// reviewTicks is the time between two reviews of the voters. A VM that took
	// the place of another should vote before one more is lost.
	reviewTicks = 10
	// leaseShare of the longest lease is asked for. The rest is for the error
	// of the estimate of the worker's clock.
	leaseShare = 0.85
)

// Outside is what a process speaks with others than the site's own processes.
type Outside struct {
	// Callers answers callers on an entry VM, Operators operators and workers on a core VM.
	Callers   func(*Member) http.Handler
	Operators func(*Member) http.Handler
	Workers   workers.Client
	Fleet     dispatch.Fleet
	Advisor   dispatch.Advisor
}

// Member is one process.
type Member struct {
	Settings *settings.Member
	Logger   log.Interface
	Metrics  metrics.Registry
	// Client asks the leader, Greeter knows whether there is one.
	Client  *control.Client
	Greeter *control.Greeter

	directory  *control.Directory
	nodes      *node.Client
	nodeServer *node.Server
	replica    *replica.Replica
	machine    *workload.Machine
	dispatcher *dispatch.Dispatcher
	outside    Outside
	sockets    sockets
	stopping   stopFlag
}

// sockets are the open listeners; nil ones are not served.
type sockets struct{ callers, readiness, operators, nodes, metrics net.Listener }

// New opens sockets and data folder. Nothing runs before Run.
func New(s *settings.Member, o Outside, logger log.Interface, r metrics.Registry) (*Member, error) {
	m := &Member{Settings: s, Logger: logger, Metrics: r, outside: o}
	self := m.self()
	m.directory = control.NewDirectory(m.seeds(s), steady.Now)
	m.nodes = node.NewClient(node.ClientConfig{Self: self, Site: siteName, NamedByAddress: true, Metrics: r})
	m.nodeServer = node.NewServer(node.ServerConfig{Self: self, Site: siteName, Identity: m.identity, Client: m.nodes, Metrics: r})
	if err := m.openSockets(); err != nil {
		m.sockets.close()
		return nil, err
	}
	if s.Node.Role != settings.RoleCore {
		m.Client = control.NewClient(self, nil, m.nodes, m.directory, r)
		m.Greeter = control.NewGreeter(m.Client, false)
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
	m.awaitRoom()
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
	controlled := controlLog{replica: opened, wallMS: wallMS}
	m.dispatcher = dispatch.New(dispatch.Config{
		Self: string(m.Settings.Node.Name), Log: controlled, Machine: m.machine,
		Workers: m.outside.Workers, Fleet: m.outside.Fleet, Advisor: m.outside.Advisor,
		Lease:    time.Duration(leaseShare * float64(m.Settings.Bounds.LeaseMax)),
		LeaseMax: m.Settings.Bounds.LeaseMax, TakeOverDelay: m.Settings.Bounds.FleetTakeOver,
		FleetRate: m.Settings.FleetRate,
		Now:       steady.Now, WallMS: wallMS, Logger: m.Logger, Metrics: m.Metrics,
	})
	server := control.NewServer(controlled, m.machine, m.directory, m.dispatcher)
	m.nodeServer.Offer(controlpb.ControlPathPrefix, controlpb.NewControlServer(server))
	m.Client = control.NewClient(self, server, m.nodes, m.directory, m.Metrics)
	m.Greeter = control.NewGreeter(m.Client, true)
	return nil
}

const (
	// roomEvery is the time between two looks at a full disk, roomWithin how
	// long a process waits for room before it goes on and fails.
	roomEvery  = 500 * time.Millisecond
	roomWithin = 5 * time.Minute
)

// awaitRoom waits while the disk is full. Without it the process would end at
// its first write and be started again, several times a second, and each start
// would cost the others a connection and a round of questions.
func (m *Member) awaitRoom() {
	disk := datafolder.Disk{}
	for waited := time.Duration(0); waited < roomWithin; waited += roomEvery {
		err := datafolder.HasRoom(disk, m.Settings.Node.DataFolder)
		if err == nil || !datafolder.IsFull(err) {
			return
		}
		if waited == 0 {
			m.Logger.WithError(err).Warn("the disk is full; waiting for room")
		}
		time.Sleep(roomEvery)
	}
}

// replicaConfig lets the seeds found the site together, on the first start
// only: a seed that lost its disk must never found another one.
func (m *Member) replicaConfig(self model.NodeID) replica.Config {
	var founders []model.NodeID
	if m.Settings.Node.MayFound {
		founders = m.seeds(m.Settings)
	}
	return replica.Config{
		Folder: m.Settings.Node.DataFolder, Site: siteName, Self: self, Members: founders,
		Candidates: m.directory.Cores, StateMachine: m.machine, Transport: m.nodes, Bootstrapper: m.nodes,
		TickInterval: tick, ReviewTicks: reviewTicks, Log: m.Logger, Metrics: m.Metrics,
		// Only the leader answers requests and acts.
		CommitsWithNext: true,
	}
}

func (m *Member) identity() datafolder.Identity {
	if m.replica == nil {
		return datafolder.Identity{Site: siteName, Node: m.self()}
	}
	return m.replica.Identity()
}

// LeaderIP returns the IP of the leader, empty when unknown.
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
