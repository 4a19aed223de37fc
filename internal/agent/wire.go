package agent

import (
	"errors"
	"net/http"
	"path/filepath"

	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/controller"
	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// auditFolderName is the folder of the audit trail within the data folder.
const auditFolderName = "audit"

func (a *Agent) auditFolder() string {
	return filepath.Join(a.settings.Node.DataFolder, auditFolderName)
}

// wire creates and connects the components, those without dependencies first.
func (a *Agent) wire(o Options) error {
	a.intakes = a.newIntakes()
	a.wireNodes()
	a.wireRequests()
	a.wireNodeServer()
	return a.wireController(o)
}

func (a *Agent) wireNodes() {
	a.registry = registry.New(a.registryOptions())
	a.registrySync = node.NewRegistrySync(node.RegistrySyncConfig{
		Self: a.settings.Node.Name, Registry: a.registry, Client: a.client, Metrics: a.metrics,
		Clock: func() model.Instant { return model.InstantOf(a.now()) },
	})
	a.follower = node.NewFollower(node.FollowerConfig{
		Self: a.settings.Node.Name, Machine: a.machine, Client: a.client, Voters: a.settings.Voters,
		Leader: a.leader, Metrics: a.metrics, Logger: a.logger,
	})
	a.heartbeats = node.NewHeartbeats(node.HeartbeatsConfig{
		Self: a.settings.Node.Name, Members: a.members(), Voters: a.settings.Voters,
		Machine: a.machine, Client: a.client, Leader: a.leader, RegistrySync: a.registrySync,
		OnUnconfirmed: a.follower.Rotate, Metrics: a.metrics, Logger: a.logger,
	})
	voter := a.voter()
	a.log = node.NewLog(node.LogConfig{
		Self: a.settings.Node.Name, Machine: a.machine, Voter: voter, Client: a.client,
		Voters: a.settings.Voters, Leader: a.leader, Metrics: a.metrics,
	})
	if voter != nil {
		a.heartbeats.SetVoter(voter)
	}
}

// wireNodeServer follows wireNodes and wireRequests, so that everything that
// other processes can call exists.
func (a *Agent) wireNodeServer() {
	a.nodeServer = node.NewServer(node.ServerConfig{
		Self: a.settings.Node.Name, Site: a.settings.Node.Site, Authorizer: a.tokens.nodes,
		Identity: a.identity, Client: a.client, Heartbeats: a.heartbeats, RegistrySync: a.registrySync,
		Lender: a.dispatcher, Metrics: a.metrics,
	})
	if voter := a.voter(); voter != nil {
		a.nodeServer.SetVoter(voter)
	}
}

// voter returns the replica as a member of the quorum, nil on a learner.
func (a *Agent) voter() node.Voter {
	if a.replica == nil {
		return nil
	}
	return node.FromReplica(a.replica)
}

func (a *Agent) identity() datafolder.Identity {
	if a.replica == nil {
		return datafolder.Identity{Site: a.settings.Node.Site, Node: a.settings.Node.Name}
	}
	return a.replica.Identity()
}

// renewalsPerSecond bounds the renewals of announcements by all instances of a
// site together: each renewal costs an HTTP exchange at one entry VM and a few
// bytes at the others. With 420 instances an instance renews every 15 s instead
// of every 3 s.
const renewalsPerSecond = 28

func (a *Agent) registryOptions() registry.Options {
	renew := a.settings.Limits.UpstreamLease / registry.LeaseRenewals
	return registry.Options{RenewMin: renew, RenewalsPerSecond: renewalsPerSecond}
}

func (a *Agent) wireRequests() {
	clock := slots.Clock() // deadlines are set and compared with the same clock
	a.dispatcher = slots.New(slots.Config{
		Now:  clock,
		Self: a.settings.Node.Name, Zone: a.settings.Node.Zone, Nodes: a.members(), Members: a.liveNodes, Confirmed: a.heartbeats.Ready,
		Registry: a.registry, Services: catalog{a.log}, Peer: slots.NewPeer(a.client.Lend), Metrics: a.metrics, Log: a.logger,
	})
	a.transport = upstream.NewTransport(upstream.Options{EntryVMs: len(a.settings.Nodes), Metrics: a.metrics})
	responses, _ := a.settings.Limits.Process.Share(responseMemory, 0)
	a.callers = caller.New(caller.Config{
		Self: a.settings.Node.Name,
		Log:  a.log, Broker: unreadyCounter{a.dispatcher, a.heartbeats}, BrokerNow: clock, Sender: a.transport,
		Limits: caller.Limits{
			BodyBytes:   a.settings.Limits.RequestBody,
			Connections: int64(a.settings.Limits.CallerConnections),
			// Behind the balancer all callers may have the same address.
			ConnectionsPerIP:   int64(a.settings.Limits.CallerConnections),
			TotalBufferedBytes: min(responses, maxResponseMemory),
		},
		Gate:          a.intakes.callers,
		BalancerDelay: a.settings.Limits.BalancerDelay,
		Metrics:       a.metrics, Logger: a.logger,
	})
	a.callers.AddReadinessCondition(caller.ReadinessCondition{Name: "quorum", Check: a.checkQuorum})
}

// checkQuorum is the readiness condition that this VM's view of the control log
// is recent. Requests that arrive when it isn't are served with the state last
// applied here.
func (a *Agent) checkQuorum() error {
	status := a.heartbeats.Status()
	if status.Ready {
		return nil
	}
	return errors.New(status.Reason)
}

// liveNodes returns the entry VMs that are live in the current membership view.
func (a *Agent) liveNodes() []model.NodeID {
	var names []model.NodeID
	for _, m := range a.heartbeats.View().Live {
		names = append(names, m.Node)
	}
	return names
}

func (a *Agent) wireController(o Options) error {
	if a.replica == nil {
		return nil
	}
	client, err := platform.NewHTTP(platform.HTTPOptions{
		Address: a.settings.Platform.Address, Token: a.tokens.platform.Token(),
	})
	if err != nil {
		return err
	}
	a.platform = client
	config := controller.Config{
		Self: a.settings.Node.Name, Region: a.settings.Node.Region, Log: a.log, Platform: client,
		Serving: func() map[model.TaskID]bool { return announcedTasks(a.registry) },
		Wave:    wave.Options{Features: wave.AllFeatures()},
		Metrics: a.metrics, Logger: a.logger,
	}
	if o.Tune != nil {
		o.Tune(&config)
	}
	a.controller = controller.New(config)
	return nil
}

func (a *Agent) upstreamHandler() http.Handler {
	return upstream.NewHandler(upstream.HandlerConfig{
		Announcer: announcer{a.registry, a.registrySync}, Authorizer: a.tokens.upstreams, Metrics: a.metrics,
		Now: a.now,
	})
}
