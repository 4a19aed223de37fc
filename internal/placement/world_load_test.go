package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// happen ends tasks and repairs VMs.
func (w *world) happen(step time.Duration) {
	for id, at := range w.upAt {
		if w.now >= at {
			delete(w.upAt, id)
			w.setHealth(id, model.VMUp)
		}
	}
	w.contend(step)
	var ends []state.Action
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		if !w.up(r.task.VM) || w.now >= r.lease {
			delete(w.runs, id) // the worker is gone, or stopped the task by itself
			continue
		}
		if outcome := w.outcome(r); outcome != 0 {
			delete(w.runs, id)
			ends = append(ends, state.Action{EndTask: &state.EndTask{Task: id, Outcome: outcome}})
		}
	}
	if len(ends) > 0 {
		w.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: ends}})
	}
}

// contend slows the jobs on VMs that are short of processors, and kills the
// largest job where memory is short.
func (w *world) contend(step time.Duration) {
	use := w.busy()
	largest := make(map[model.VMID]*run)
	for _, id := range w.sortedRuns() {
		r := w.runs[id]
		need, capacity := use[r.task.VM], w.vms[r.task.VM].Capacity
		if need.MilliCPU > capacity.MilliCPU {
			r.ends = r.ends.Add(step - time.Duration(float64(step)*float64(capacity.MilliCPU)/float64(need.MilliCPU)))
		}
		if l := largest[r.task.VM]; need.MemoryMB > capacity.MemoryMB && r.task.Job != "" && (l == nil || w.use(r).MemoryMB > w.use(l).MemoryMB) {
			largest[r.task.VM] = r
		}
	}
	for _, r := range largest {
		delete(w.runs, r.task.ID)
		w.tally.killed++
	}
}

// busy is what the tasks of each VM really use.
func (w *world) busy() map[model.VMID]model.Resources {
	busy := make(map[model.VMID]model.Resources)
	for _, r := range w.runs {
		busy[r.task.VM] = busy[r.task.VM].Plus(w.use(r))
	}
	return busy
}

func (w *world) sortedRuns() []model.TaskID {
	return slices.Sorted(maps.Keys(w.runs))
}

// outcome ends a job's task when its time has come; on a bad worker it fails
// at once.
func (w *world) outcome(r *run) state.TaskOutcome {
	t := w.truth[r.task.Job]
	if t == nil || !w.bad[r.task.Worker] && !t.fails && w.now < r.ends {
		return 0
	}
	o := health.Outcome{Subject: health.SubjectOf(&r.task), Worker: r.task.Worker, At: w.now}
	o.Class = health.JobClass(&w.machine.View().Jobs[r.task.Job].Spec)
	if w.bad[r.task.Worker] || t.fails {
		o.Failed = true
		w.observe(o)
		return state.OutcomeFailed
	}
	t.finished++
	w.observe(o)
	return state.OutcomeSucceeded
}

// grant carries out the wishes.
func (w *world) grant(wishes []placement.Wish) {
	var actions []state.Action
	for _, wish := range wishes {
		task := w.machine.View().Tasks[wish.Task.ID]
		if task == nil || w.runs[task.ID] == nil {
			continue
		}
		switch wish.Kind {
		case placement.Throttle, placement.Unthrottle:
			actions = append(actions, state.Action{UpdateTask: &state.UpdateTask{Task: task.ID, State: task.State, Throttled: wish.Kind == placement.Throttle}})
		default:
			delete(w.runs, task.ID)
			moved := wish.Moved()
			if moved {
				w.tally.jobMoves++
			}
			actions = append(actions, state.Action{EndTask: &state.EndTask{Task: task.ID, Outcome: state.OutcomeStopped, Moved: moved}})
		}
	}
	if len(actions) > 0 {
		w.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: actions}})
	}
}

func (w *world) setHealth(id model.VMID, h model.VMHealth) {
	if v := w.vms[id]; v != nil && v.Health != h {
		v.Health, v.HealthSince = h, w.now
	}
}

// fail takes down the VMs that match for a time.
func (w *world) fail(down time.Duration, h model.VMHealth, match func(*model.VM) bool) {
	for id, v := range w.vms {
		if match(v) {
			w.setHealth(id, h)
			w.upAt[id] = max(w.upAt[id], w.now.Add(down))
		}
	}
}

// siteVMs builds n VMs, four to a rack, the racks dealt to the zones in turn.
func siteVMs(n, zones int, capacity model.Resources) []*model.VM {
	vms := make([]*model.VM, n)
	for i := range vms {
		rack := i / 4
		name := fmt.Sprintf("vm%04d", i)
		vms[i] = &model.VM{ID: model.VMID(name), Worker: model.WorkerID("w-" + name), Health: model.VMUp, BootID: "b1", Capacity: capacity,
			Zone: model.ZoneID(fmt.Sprintf("z%d", rack%zones)), Rack: model.RackID(fmt.Sprintf("k%03d", rack))}
	}
	return vms
}
