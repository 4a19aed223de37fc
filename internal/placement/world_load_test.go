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

// advance ends tasks and repairs VMs.
func (sim *simulation) advance(step time.Duration) {
	for id, at := range sim.upAt {
		if sim.now >= at {
			delete(sim.upAt, id)
			sim.setHealth(id, model.VMUp)
		}
	}
	sim.simulateContention(step)
	var ends []state.Action
	for _, id := range sim.sortedRuns() {
		r := sim.runs[id]
		if !sim.up(r.task.VM) || sim.now >= r.lease {
			delete(sim.runs, id) // the worker is lost, or stopped the task by itself
			continue
		}
		if outcome := sim.outcome(r); outcome != 0 {
			delete(sim.runs, id)
			ends = append(ends, state.Action{EndTask: &state.EndTask{Task: id, Outcome: outcome}})
		}
	}
	if len(ends) > 0 {
		sim.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: ends}})
	}
}

// simulateContention slows the jobs on VMs that are short of processors, and
// kills the largest job where memory is short.
func (sim *simulation) simulateContention(step time.Duration) {
	use := sim.usageByVM()
	largest := make(map[model.VMID]*runningTask)
	for _, id := range sim.sortedRuns() {
		r := sim.runs[id]
		need, capacity := use[r.task.VM], sim.vms[r.task.VM].Capacity
		if need.MilliCPU > capacity.MilliCPU {
			r.ends = r.ends.Add(step - time.Duration(float64(step)*float64(capacity.MilliCPU)/float64(need.MilliCPU)))
		}
		if l := largest[r.task.VM]; need.MemoryMB > capacity.MemoryMB && r.task.Job != "" && (l == nil || sim.usage(r).MemoryMB > sim.usage(l).MemoryMB) {
			largest[r.task.VM] = r
		}
	}
	for _, r := range largest {
		delete(sim.runs, r.task.ID)
		sim.stats.killed++
	}
}

// usageByVM returns what the tasks of each VM really use.
func (sim *simulation) usageByVM() map[model.VMID]model.Resources {
	busy := make(map[model.VMID]model.Resources)
	for _, r := range sim.runs {
		busy[r.task.VM] = busy[r.task.VM].Plus(sim.usage(r))
	}
	return busy
}

func (sim *simulation) sortedRuns() []model.TaskID {
	return slices.Sorted(maps.Keys(sim.runs))
}

// outcome ends a job's task once its run time has passed; on a faulty worker it
// fails at once.
func (sim *simulation) outcome(r *runningTask) state.TaskOutcome {
	t := sim.behaviour[r.task.Job]
	if t == nil || !sim.faultyWorkers[r.task.Worker] && !t.fails && sim.now < r.ends {
		return 0
	}
	o := health.Outcome{Subject: health.SubjectOf(&r.task), Worker: r.task.Worker, At: sim.now}
	o.Class = health.JobClass(&sim.machine.View().Jobs[r.task.Job].Spec)
	if sim.faultyWorkers[r.task.Worker] || t.fails {
		o.Failed = true
		sim.observe(o)
		return state.OutcomeFailed
	}
	t.finished++
	sim.observe(o)
	return state.OutcomeSucceeded
}

// carryOutPlanned carries out the planned actions.
func (sim *simulation) carryOutPlanned(planned []placement.PlannedAction) {
	var actions []state.Action
	for _, a := range planned {
		task := sim.machine.View().Tasks[a.Task.ID]
		if task == nil || sim.runs[task.ID] == nil {
			continue
		}
		switch a.Kind {
		case placement.Throttle, placement.Unthrottle:
			actions = append(actions, state.Action{UpdateTask: &state.UpdateTask{Task: task.ID, State: task.State, Throttled: a.Kind == placement.Throttle}})
		default:
			delete(sim.runs, task.ID)
			moved := a.Moved()
			if moved {
				sim.stats.jobMoves++
			}
			actions = append(actions, state.Action{EndTask: &state.EndTask{Task: task.ID, Outcome: state.OutcomeStopped, Moved: moved}})
		}
	}
	if len(actions) > 0 {
		sim.apply(state.Command{Term: 1, Plan: &state.Plan{Actions: actions}})
	}
}

func (sim *simulation) setHealth(id model.VMID, h model.VMHealth) {
	if v := sim.vms[id]; v != nil && v.Health != h {
		v.Health, v.HealthSince = h, sim.now
	}
}

// fail takes the matching VMs down for a while.
func (sim *simulation) fail(down time.Duration, h model.VMHealth, match func(*model.VM) bool) {
	for id, v := range sim.vms {
		if match(v) {
			sim.setHealth(id, h)
			sim.upAt[id] = max(sim.upAt[id], sim.now.Add(down))
		}
	}
}

// siteVMs builds n VMs, four to a rack, the racks assigned to the zones in
// turn.
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
