package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Evacuate plans the end of tasks that may not stay where they are: tasks of
// cancelled jobs, tasks on VMs that move to another pool, instances that differ
// from the manifest, and instances that are too concentrated on one VM. An instance is stopped only while its service stays above its budget
// without it.
func Evacuate(ix *fleet.Index, o Options) []PlannedAction {
	return evacuate(ix, newHolds(ix, o.withDefaults()))
}

func evacuate(ix *fleet.Index, held holds) []PlannedAction {
	var planned []PlannedAction
	margins := stopMargins(ix)
	for _, v := range ix.VMs {
		if !mayEvacuate(ix, v) {
			continue
		}
		for _, t := range v.SortedTasks() {
			if t.State == model.TaskStopping || ix.EndPlanned(t.ID) {
				continue
			}
			if a, ok := evacuateTask(ix, v, t, margins); ok {
				planned = append(planned, a)
			}
		}
	}
	planned = append(planned, held.clearInstances(ix, margins)...)
	return append(planned, reduceCrowding(ix, margins, held)...)
}

// mayEvacuate reports whether a task of the VM may have to end: the VM moves, a
// job was cancelled, or an instance does not match its service.
func mayEvacuate(ix *fleet.Index, v *fleet.VM) bool {
	if v.Moving() {
		return true
	}
	for i := range v.Running {
		r := &v.Running[i]
		if r.Cancelled() || r.Task.Job == "" && notAsSpecified(ix, v, r.Task) {
			return true
		}
	}
	return false
}

// notAsSpecified reports whether an instance differs from the manifest.
func notAsSpecified(ix *fleet.Index, v *fleet.VM, t *model.Task) bool {
	s := ix.Service(t.Service)
	return s == nil || t.Ordinal >= s.Spec.Instances || s.Spec.Pool != v.Pool() || s.Spec.Size != t.Size
}

// stopMargins returns how many available instances each service can lose now.
// Instances that were told to stop may still serve and are subtracted.
func stopMargins(ix *fleet.Index) map[model.ServiceID]int {
	margins := make(map[model.ServiceID]int, len(ix.Services))
	for _, s := range ix.Services {
		margin := s.Available - s.Spec.MinAvailable
		for _, t := range s.Tasks {
			if t != nil && t.State == model.TaskStopping && ix.InstanceAvailable(t) {
				margin--
			}
		}
		margins[s.Spec.ID] = margin
	}
	return margins
}

func evacuateTask(ix *fleet.Index, v *fleet.VM, t *model.Task, margins map[model.ServiceID]int) (PlannedAction, bool) {
	if t.Job != "" {
		return evacuateJob(ix, v, t)
	}
	s := ix.Service(t.Service)
	switch {
	case s == nil:
		return PlannedAction{Stop, ForMove, t, fmt.Sprintf("the manifest has no service %s", t.Service)}, true
	case t.Ordinal >= s.Spec.Instances:
		return PlannedAction{Stop, ForMove, t, fmt.Sprintf("service %s asks for %d instances", t.Service, s.Spec.Instances)}, true
	case !v.Moving() && !canRestart(ix, s, v, t):
		return PlannedAction{}, false
	case v.Moving(), v.Pool() != s.Spec.Pool:
		why := fmt.Sprintf("VM %s leaves pool %s", v.ID, s.Spec.Pool)
		return PlannedAction{Stop, ForMove, t, why}, consumeMargin(ix, t, margins)
	case t.Size != s.Spec.Size:
		why := fmt.Sprintf("service %s asks for %s an instance", t.Service, formatSize(s.Spec.Size))
		return PlannedAction{Stop, ForMove, t, why}, consumeMargin(ix, t, margins)
	}
	return PlannedAction{}, false
}

// canRestart reports whether an instance that is stopped could start again as
// the manifest specifies it. If it could not, the instance would be lost, and
// an outdated instance is better than none.
func canRestart(ix *fleet.Index, s *fleet.Service, v *fleet.VM, t *model.Task) bool {
	p := ix.Pool(s.Spec.Pool)
	if p == nil {
		return false
	}
	for _, o := range p.VMs {
		free := o.Free()
		if o == v {
			free = free.Plus(ix.Charge(t))
		}
		if o.Block == fleet.Open && s.Spec.Size.Fits(free) {
			return true
		}
	}
	return false
}

// consumeMargin takes an available instance off its service's margin and
// reports whether it may be stopped. An instance that is not available may
// always be stopped.
func consumeMargin(ix *fleet.Index, t *model.Task, margins map[model.ServiceID]int) bool {
	if !ix.InstanceAvailable(t) {
		return true
	}
	if margins[t.Service] <= 0 {
		return false
	}
	margins[t.Service]--
	return true
}

// evacuateJob stops tasks of cancelled jobs, and idempotent batch jobs on VMs
// that move. Other jobs run to their end, because a move can wait.
func evacuateJob(ix *fleet.Index, v *fleet.VM, t *model.Task) (PlannedAction, bool) {
	job := ix.Job(t.Job)
	switch {
	case job == nil:
		return PlannedAction{}, false
	case job.Cancelled:
		return PlannedAction{Stop, ForCancel, t, "the job was cancelled"}, true
	case !v.Moving() || t.Priority != model.Batch || !job.Spec.Idempotent:
		return PlannedAction{}, false
	case ix.Pool(job.Spec.Pool) == nil:
		// The manifest dropped the pool: once stopped, the job could never run
		// again.
		return PlannedAction{}, false
	}
	kind := Stop
	if job.Spec.Checkpoints {
		kind = Checkpoint
	}
	return PlannedAction{kind, ForMove, t, fmt.Sprintf("VM %s moves to another pool", v.ID)}, true
}

// reduceCrowding plans the move of one instance of each service that has more
// instances on one VM than may be unavailable at once, if another open VM could
// take the instance without exceeding that number itself.
func reduceCrowding(ix *fleet.Index, margins map[model.ServiceID]int, held holds) []PlannedAction {
	var planned []PlannedAction
	for _, s := range ix.Services {
		maxUnavailable := s.Spec.Instances - s.Spec.MinAvailable
		p := ix.Pool(s.Spec.Pool)
		if p == nil || maxUnavailable <= 0 || margins[s.Spec.ID] <= 0 {
			continue
		}
		count := newSpread(ix, s)
		t := instanceOnCrowdedVM(ix, s, count, maxUnavailable)
		if t == nil {
			continue
		}
		if v, _ := count.pick(p, s.Spec.Size, held.vm(p)); v != nil && v != held.vm(p) && count.vm[v] < maxUnavailable && consumeMargin(ix, t, margins) {
			why := fmt.Sprintf("VM %s carries %d of %d instances; service %s can spare %d", t.VM, count.vm[ix.VM(t.VM)], s.Spec.Instances, s.Spec.ID, maxUnavailable)
			planned = append(planned, PlannedAction{Stop, ForSpread, t, why})
		}
	}
	return planned
}

func instanceOnCrowdedVM(ix *fleet.Index, s *fleet.Service, count *spread, maxUnavailable int) *model.Task {
	for _, t := range s.Tasks {
		if t == nil || t.State != model.TaskRunning || ix.EndPlanned(t.ID) {
			continue
		}
		if v := ix.VM(t.VM); v != nil && v.Block == fleet.Open && count.vm[v] > maxUnavailable {
			return t
		}
	}
	return nil
}
