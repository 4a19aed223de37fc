package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// memLog is an in-memory control log with one member and the real state
// machine. It loses answers at lossRate; half of the lost commands were
// committed.
type memLog struct {
	state.Log
	machine  *state.Machine
	leader   model.NodeID
	term     uint64
	index    uint64
	random   *rand.Rand
	lossRate float64
	// bytes and entries count committed commands.
	bytes, entries int
	// partitioned are the nodes that a partition separates from the others: each
	// still considers itself the leader, sees an old state and commits nothing.
	partitioned map[model.NodeID]partitionedNode
}

type partitionedNode struct {
	view *state.View
	term uint64
}

// nodeLog is the log as seen by one node.
type nodeLog struct {
	*memLog
	self model.NodeID
}

func (l nodeLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if _, found := l.partitioned[l.self]; found {
		return state.Result{}, state.ErrOutcomeUnknown
	}
	return l.memLog.Propose(ctx, c)
}

func (l nodeLog) View() *state.View {
	if c, found := l.partitioned[l.self]; found {
		return c.view
	}
	return l.memLog.View()
}

func (l nodeLog) Leader() (model.NodeID, uint64) {
	if c, found := l.partitioned[l.self]; found {
		return l.self, c.term
	}
	return l.memLog.Leader()
}

func newMemLog(rules state.Rules, seed uint64) *memLog {
	return &memLog{machine: state.NewMachine(state.Options{Rules: rules}), random: rand.New(rand.NewPCG(seed, 7)), partitioned: map[model.NodeID]partitionedNode{}, leader: "a", term: 1}
}

func (l *memLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	lost := l.lossRate > 0 && l.random.Float64() < l.lossRate
	if lost && l.random.IntN(2) == 0 {
		return state.Result{}, state.ErrNotProposed
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	l.index++
	l.bytes += len(data)
	l.entries++
	result := l.machine.Apply(l.index, data)
	if lost {
		return state.Result{}, state.ErrOutcomeUnknown
	}
	return result, nil
}

func (l *memLog) View() *state.View              { return l.machine.View() }
func (l *memLog) Leader() (model.NodeID, uint64) { return l.leader, l.term }

// sim simulates controllers against the stand-in platform in virtual time.
type sim struct {
	log      *memLog
	platform *standin.Platform
	client   *standin.Unreliable
	config   Config
	nodes    map[model.NodeID]*Controller
	ids      int
	// startup is how long an instance takes to start serving.
	startup time.Duration
	started map[model.TaskID]model.Instant
	onStart func(standin.TaskInfo)
}

const simStart = model.Instant(1_800_000_000_000)

type simOptions struct {
	seed     uint64
	site     model.Site
	platform standin.Config
	faults   standin.Faults
	config   Config
	state    state.Rules
}

func newSim(o simOptions) *sim {
	s := &sim{log: newMemLog(o.state, o.seed), nodes: map[model.NodeID]*Controller{}, startup: 3 * time.Second, started: map[model.TaskID]model.Instant{}}
	p := o.platform
	p.Seed, p.Start = o.seed, simStart
	p.OnStart = func(r standin.TaskInfo) {
		s.started[r.Task] = s.platform.Now()
		if s.onStart != nil {
			s.onStart(r)
		}
	}
	s.platform = standin.New(p)
	s.client = s.platform.Unreliable(o.seed, o.faults)
	s.config = o.config
	s.config.Platform = s.client
	s.config.Clock = s.platform.Now
	s.config.Logger = &log.Logger{Handler: discard.New()}
	s.config.Serving = s.serving
	s.apply(o.site)
	return s
}

// serving returns the instances that have run for at least the startup time.
func (s *sim) serving() map[model.TaskID]bool {
	serving := s.platform.Serving()
	for id := range serving {
		if s.platform.Now().Sub(s.started[id]) < s.startup {
			delete(serving, id)
		}
	}
	return serving
}

func (s *sim) propose(c state.Command) state.Result {
	result := s.tryPropose(c)
	if result.Refused != "" {
		panic(result.Refused)
	}
	return result
}

// tryPropose proposes a command that may be refused.
func (s *sim) tryPropose(c state.Command) state.Result {
	s.ids++
	c.ID = model.CommandID(fmt.Sprintf("sim/%d", s.ids))
	c.At = s.platform.Now()
	lossRate := s.log.lossRate
	s.log.lossRate = 0
	result, err := s.log.Propose(context.Background(), c)
	s.log.lossRate = lossRate
	if err != nil {
		panic(err)
	}
	return result
}

func (s *sim) apply(site model.Site) { s.propose(manifestOf(site)) }

func manifestOf(site model.Site) state.Command {
	text := fmt.Appendf(nil, "revision %d", site.Revision)
	sum := sha256.Sum256(text)
	return state.Command{ApplyManifest: &state.ApplyManifest{Revision: site.Revision, Digest: hex.EncodeToString(sum[:]), Text: text, Site: &site}}
}

func (s *sim) submit(spec model.JobSpec) {
	s.propose(state.Command{SubmitJob: &state.SubmitJob{Spec: spec}})
}

func (s *sim) node(id model.NodeID) *Controller {
	if s.nodes[id] == nil {
		config := s.config
		config.Self = id
		config.Log = nodeLog{s.log, id}
		s.nodes[id] = New(config)
	}
	return s.nodes[id]
}

// step advances the time and takes one round on the leader and on partitioned
// nodes.
func (s *sim) step(d time.Duration) {
	s.platform.Advance(s.platform.Now().Add(d))
	_ = s.node(s.log.leader).Step(context.Background())
	for id := range s.log.partitioned {
		_ = s.node(id).Step(context.Background())
	}
}

// until steps a second at a time until done returns true, for at most limit. It
// reports whether done returned true.
func (s *sim) until(limit time.Duration, done func() bool) bool {
	return s.untilBy(time.Second, limit, done)
}

func (s *sim) untilBy(step, limit time.Duration, done func() bool) bool {
	for passed := time.Duration(0); passed < limit; passed += step {
		if done() {
			return true
		}
		s.step(step)
	}
	return done()
}

// partitionLeader separates the leader from the others, who elect next.
func (s *sim) partitionLeader(next model.NodeID) {
	s.log.partitioned[s.log.leader] = partitionedNode{s.view(), s.log.term}
	s.elect(next)
}

func (s *sim) elect(id model.NodeID) {
	s.log.leader = id
	s.log.term++
}

func (s *sim) view() *state.View { return s.log.View() }

// invariantViolations returns all violated invariants, of the controllers and
// of the state.
func (s *sim) invariantViolations() []string {
	var all []string
	for _, node := range s.nodes {
		for _, b := range node.Violations() {
			all = append(all, b.Invariant+": "+b.Detail)
		}
	}
	for _, b := range s.log.machine.Violations() {
		all = append(all, b.Invariant+": "+b.Detail)
	}
	for _, b := range state.Check(s.view()) {
		all = append(all, b.Invariant+": "+b.Detail)
	}
	return all
}

func (s *sim) waveDone(id model.WaveID) func() bool {
	return func() bool {
		ix := fleet.NewIndex(&fleet.Snapshot{Now: s.platform.Now(), View: s.view(), VMs: map[model.VMID]*model.VM{}})
		for _, p := range wave.ProgressOf(ix, nil, s.config.Wave) {
			if p.Wave == id {
				return p.Total > 0 && p.Done == p.Total
			}
		}
		return false
	}
}

// siteVMs returns VMs spread over zones and racks.
func siteVMs(zones, n, perRack int, size model.Resources) []standin.VM {
	var vms []standin.VM
	for i := range n {
		rack := i / perRack
		id := fmt.Sprintf("vm%03d", i)
		vms = append(vms, standin.VM{
			ID: model.VMID(id), Worker: model.WorkerID("w-" + id),
			Zone: model.ZoneID(fmt.Sprintf("az%d", rack%zones+1)), Rack: model.RackID(fmt.Sprintf("r%02d", rack)),
			Capacity: size,
		})
	}
	return vms
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000, MemoryMB: n * 4000} }

// smallSite returns a site with two pools, three services and a wave over both
// pools.
func smallSite() model.Site {
	service := func(id model.ServiceID, pool model.PoolID, instances, minAvailable int, p model.Priority) model.Service {
		return model.Service{ID: id, Pool: pool, Instances: instances, MinAvailable: minAvailable, Size: cores(2), Slots: 8, Connections: 64, Priority: p}
	}
	return model.Site{
		Name: "test", Revision: 1, Policy: model.Policy{MoveWeight: 0.7, BufferWeight: 0.3},
		Pools: []model.Pool{
			{ID: "drafts", MinVMs: 6, MaxVMs: 10, Shape: cores(16)},
			{ID: "night", MinVMs: 4, MaxVMs: 8, Shape: cores(16)},
		},
		Services: []model.Service{
			service("checks", "drafts", 6, 4, model.Urgent),
			service("plans", "drafts", 5, 3, model.Normal),
			service("ledger", "night", 4, 2, model.Batch),
		},
		Teams: []model.Team{{ID: "planners"}, {ID: "offices"}},
		Waves: []model.Wave{{ID: "kernel", Pools: []model.PoolID{"drafts", "night"}, Start: simStart.Add(5 * time.Minute), Soak: time.Minute}},
	}
}

func job(id string, pool model.PoolID, p model.Priority, size model.Resources, runtime time.Duration) model.JobSpec {
	return model.JobSpec{ID: model.JobID(id), Team: "planners", Pool: pool, Kind: "draft", Priority: p, Declared: size, Runtime: runtime, Idempotent: true}
}

var _ platform.Client = (*standin.Unreliable)(nil)
