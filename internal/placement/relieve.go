package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Limits of measured use, as shares of a VM's capacity.
const (
	// cpuLimit and memoryLimit are where a VM counts as near its limit.
	cpuLimit    = 0.95
	memoryLimit = 0.92
	// relievedShare is what relief aims at, below the limits so that it is
	// not asked for again at once.
	relievedShare = 0.85
	// roomShare is below what use throttled tasks get their share back.
	roomShare = 0.70
	// staleThrottle is how far above its throttled share a task's measured
	// use must lie to count as measured before the throttling.
	staleThrottle = 1.1
)

// Relieve looks at measured use. On a VM near its limit batch work is
// throttled, then checkpointed, then stopped. Short of memory, normal work
// that can be undone follows; short of processors it only runs slower. Urgent
// work and instances never yield. Where there is room again, throttled work
// gets its share back, one task a round.
//
// A task that is alone on its VM is left: stopping it helps nobody, and it
// would be stopped again wherever it starts next.
func Relieve(ix *fleet.Index) []Wish {
	var wishes []Wish
	for _, v := range ix.VMs {
		if !measuredNow(ix, v) {
			continue
		}
		busy := projected(ix, v)
		capacity, planned := v.Capacity(), plannedSize(v)
		switch {
		case len(v.Tasks) == 1:
			wishes = append(wishes, unthrottle(v, busy)...)
		case pressed(busy.MemoryMB, planned.MemoryMB, capacity.MemoryMB, memoryLimit):
			wishes = append(wishes, relieveMemory(ix, v, busy)...)
		case pressed(busy.MilliCPU, planned.MilliCPU, capacity.MilliCPU, cpuLimit):
			wishes = append(wishes, relieveCPU(ix, v, busy)...)
		case !over(busy.MilliCPU, capacity.MilliCPU, roomShare):
			wishes = append(wishes, unthrottle(v, busy)...)
		}
	}
	return wishes
}

func measuredNow(ix *fleet.Index, v *fleet.VM) bool {
	return v.Healthy() && !v.Idle() && v.Listed.UsageAt > 0 && ix.Now().Sub(v.Listed.UsageAt) <= estimate.FreshFor
}

// plannedSize is what the VM's tasks were placed with.
func plannedSize(v *fleet.VM) model.Resources {
	var sum model.Resources
	for _, t := range v.Tasks {
		sum = sum.Plus(t.Size)
	}
	return sum
}

// pressed reports whether use is near the limit and was not planned to be: a
// VM that is full of tasks which keep to their sizes is well used, and what
// was stopped there would only be placed there again.
func pressed(busy, planned, capacity int64, limit float64) bool {
	return over(busy, capacity, limit) && (busy > planned || planned > capacity)
}

func over(v, capacity int64, share float64) bool {
	return float64(v) > float64(capacity)*share
}

// projected takes off the measured use what relief asked for before will
// free: measurements lag, and without this each round would ask for more.
func projected(ix *fleet.Index, v *fleet.VM) model.Resources {
	busy := v.Listed.Busy
	for _, t := range v.Tasks {
		if t.State != model.TaskStopping && !t.Throttled {
			continue
		}
		used := ix.Snap.Usage[t.ID].Used
		kept := int64(float64(t.Size.MilliCPU) * estimate.ThrottledShare)
		switch {
		case t.State == model.TaskStopping:
			busy = busy.Minus(used)
		case t.Throttled && float64(used.MilliCPU) > float64(kept)*staleThrottle:
			busy.MilliCPU -= used.MilliCPU - kept
		}
	}
	return busy
}

// relieveCPU throttles the largest batch tasks first; what can't be
// throttled is checkpointed or stopped only when throttling is not enough.
func relieveCPU(ix *fleet.Index, v *fleet.VM, busy model.Resources) []Wish {
	excess := busy.MilliCPU - int64(float64(v.Capacity().MilliCPU)*relievedShare)
	why := fmt.Sprintf("VM %s nears its limit: %d of %d thousandths of a core in use", v.ID, busy.MilliCPU, v.Capacity().MilliCPU)
	var wishes []Wish
	for _, y := range largest(ix, v, model.Batch, usedCPU) {
		kept := int64(float64(y.task.Size.MilliCPU) * estimate.ThrottledShare)
		if excess <= 0 || y.task.Throttled || !y.job.Spec.Throttleable || y.charge.MilliCPU <= kept {
			continue
		}
		wishes = append(wishes, Wish{Throttle, ForPressure, y.task, why})
		excess -= y.charge.MilliCPU - kept
	}
	if excess <= 0 || !sharedWithUrgent(v) {
		return wishes
	}
	return append(wishes, stopFor(ix, v, excess, usedCPU, why, wishes, model.Batch)...)
}

// sharedWithUrgent reports whether urgent work or an instance suffers when
// the VM is short of processors.
func sharedWithUrgent(v *fleet.VM) bool {
	return slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Priority == model.Urgent })
}

func relieveMemory(ix *fleet.Index, v *fleet.VM, busy model.Resources) []Wish {
	excess := busy.MemoryMB - int64(float64(v.Capacity().MemoryMB)*relievedShare)
	why := fmt.Sprintf("VM %s nears its limit: %d of %d MB in use", v.ID, busy.MemoryMB, v.Capacity().MemoryMB)
	return stopFor(ix, v, excess, usedMemory, why, nil, model.Batch, model.Normal)
}

// stopFor checkpoints, then stops, work of each priority in order until the
// excess is gone. Tasks that are throttled in this round are left.
func stopFor(ix *fleet.Index, v *fleet.VM, excess int64, amount func(model.Resources) int64, why string, throttled []Wish, order ...model.Priority) []Wish {
	left := make(map[model.TaskID]bool, len(throttled))
	for _, w := range throttled {
		left[w.Task.ID] = true
	}
	var wishes []Wish
	for _, priority := range order {
		candidates := largest(ix, v, priority, amount)
		for _, kind := range []WishKind{Checkpoint, Stop} {
			for _, y := range candidates {
				if excess <= 0 {
					return wishes
				}
				if left[y.task.ID] || !mayRelease(y.job, kind) || amount(y.charge) <= 0 {
					continue
				}
				wishes = append(wishes, Wish{kind, ForPressure, y.task, why})
				excess -= amount(y.charge)
			}
		}
	}
	return wishes
}

// largest lists the jobs of one priority on a VM with what they were measured
// to use, the largest first.
func largest(ix *fleet.Index, v *fleet.VM, priority model.Priority, amount func(model.Resources) int64) []yielder {
	var found []yielder
	for i := range v.Running {
		r := &v.Running[i]
		if r.Job == nil || r.Task.Priority != priority || r.Task.State == model.TaskStopping {
			continue
		}
		found = append(found, yielder{r.Task, r.Job, ix.Snap.Usage[r.Task.ID].Used})
	}
	slices.SortFunc(found, func(a, b yielder) int {
		if x, y := amount(a.charge), amount(b.charge); x != y {
			return cmp.Compare(y, x)
		}
		return cmp.Compare(a.task.ID, b.task.ID)
	})
	return found
}

func usedCPU(r model.Resources) int64    { return r.MilliCPU }
func usedMemory(r model.Resources) int64 { return r.MemoryMB }

// unthrottle gives one throttled task its share back when the VM has room for
// it by charge and by measurement.
func unthrottle(v *fleet.VM, busy model.Resources) []Wish {
	limit := int64(float64(v.Capacity().MilliCPU) * roomShare)
	if !slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Throttled }) {
		return nil
	}
	for _, t := range v.SortedTasks() {
		gain := t.Size.MilliCPU - int64(float64(t.Size.MilliCPU)*estimate.ThrottledShare)
		if !t.Throttled || t.State == model.TaskStopping {
			continue
		}
		if busy.MilliCPU+gain <= limit && gain <= v.Free().MilliCPU {
			return []Wish{{Unthrottle, ForRoom, t, fmt.Sprintf("VM %s has room again", v.ID)}}
		}
	}
	return nil
}
