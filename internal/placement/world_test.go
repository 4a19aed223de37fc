package placement_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// simulation is a platform with its VMs and tasks, in virtual time, connected
// to a real state machine. It decides, commits and carries out round by round.
type simulation struct {
	machine       *state.Machine
	random        *rand.Rand
	now           model.Instant
	vms           map[model.VMID]*model.VM
	upAt          map[model.VMID]model.Instant
	faultyWorkers map[model.WorkerID]bool
	runs          map[model.TaskID]*runningTask
	behaviour     map[model.JobID]*jobBehaviour
	hidden        map[model.VMID]bool

	sizes    *estimate.Estimator
	history  *health.History
	absence  *fleet.Absence
	fleet    fleet.Options
	placing  placement.Options
	health   health.Options
	noHealth bool
	noFleet  bool
	// singleDecision skips the second decision that checks the first.
	singleDecision bool
	recentOutcomes map[model.WorkerID][2]int
	lease          time.Duration
	extraDecision  func(*fleet.Index) []state.Action

	index      uint64
	violations []string
	stats      stats
	lastIndex  *fleet.Index
}

// jobBehaviour is what a job really needs and does.
type jobBehaviour struct {
	size     model.Resources
	length   time.Duration
	fails    bool
	starts   int
	finished int
}

// runningTask is a task that the platform runs.
type runningTask struct {
	task  model.Task
	ends  model.Instant
	lease model.Instant
}

// stats counts the cost of a simulation.
type stats struct {
	vmMoves, jobMoves, starts, refused, rounds, killed int
	urgentWait                                         []time.Duration
}

func newSimulation(seed uint64, site *model.Site, vms []*model.VM) *simulation {
	sim := &simulation{
		machine:        state.NewMachine(state.Options{}),
		random:         rand.New(rand.NewPCG(seed, 1)),
		now:            model.InstantOf(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)),
		vms:            make(map[model.VMID]*model.VM),
		upAt:           make(map[model.VMID]model.Instant),
		faultyWorkers:  make(map[model.WorkerID]bool),
		runs:           make(map[model.TaskID]*runningTask),
		behaviour:      make(map[model.JobID]*jobBehaviour),
		hidden:         make(map[model.VMID]bool),
		sizes:          estimate.NewEstimator(),
		history:        health.NewHistory(),
		absence:        &fleet.Absence{},
		recentOutcomes: make(map[model.WorkerID][2]int),
	}
	for _, v := range vms {
		v.HealthSince = sim.now
		sim.vms[v.ID] = v
	}
	sim.fleet.Sizes, sim.placing.Sizes = sim.sizes, sim.sizes
	sim.applyManifest(site)
	return sim
}

// applyManifest makes a manifest the desired state.
func (sim *simulation) applyManifest(site *model.Site) {
	text := fmt.Appendf(nil, "revision %d", site.Revision)
	sum := sha256.Sum256(text)
	m := &state.ApplyManifest{Revision: site.Revision, Digest: hex.EncodeToString(sum[:]), Text: text, Site: site}
	if r := sim.apply(state.Command{ApplyManifest: m}); r.Refused != "" {
		panic(r.Refused)
	}
}

func (sim *simulation) apply(c state.Command) state.Result {
	sim.index++
	c.ID, c.At, c.Actor = model.CommandID(fmt.Sprint(sim.index)), sim.now, "test"
	data, err := state.Encode(c)
	if err != nil {
		panic(err)
	}
	return sim.machine.Apply(sim.index, data)
}

func (sim *simulation) violation(format string, args ...any) {
	if len(sim.violations) < 20 {
		sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
	}
}

// submit enters a job with its real behaviour.
func (sim *simulation) submit(spec model.JobSpec, t jobBehaviour) {
	if r := sim.apply(state.Command{SubmitJob: &state.SubmitJob{Spec: spec}}); r.Refused == "" {
		sim.behaviour[spec.ID] = &t
	}
}

// snapshot returns the leader's view of the site.
func (sim *simulation) snapshot() *fleet.Snapshot {
	view := sim.machine.View()
	s := &fleet.Snapshot{Now: sim.now, View: view, VMs: make(map[model.VMID]*model.VM), Region: "r1", Lease: sim.lease,
		Serving: make(map[model.TaskID]bool), Usage: make(map[model.TaskID]fleet.Usage), NotRunning: make(map[model.TaskID]bool)}
	busy := sim.usageByVM()
	for _, r := range sim.runs {
		use := sim.usage(r)
		s.Usage[r.task.ID] = fleet.Usage{Used: use, At: sim.now.Add(-30 * time.Second)}
		s.Serving[r.task.ID] = r.task.Job == "" && sim.now.Sub(r.task.Started) > 10*time.Second
	}
	for id, v := range sim.vms {
		if !sim.hidden[id] {
			listed := *v
			listed.Usage, listed.UsageAt = busy[id], sim.now.Add(-30*time.Second)
			s.VMs[id] = &listed
		}
	}
	for id, task := range view.Tasks {
		if sim.runs[id] == nil && sim.now.Sub(task.Started) >= time.Minute {
			s.NotRunning[id] = true
		}
	}
	s.Absent = sim.absence.Observe(sim.now, s.VMs, view.Owners)
	return s
}

func (sim *simulation) usage(r *runningTask) model.Resources {
	use := r.task.Size
	if t := sim.behaviour[r.task.Job]; t != nil {
		use = t.size
	}
	if task := sim.machine.View().Tasks[r.task.ID]; task != nil && task.Throttled {
		use.MilliCPU = min(use.MilliCPU, int64(float64(task.Size.MilliCPU)*estimate.ThrottledShare))
	}
	return use
}

// round advances the time, simulates the platform, decides once and carries out
// the decisions.
func (sim *simulation) round(step time.Duration) {
	sim.now = sim.now.Add(step)
	sim.stats.rounds++
	sim.advance(step)
	s := sim.snapshot()
	sim.observeUsage(s)
	actions, planned := sim.decide(s)
	if !sim.singleDecision {
		again, _ := sim.decide(s)
		if !reflect.DeepEqual(actions, again) {
			sim.violation("the same snapshot led to different actions")
		}
	}
	sim.commit(actions)
	sim.carryOutPlanned(planned)
}

// decide runs all decisions of a round on one snapshot.
func (sim *simulation) decide(s *fleet.Snapshot) ([]state.Action, []placement.PlannedAction) {
	ix := fleet.NewIndex(s)
	var actions []state.Action
	if !sim.noHealth {
		actions, _ = health.Decide(ix, sim.history, sim.health)
	}
	if !sim.noFleet {
		actions = append(actions, fleet.Decide(ix, sim.fleet)...)
	}
	if sim.extraDecision != nil {
		actions = append(actions, sim.extraDecision(ix)...)
	}
	result := placement.Decide(ix, sim.placing)
	for _, b := range ix.Violations() {
		sim.violation("%s: %s", b.Invariant, b.Detail)
	}
	sim.lastIndex = ix
	return append(actions, result.Actions...), result.Planned
}

// observeUsage adds the measured usage to the size estimates.
func (sim *simulation) observeUsage(s *fleet.Snapshot) {
	for _, id := range sim.sortedRuns() {
		u := s.Usage[id]
		task := s.View.Tasks[id]
		if job := s.View.Jobs[sim.runs[id].task.Job]; job != nil && task != nil {
			sim.sizes.Observe(&job.Spec, task, estimate.Usage{Used: u.Used, At: u.At})
		}
	}
}

// commit applies the plan. On an unchanged state no action may be refused.
func (sim *simulation) commit(actions []state.Action) {
	if len(actions) == 0 {
		return
	}
	result := sim.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: actions}})
	for i, refused := range result.Actions {
		if refused != "" {
			sim.stats.refused++
			sim.violation("refused: %s: %+v", refused, describe(actions[i]))
		}
	}
	for _, a := range actions {
		sim.carryOut(a)
	}
}

func describe(a state.Action) string {
	switch {
	case a.BeginMove != nil:
		return fmt.Sprintf("begin %+v", *a.BeginMove)
	case a.FinishMove != nil:
		return fmt.Sprintf("finish %+v", *a.FinishMove)
	case a.StartTask != nil:
		return fmt.Sprintf("start %+v", *a.StartTask)
	case a.SetQuarantine != nil:
		return fmt.Sprintf("quarantine %+v", *a.SetQuarantine)
	}
	return fmt.Sprintf("%+v", a)
}

func (sim *simulation) carryOut(a state.Action) {
	switch {
	case a.BeginMove != nil && a.BeginMove.Generation > 0:
		sim.stats.vmMoves++
	case a.EndTask != nil && a.EndTask.Moved:
		sim.stats.jobMoves++
	case a.StartTask != nil:
		sim.start(sim.machine.View().Tasks[a.StartTask.Task.ID])
	case a.RenewTasks != nil:
		for _, r := range sim.runs {
			if named := slices.Contains(a.RenewTasks.Tasks, r.task.ID); named != a.RenewTasks.AllExcept && sim.up(r.task.VM) {
				r.lease = a.RenewTasks.LeaseUntil
			}
		}
	}
}

func (s *simulation) up(v model.VMID) bool { return s.vms[v] != nil && s.vms[v].Health == model.VMUp }

// start runs a task if its VM is up; otherwise the start is lost.
func (sim *simulation) start(task *model.Task) {
	if task == nil || !sim.up(task.VM) {
		return
	}
	sim.stats.starts++
	r := &runningTask{task: *task, ends: sim.now.Add(1000 * time.Hour), lease: task.LeaseUntil}
	if t := sim.behaviour[task.Job]; t != nil {
		job := sim.machine.View().Jobs[task.Job]
		t.starts++
		if t.starts > 1 && !job.Spec.Idempotent {
			sim.violation("job %s is not idempotent and started %d times", task.Job, t.starts)
		}
		if t.starts == 1 && job.Spec.Priority == model.Urgent {
			sim.stats.urgentWait = append(sim.stats.urgentWait, sim.now.Sub(job.Submitted))
		}
		r.ends = sim.now.Add(t.length)
	}
	for _, o := range sim.runs {
		if task.Job != "" && o.task.Job == task.Job {
			sim.violation("job %s runs twice: %s and %s", task.Job, o.task.ID, task.ID)
		}
	}
	sim.runs[task.ID] = r
	sim.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: []state.Action{{UpdateTask: &state.UpdateTask{Task: task.ID, State: model.TaskRunning}}}}})
}
