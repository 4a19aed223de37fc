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

// joinPool adds a VM to the lists of the pools that its entry names, or to the
// spares.
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
		ix.Spares = removeVM(ix.Spares, v)
	}
	if p := ix.pools[v.Owner.Pool]; p != nil {
		p.VMs = removeVM(p.VMs, v)
	}
	if p := ix.pools[v.Owner.Target]; p != nil && v.Owner.Moving {
		p.Incoming = removeVM(p.Incoming, v)
	}
}

func removeVM(vms []*VM, v *VM) []*VM {
	return slices.DeleteFunc(vms, func(o *VM) bool { return o == v })
}

func (ix *Index) addTasks() {
	for _, v := range ix.VMs {
		v.Tasks = make([]*model.Task, 0, initialTaskCapacity)
		v.Running = make([]RunningTask, 0, initialTaskCapacity)
	}
	for _, t := range ix.Snap.View.Tasks {
		ix.addTask(t)
	}
	for _, s := range ix.Services {
		slices.SortFunc(s.Extra, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// initialTaskCapacity is the initial capacity of a VM's list of tasks.
const initialTaskCapacity = 8

func (ix *Index) addTask(t *model.Task) {
	r := RunningTask{Task: t, Charge: ix.Charge(t)}
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
	ix.UnknownVMTasks = append(ix.UnknownVMTasks, t)
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

// addTask adds a task and its charge. Measured use of the VM beyond the charges
// of its tasks reduces its free capacity. The measurement does not cover tasks
// that started after it was taken.
func (v *VM) addTask(r RunningTask) {
	v.Tasks = append(v.Tasks, r.Task)
	v.Running = append(v.Running, r)
	v.Used = v.Used.Plus(r.Charge)
	if v.Listed == nil || v.Listed.UsageAt == 0 {
		return
	}
	if r.Task.Started <= v.Listed.UsageAt {
		v.attributed = v.attributed.Plus(r.Charge)
	}
	v.unattributed = v.Listed.Usage.Minus(v.attributed).Max(model.Resources{})
	v.unattributed.Accelerators = 0
}

func (ix *Index) chargeTeam(r *RunningTask) {
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

// queued is a job with its sort key, so that sorting does not have to follow
// the pointers to the jobs.
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
