package fleet

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

func (ix *Index) addPoolMembers() {
	for _, v := range ix.VMs {
		if v.Owner != nil {
			ix.joinPool(v)
		}
	}
}

// joinPool enters a VM in the lists that its entry names.
func (ix *Index) joinPool(v *VM) {
	if v.Owner.Pool == "" {
		ix.Spares = append(ix.Spares, v)
	}
	if p := ix.pools[v.Owner.Pool]; p != nil {
		p.VMs = append(p.VMs, v)
		v.Maintained = p.Wave != nil && state.WaveDone(p.Wave, ix.Snap.View.Maintained[v.ID])
	}
	if p := ix.pools[v.Owner.Target]; p != nil && v.Owner.Moving {
		p.Incoming = append(p.Incoming, v)
	}
}

// leavePool is the inverse of joinPool.
func (ix *Index) leavePool(v *VM) {
	if v.Owner.Pool == "" {
		ix.Spares = without(ix.Spares, v)
	}
	if p := ix.pools[v.Owner.Pool]; p != nil {
		p.VMs = without(p.VMs, v)
	}
	if p := ix.pools[v.Owner.Target]; p != nil && v.Owner.Moving {
		p.Incoming = without(p.Incoming, v)
	}
}

func without(vms []*VM, v *VM) []*VM {
	return slices.DeleteFunc(vms, func(o *VM) bool { return o == v })
}

func (ix *Index) addTasks() {
	for _, v := range ix.VMs {
		v.Tasks = make([]*model.Task, 0, tasksGuess)
		v.Running = make([]Running, 0, tasksGuess)
	}
	for _, t := range ix.Snap.View.Tasks {
		ix.addTask(t)
	}
	for _, s := range ix.Services {
		slices.SortFunc(s.Extra, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// tasksGuess is for how many tasks of a VM memory is set aside at first.
const tasksGuess = 8

func (ix *Index) addTask(t *model.Task) {
	r := Running{Task: t, Charge: ix.Charge(t)}
	if t.Job != "" {
		r.Job = ix.Job(t.Job)
		ix.chargeTeam(&r)
	} else {
		ix.addInstance(t)
	}
	if v := ix.vms[t.VM]; v != nil {
		v.addTask(r)
		return
	}
	ix.Strays = append(ix.Strays, t)
}

func (ix *Index) addInstance(t *model.Task) {
	s := ix.services[t.Service]
	switch {
	case s == nil:
	case t.Ordinal >= 0 && t.Ordinal < len(s.Tasks):
		s.Tasks[t.Ordinal] = t
	default:
		s.Extra = append(s.Extra, t)
	}
}

// addTask enters a task with its charge. What the VM was measured to use
// beyond the charges of its tasks is taken off its room; tasks that started
// after the measurement are not in it.
func (v *VM) addTask(r Running) {
	v.Tasks = append(v.Tasks, r.Task)
	v.Running = append(v.Running, r)
	v.Used = v.Used.Plus(r.Charge)
	if v.Listed == nil || v.Listed.UsageAt == 0 {
		return
	}
	if r.Task.Started <= v.Listed.UsageAt {
		v.explained = v.explained.Plus(r.Charge)
	}
	v.measured = v.Listed.Busy.Minus(v.explained).Max(model.Resources{})
	v.measured.Accelerators = 0
}

func (ix *Index) chargeTeam(r *Running) {
	if r.Job == nil {
		return
	}
	if team := ix.teams[r.Job.Spec.Team]; team != nil {
		team.Used = team.Used.Plus(team.Charge(r.Task.Size))
	}
}

func (ix *Index) countAvailable() {
	for _, s := range ix.Services {
		for _, t := range s.Tasks {
			if t != nil && ix.InstanceAvailable(t) {
				s.Available++
			}
		}
	}
}

// queued is a job with its place in the queue, so that sorting does not have
// to look at the jobs themselves.
type queued struct {
	submitted model.Instant
	job       *model.Job
}

func (ix *Index) addJobs() {
	var queue []queued
	for _, j := range ix.Snap.View.Jobs {
		if j.State == model.JobQueued {
			queue = append(queue, queued{j.Submitted, j})
		}
	}
	slices.SortFunc(queue, func(a, b queued) int {
		if a.submitted != b.submitted {
			return cmp.Compare(a.submitted, b.submitted)
		}
		return cmp.Compare(a.job.Spec.ID, b.job.Spec.ID)
	})
	ix.Queue = make([]*model.Job, len(queue))
	for i, q := range queue {
		ix.Queue[i] = q.job
	}
}
