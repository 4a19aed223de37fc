package agent

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/controller"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/replica"
	"github.com/comfreyloom/comfreyloom/internal/security"
	"github.com/comfreyloom/comfreyloom/internal/settings"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// Options are settings for tests and the demo. All may be zero.
type Options struct {
	// Listeners are sockets that are already open; nil opens those of the settings.
	Listeners *Listeners
	// Logger receives the log lines; the default logger if nil.
	Logger log.Interface
	// Metrics receives the counters; a new registry if nil.
	Metrics metrics.Registry
	// Tune may change the controller's configuration, such as its intervals.
	Tune func(*controller.Config)
}

// Agent is one process of comfreyloom.
type Agent struct {
	settings  *settings.Settings
	logger    log.Interface
	metrics   metrics.Registry
	listeners *Listeners
	intakes   intakes
	// now is the clock used for announcements.
	now func() time.Time

	machine      *state.Machine
	leader       *node.LeaderHint
	client       *node.Client
	nodeServer   *node.Server
	heartbeats   *node.Heartbeats
	registrySync *node.RegistrySync
	log          *node.Log
	follower     *node.Follower
	replica      *replica.Replica
	trail        *audit.Trail

	registry   *registry.Registry
	dispatcher *slots.Dispatcher
	transport  *upstream.Transport
	callers    *caller.Server
	controller *controller.Controller
	platform   *platform.HTTPClient

	tokens tokens
}

// tokens holds the tokens of each kind of peer, each from its own file.
type tokens struct {
	operators, nodes, upstreams, platform *security.Authorizer
}

// New opens the token files, the sockets and the data folder, and connects the
// components. Nothing runs before Run.
func New(s *settings.Settings, o Options) (*Agent, error) {
	a := &Agent{settings: s, logger: o.Logger, metrics: o.Metrics, listeners: o.Listeners, now: monotonicClock()}
	if a.logger == nil {
		a.logger = log.Log
	}
	if a.metrics == nil {
		a.metrics = metrics.NewRegistry()
	}
	steps := []func() error{a.openTokens, a.openSockets, a.openStorage, func() error { return a.wire(o) }}
	for _, step := range steps {
		if err := step(); err != nil {
			a.releaseResources()
			return nil, err
		}
	}
	return a, nil
}

func (a *Agent) openTokens() error {
	files := []struct {
		to   **security.Authorizer
		kind string
		path string
	}{
		{&a.tokens.operators, "operators", a.settings.Security.Operators},
		{&a.tokens.nodes, "nodes", a.settings.Security.Nodes},
		{&a.tokens.upstreams, "upstreams", a.settings.Security.Upstreams},
		{&a.tokens.platform, "platform", a.settings.Platform.TokenFile},
	}
	for _, f := range files {
		authorizer, err := security.Open(f.kind, f.path, a.metrics)
		if err != nil {
			return oops.In("agent").With("file", f.path).Wrapf(err, "tokens of %s", f.kind)
		}
		*f.to = authorizer
	}
	return nil
}

func (a *Agent) openSockets() error {
	if a.listeners != nil {
		return nil
	}
	opened, err := OpenListeners(a.settings.Listen)
	a.listeners = opened
	return err
}

// openStorage opens the replica on a voter, and the audit trail on every VM with
// a data folder.
func (a *Agent) openStorage() error {
	a.machine = state.NewMachine(state.Options{})
	a.leader = &node.LeaderHint{}
	a.client = node.NewClient(node.ClientConfig{
		Self:      a.settings.Node.Name,
		Site:      a.settings.Node.Site,
		Token:     a.tokens.nodes.Token,
		Addresses: a.addresses(),
		Metrics:   a.metrics,
	})
	if a.settings.IsVoter() {
		opened, err := replica.Open(a.replicaConfig())
		if err != nil {
			return err
		}
		a.replica = opened
		a.client.SetReceiver(opened.Step)
	}
	return a.openTrail()
}

func (a *Agent) openTrail() error {
	if a.settings.Node.DataFolder == "" {
		return nil
	}
	trail, err := audit.Open(a.auditFolder(), audit.Options{Registry: a.metrics})
	a.trail = trail
	return err
}

func (a *Agent) replicaConfig() replica.Config {
	return replica.Config{
		Folder:          a.settings.Node.DataFolder,
		Site:            a.settings.Node.Site,
		Self:            a.settings.Node.Name,
		Members:         a.settings.Voters,
		StateMachine:    a.machine,
		Transport:       a.client,
		Bootstrapper:    a.client,
		TickInterval:    a.settings.Limits.Tick,
		SnapshotEntries: a.settings.Limits.SnapshotEvery,
		Log:             a.logger,
		Metrics:         a.metrics,
	}
}

func (a *Agent) addresses() map[model.NodeID]string {
	addresses := map[model.NodeID]string{}
	for _, p := range a.settings.Nodes {
		addresses[p.Name] = p.Address
	}
	return addresses
}

func (a *Agent) members() []model.NodeID {
	var names []model.NodeID
	for _, p := range a.settings.Nodes {
		names = append(names, p.Name)
	}
	return names
}

// releaseResources closes what New opened before it failed.
func (a *Agent) releaseResources() {
	if a.replica != nil {
		a.replica.Close()
	}
	if a.listeners != nil {
		a.listeners.close()
	}
	_ = a.closeTrail()
}

// Run serves until ctx ends, then stops gracefully. It returns nil after a
// graceful stop, and an error when a background task failed or the stop took too
// long.
func (a *Agent) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	failed := a.start(background)
	a.logger.WithField("node", a.settings.Node.Name).Info("started")
	select {
	case err := <-failed:
		stopBackground()
		a.callers.Close()
		a.listeners.close()
		return oops.In("agent").Wrapf(err, "a background task ended")
	case <-ctx.Done():
	}
	stopErr := a.stop(stopBackground)
	err := <-failed
	a.logger.WithField("node", a.settings.Node.Name).Info("stopped")
	return errors.Join(stopErr, err, a.closeTrail())
}

// stop stops the process in an order that interrupts no request: first it
// becomes unready, so that the balancer removes it, then the requests in progress
// end, then leadership is handed over, and last the background tasks end, which
// those requests needed.
func (a *Agent) stop(stopBackground context.CancelFunc) error {
	defer stopBackground()
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Limits.StopTimeout)
	defer cancel()
	a.heartbeats.Leave()
	err := a.callers.Drain(ctx)
	if err != nil {
		a.callers.Close()
	}
	a.handOverLeadership(ctx)
	return err
}

// handOverTimeout bounds the transfer of leadership. If it fails, the other
// voters elect a new leader after an election timeout.
const handOverTimeout = 3 * time.Second

func (a *Agent) handOverLeadership(ctx context.Context) {
	if a.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := a.replica.TransferLeadership(ctx); err != nil {
		a.logger.WithError(err).Warn("leadership was not handed over; the others elect")
	}
}

// closeTrail closes the audit trail, if this VM has one.
func (a *Agent) closeTrail() error {
	if a.trail == nil {
		return nil
	}
	return a.trail.Close()
}
