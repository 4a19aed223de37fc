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

// world is a platform with its VMs and tasks, in virtual time, joined to a
// real state machine. It decides, commits and carries out round by round.
type world struct {
	machine *state.Machine
	rnd     *rand.Rand
	now     model.Instant
	vms     map[model.VMID]*model.VM
	upAt    map[model.VMID]model.Instant
	bad     map[model.WorkerID]bool
	runs    map[model.TaskID]*run
	truth   map[model.JobID]*truth
	hidden  map[model.VMID]bool

	sizes    *estimate.Estimator
	history  *health.History
	absence  *fleet.Absence
	fleet    fleet.Options
	placing  placement.Options
	health   health.Options
	noHealth bool
	noFleet  bool
	// once skips the second decision that checks the first.
	once  bool
	rates map[model.WorkerID][2]int
	lease time.Duration
	extra func(*fleet.Index) []state.Action

	index   uint64
	broken  []string
	tally   tally
	lastIdx *fleet.Index
}

// truth is what a job really needs and does.
type truth struct {
	size     model.Resources
	length   time.Duration
	fails    bool
	starts   int
	finished int
}

// run is a task that the platform runs.
type run struct {
	task  model.Task
	ends  model.Instant
	lease model.Instant
}

// tally counts what a run of the world cost.
type tally struct {
	vmMoves, jobMoves, starts, refused, rounds, killed int
	urgentWait                                         []time.Duration
}

func newWorld(seed uint64, site *model.Site, vms []*model.VM) *world {
	w := &world{
		machine: state.NewMachine(state.Options{}),
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		now:     model.InstantOf(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)),
		vms:     make(map[model.VMID]*model.VM),
		upAt:    make(map[model.VMID]model.Instant),
		bad:     make(map[model.WorkerID]bool),
		runs:    make(map[model.TaskID]*run),
		truth:   make(map[model.JobID]*truth),
		hidden:  make(map[model.VMID]bool),
		sizes:   estimate.NewEstimator(),
		history: health.NewHistory(),
		absence: &fleet.Absence{},
		rates:   make(map[model.WorkerID][2]int),
	}
	for _, v := range vms {
		v.HealthSince = w.now
		w.vms[v.ID] = v
	}
	w.fleet.Sizes, w.placing.Sizes = w.sizes, w.sizes
	w.accept(site)
	return w
}

// accept makes a manifest the desired state.
func (w *world) accept(site *model.Site) {
	text := fmt.Appendf(nil, "revision %d", site.Revision)
	sum := sha256.Sum256(text)
	m := &state.ApplyManifest{Revision: site.Revision, Digest: hex.EncodeToString(sum[:]), Text: text, Site: site}
	if r := w.apply(state.Command{ApplyManifest: m}); r.Refused != "" {
		panic(r.Refused)
	}
}

func (w *world) apply(c state.Command) state.Result {
	w.index++
	c.ID, c.At, c.Actor = model.CommandID(fmt.Sprint(w.index)), w.now, "test"
	data, err := state.Encode(c)
	if err != nil {
		panic(err)
	}
	return w.machine.Apply(w.index, data)
}

func (w *world) fault(format string, args ...any) {
	if len(w.broken) < 20 {
		w.broken = append(w.broken, fmt.Sprintf(format, args...))
	}
}

// submit enters a job with what it really needs.
func (w *world) submit(spec model.JobSpec, t truth) {
	if r := w.apply(state.Command{SubmitJob: &state.SubmitJob{Spec: spec}}); r.Refused == "" {
		w.truth[spec.ID] = &t
	}
}

// snapshot is what the leader sees.
func (w *world) snapshot() *fleet.Snapshot {
	view := w.machine.View()
	s := &fleet.Snapshot{Now: w.now, View: view, VMs: make(map[model.VMID]*model.VM), Region: "r1", Lease: w.lease,
		Serving: make(map[model.TaskID]bool), Usage: make(map[model.TaskID]fleet.Usage), Gone: make(map[model.TaskID]bool)}
	busy := w.busy()
	for _, r := range w.runs {
		use := w.use(r)
		s.Usage[r.task.ID] = fleet.Usage{Used: use, At: w.now.Add(-30 * time.Second)}
		s.Serving[r.task.ID] = r.task.Job == "" && w.now.Sub(r.task.Started) > 10*time.Second
	}
	for id, v := range w.vms {
		if !w.hidden[id] {
			listed := *v
			listed.Busy, listed.UsageAt = busy[id], w.now.Add(-30*time.Second)
			s.VMs[id] = &listed
		}
	}
	for id, task := range view.Tasks {
		if w.runs[id] == nil && w.now.Sub(task.Started) >= time.Minute {
			s.Gone[id] = true
		}
	}
	s.Absent = w.absence.Observe(w.now, s.VMs, view.Owners)
	return s
}

func (w *world) use(r *run) model.Resources {
	use := r.task.Size
	if t := w.truth[r.task.Job]; t != nil {
		use = t.size
	}
	if task := w.machine.View().Tasks[r.task.ID]; task != nil && task.Throttled {
		use.MilliCPU = min(use.MilliCPU, int64(float64(task.Size.MilliCPU)*estimate.ThrottledShare))
	}
	return use
}

// round advances the time, lets the world happen, decides once and carries
// the decisions out.
func (w *world) round(step time.Duration) {
	w.now = w.now.Add(step)
	w.tally.rounds++
	w.happen(step)
	s := w.snapshot()
	w.learn(s)
	actions, wishes := w.decide(s)
	if !w.once {
		again, _ := w.decide(s)
		if !reflect.DeepEqual(actions, again) {
			w.fault("the same snapshot led to different actions")
		}
	}
	w.commit(actions)
	w.grant(wishes)
}

// decide runs all decisions of a round on one snapshot.
func (w *world) decide(s *fleet.Snapshot) ([]state.Action, []placement.Wish) {
	ix := fleet.NewIndex(s)
	var actions []state.Action
	if !w.noHealth {
		actions, _ = health.Decide(ix, w.history, w.health)
	}
	if !w.noFleet {
		actions = append(actions, fleet.Decide(ix, w.fleet)...)
	}
	if w.extra != nil {
		actions = append(actions, w.extra(ix)...)
	}
	result := placement.Decide(ix, w.placing)
	for _, b := range ix.Broken() {
		w.fault("%s: %s", b.Invariant, b.Detail)
	}
	w.lastIdx = ix
	return append(actions, result.Actions...), result.Wishes
}

func (w *world) learn(s *fleet.Snapshot) {
	for _, id := range w.sortedRuns() {
		u := s.Usage[id]
		task := s.View.Tasks[id]
		if job := s.View.Jobs[w.runs[id].task.Job]; job != nil && task != nil {
			w.sizes.Observe(&job.Spec, task, estimate.Seen{Used: u.Used, At: u.At})
		}
	}
}

// commit applies the plan. On an unchanged state no action may be refused.
func (w *world) commit(actions []state.Action) {
	if len(actions) == 0 {
		return
	}
	result := w.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: actions}})
	for i, refused := range result.Actions {
		if refused != "" {
			w.tally.refused++
			w.fault("refused: %s: %+v", refused, describe(actions[i]))
		}
	}
	for _, a := range actions {
		w.carryOut(a)
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

func (w *world) carryOut(a state.Action) {
	switch {
	case a.BeginMove != nil && a.BeginMove.Generation > 0:
		w.tally.vmMoves++
	case a.EndTask != nil && a.EndTask.Moved:
		w.tally.jobMoves++
	case a.StartTask != nil:
		w.start(w.machine.View().Tasks[a.StartTask.Task.ID])
	case a.RenewTasks != nil:
		for _, r := range w.runs {
			if named := slices.Contains(a.RenewTasks.Tasks, r.task.ID); named != a.RenewTasks.AllExcept && w.up(r.task.VM) {
				r.lease = a.RenewTasks.LeaseUntil
			}
		}
	}
}

func (w *world) up(id model.VMID) bool { return w.vms[id] != nil && w.vms[id].Health == model.VMUp }

// start runs a task if its VM is up; the start is lost otherwise.
func (w *world) start(task *model.Task) {
	if task == nil || !w.up(task.VM) {
		return
	}
	w.tally.starts++
	r := &run{task: *task, ends: w.now.Add(1000 * time.Hour), lease: task.LeaseUntil}
	if t := w.truth[task.Job]; t != nil {
		job := w.machine.View().Jobs[task.Job]
		t.starts++
		if t.starts > 1 && !job.Spec.Idempotent {
			w.fault("job %s is not idempotent and started %d times", task.Job, t.starts)
		}
		if t.starts == 1 && job.Spec.Priority == model.Urgent {
			w.tally.urgentWait = append(w.tally.urgentWait, w.now.Sub(job.Submitted))
		}
		r.ends = w.now.Add(t.length)
	}
	for _, o := range w.runs {
		if task.Job != "" && o.task.Job == task.Job {
			w.fault("job %s runs twice: %s and %s", task.Job, o.task.ID, task.ID)
		}
	}
	w.runs[task.ID] = r
	w.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: []state.Action{{UpdateTask: &state.UpdateTask{Task: task.ID, State: model.TaskRunning}}}}})
}
