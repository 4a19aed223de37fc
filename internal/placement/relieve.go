package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Limits of measured usage, as shares of a VM's capacity.
const (
	// cpuLimit and memoryLimit are the usage above which a VM counts as near
	// its limit.
	cpuLimit    = 0.95
	memoryLimit = 0.92
	// reliefTargetShare is the usage that relief aims for. It is below the
	// limits so that relief is not needed again at once.
	reliefTargetShare = 0.85
	// unthrottleShare is the usage below which throttled tasks are unthrottled.
	unthrottleShare = 0.70
	// staleUsageFactor is how far a task's measured usage must exceed its
	// throttled share to count as measured before the throttling.
	staleUsageFactor = 1.1
)

// Relieve reacts to measured usage. On a VM near its limit it throttles, then
// checkpoints, then stops batch work. If memory is short it then stops normal
// work that can run again; if only processors are short, normal work just runs
// slower. Urgent work and instances are never stopped. When capacity is free
// again, one throttled task is unthrottled per round.
//
// The only task on a VM is left alone: stopping it helps no other task, and it
// would be stopped again on the VM where it starts next.
func Relieve(ix *fleet.Index) []PlannedAction {
	var actions []PlannedAction
	for _, v := range ix.VMs {
		if !hasFreshUsage(ix, v) {
			continue
		}
		busy := projectedUsage(ix, v)
		capacity, placed := v.Capacity(), sizeOfTasks(v)
		switch {
		case len(v.Tasks) == 1:
			actions = append(actions, unthrottle(v, busy)...)
		case unplannedPressure(busy.MemoryMB, placed.MemoryMB, capacity.MemoryMB, memoryLimit):
			actions = append(actions, relieveMemory(ix, v, busy)...)
		case unplannedPressure(busy.MilliCPU, placed.MilliCPU, capacity.MilliCPU, cpuLimit):
			actions = append(actions, relieveCPU(ix, v, busy)...)
		case !exceeds(busy.MilliCPU, capacity.MilliCPU, unthrottleShare):
			actions = append(actions, unthrottle(v, busy)...)
		}
	}
	return actions
}

func hasFreshUsage(ix *fleet.Index, v *fleet.VM) bool {
	return v.Healthy() && !v.Idle() && v.Listed.UsageAt > 0 && ix.Now().Sub(v.Listed.UsageAt) <= estimate.FreshFor
}

// sizeOfTasks returns the sum of the sizes with which the VM's tasks were
// placed.
func sizeOfTasks(v *fleet.VM) model.Resources {
	var sum model.Resources
	for _, t := range v.Tasks {
		sum = sum.Plus(t.Size)
	}
	return sum
}

// unplannedPressure reports whether usage is near the limit although the
// placement did not plan for it. A VM full of tasks that stay within their
// sizes is well used, and tasks stopped there would only be placed there again.
func unplannedPressure(busy, placed, capacity int64, limit float64) bool {
	return exceeds(busy, capacity, limit) && (busy > placed || placed > capacity)
}

func exceeds(v, capacity int64, share float64) bool {
	return float64(v) > float64(capacity)*share
}

// projectedUsage subtracts from the measured usage what earlier relief will
// free. Measurements lag, so each round would otherwise relieve more than
// needed.
func projectedUsage(ix *fleet.Index, v *fleet.VM) model.Resources {
	busy := v.Listed.Usage
	for _, t := range v.Tasks {
		if t.State != model.TaskStopping && !t.Throttled {
			continue
		}
		used := ix.Snap.Usage[t.ID].Used
		kept := int64(float64(t.Size.MilliCPU) * estimate.ThrottledShare)
		switch {
		case t.State == model.TaskStopping:
			busy = busy.Minus(used)
		case t.Throttled && float64(used.MilliCPU) > float64(kept)*staleUsageFactor:
			busy.MilliCPU -= used.MilliCPU - kept
		}
	}
	return busy
}

// relieveCPU throttles the largest batch tasks first; tasks that can't be
// throttled are checkpointed or stopped only when throttling is not enough.
func relieveCPU(ix *fleet.Index, v *fleet.VM, busy model.Resources) []PlannedAction {
	excess := busy.MilliCPU - int64(float64(v.Capacity().MilliCPU)*reliefTargetShare)
	why := fmt.Sprintf("VM %s nears its limit: %d of %d thousandths of a core in use", v.ID, busy.MilliCPU, v.Capacity().MilliCPU)
	var actions []PlannedAction
	for _, c := range largestJobs(ix, v, model.Batch, usedCPU) {
		kept := int64(float64(c.task.Size.MilliCPU) * estimate.ThrottledShare)
		if excess <= 0 || c.task.Throttled || !c.job.Spec.Throttleable || c.charge.MilliCPU <= kept {
			continue
		}
		actions = append(actions, PlannedAction{Throttle, ForPressure, c.task, why})
		excess -= c.charge.MilliCPU - kept
	}
	if excess <= 0 || !sharedWithUrgent(v) {
		return actions
	}
	return append(actions, stopForPressure(ix, v, excess, usedCPU, why, actions, model.Batch)...)
}

// sharedWithUrgent reports whether urgent work or an instance suffers when the
// VM is short of processors.
func sharedWithUrgent(v *fleet.VM) bool {
	return slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Priority == model.Urgent })
}

func relieveMemory(ix *fleet.Index, v *fleet.VM, busy model.Resources) []PlannedAction {
	excess := busy.MemoryMB - int64(float64(v.Capacity().MemoryMB)*reliefTargetShare)
	why := fmt.Sprintf("VM %s nears its limit: %d of %d MB in use", v.ID, busy.MemoryMB, v.Capacity().MemoryMB)
	return stopForPressure(ix, v, excess, usedMemory, why, nil, model.Batch, model.Normal)
}

// stopForPressure checkpoints, then stops, work of each priority in order until
// the excess is gone. Tasks that are throttled in this round are left alone.
func stopForPressure(ix *fleet.Index, v *fleet.VM, excess int64, amount func(model.Resources) int64, why string, throttled []PlannedAction, order ...model.Priority) []PlannedAction {
	skipped := make(map[model.TaskID]bool, len(throttled))
	for _, a := range throttled {
		skipped[a.Task.ID] = true
	}
	var actions []PlannedAction
	for _, priority := range order {
		candidates := largestJobs(ix, v, priority, amount)
		for _, kind := range []ActionKind{Checkpoint, Stop} {
			for _, c := range candidates {
				if excess <= 0 {
					return actions
				}
				if skipped[c.task.ID] || !mayStop(c.job, kind) || amount(c.charge) <= 0 {
					continue
				}
				actions = append(actions, PlannedAction{kind, ForPressure, c.task, why})
				excess -= amount(c.charge)
			}
		}
	}
	return actions
}

// largestJobs lists the jobs of one priority on a VM with their measured usage,
// the largest first.
func largestJobs(ix *fleet.Index, v *fleet.VM, priority model.Priority, amount func(model.Resources) int64) []victim {
	var found []victim
	for i := range v.Running {
		r := &v.Running[i]
		if r.Job == nil || r.Task.Priority != priority || r.Task.State == model.TaskStopping {
			continue
		}
		found = append(found, victim{r.Task, r.Job, ix.Snap.Usage[r.Task.ID].Used})
	}
	slices.SortFunc(found, func(a, b victim) int {
		if x, y := amount(a.charge), amount(b.charge); x != y {
			return cmp.Compare(y, x)
		}
		return cmp.Compare(a.task.ID, b.task.ID)
	})
	return found
}

func usedCPU(r model.Resources) int64    { return r.MilliCPU }
func usedMemory(r model.Resources) int64 { return r.MemoryMB }

// unthrottle unthrottles one task if the VM has the free capacity for it, both
// by charge and by measurement.
func unthrottle(v *fleet.VM, busy model.Resources) []PlannedAction {
	limit := int64(float64(v.Capacity().MilliCPU) * unthrottleShare)
	if !slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Throttled }) {
		return nil
	}
	for _, t := range v.SortedTasks() {
		gain := t.Size.MilliCPU - int64(float64(t.Size.MilliCPU)*estimate.ThrottledShare)
		if !t.Throttled || t.State == model.TaskStopping {
			continue
		}
		if busy.MilliCPU+gain <= limit && gain <= v.Free().MilliCPU {
			return []PlannedAction{{Unthrottle, ForCapacity, t, fmt.Sprintf("VM %s has room again", v.ID)}}
		}
	}
	return nil
}
