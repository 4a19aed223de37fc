package slots

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// Services gives access to the part of the desired state that a dispatcher
// needs.
type Services interface {
	Service(model.ServiceID) (model.Service, bool)
	Team(model.TeamID) (model.Team, bool)
}

// Config holds the settings and dependencies of a dispatcher.
type Config struct {
	Self model.NodeID
	Zone model.ZoneID
	// Nodes lists all entry VMs of the settings, live or not. Static shares are
	// computed over this list, so every entry VM computes the same shares.
	Nodes []model.NodeID
	// Members returns the entry VMs that this one considers live.
	Members func() []model.NodeID
	// Confirmed reports whether a quorum recently confirmed this entry VM's view
	// of the members. A partitioned entry VM keeps an outdated list of members;
	// without this check it would continue to use slots that others may already
	// use. Nil means always.
	Confirmed func() bool
	Registry  *registry.Registry
	Services  Services
	// Peer sends requests to the other entry VMs; nil disables lending, which
	// leaves the static shares.
	Peer Peer
	// Incarnation grows with each process of this entry VM; 0 takes the clock.
	Incarnation uint64
	// TakeOverAfter is how long an entry VM must be lost before others take over
	// its share; 0 takes DefaultTakeOverAfter, a negative value means never.
	TakeOverAfter time.Duration
	Lending       lending.Options
	// Now is a clock that never steps; nil takes a monotonic one that starts
	// at the wall-clock time.
	Now func() model.Instant
	// Random returns a number in 0..n-1; nil takes math/rand/v2.
	Random func(n int) int
	// Metrics and Log may be nil.
	Metrics   metrics.Registry
	Log       log.Interface
	Admission admission.Options
	Balance   balance.Options
}

// Clock returns a monotonic clock that starts at the wall-clock time. A lease
// measured by the wall clock would last too long or end too early when the wall
// clock is set.
func Clock() func() model.Instant {
	start := time.Now()
	return func() model.Instant { return model.InstantOf(start.Add(time.Since(start))) }
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = Clock()
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(c.Now())
	}
	if c.TakeOverAfter == 0 {
		c.TakeOverAfter = DefaultTakeOverAfter
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = log.Log
	}
	if len(c.Nodes) == 0 {
		c.Nodes = []model.NodeID{c.Self}
	}
	if c.Members == nil {
		nodes := c.Nodes
		c.Members = func() []model.NodeID { return nodes }
	}
	if c.Confirmed == nil {
		c.Confirmed = func() bool { return true }
	}
	return c
}
