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
	for _, t := range ix.Snap.View.Tasks {
		ix.addTask(t)
	}
	for _, s := range ix.Services {
		slices.SortFunc(s.Extra, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (ix *Index) addTask(t *model.Task) {
	if v := ix.vms[t.VM]; v != nil {
		v.Tasks = append(v.Tasks, t)
		v.Used = v.Used.Plus(ix.Charge(t))
	}
	if t.Job != "" {
		ix.chargeTeam(t)
		return
	}
	s := ix.services[t.Service]
	switch {
	case s == nil:
	case t.Ordinal >= 0 && t.Ordinal < len(s.Tasks):
		s.Tasks[t.Ordinal] = t
	default:
		s.Extra = append(s.Extra, t)
	}
}

func (ix *Index) chargeTeam(t *model.Task) {
	job := ix.Snap.View.Jobs[t.Job]
	if job == nil {
		return
	}
	if team := ix.teams[job.Spec.Team]; team != nil {
		team.Used = team.Used.Plus(team.Charge(t.Size))
	}
}

// addMeasured takes off what a VM was measured to use beyond the charges of
// its tasks. Tasks that started after the measurement are not in it.
func (ix *Index) addMeasured() {
	for _, v := range ix.VMs {
		if v.Listed == nil || v.Listed.UsageAt == 0 {
			continue
		}
		var charged model.Resources
		for _, t := range v.Tasks {
			if t.Started <= v.Listed.UsageAt {
				charged = charged.Plus(ix.Charge(t))
			}
		}
		v.measured = v.Listed.Busy.Minus(charged).Max(model.Resources{})
		v.measured.Accelerators = 0
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

func (ix *Index) addJobs() {
	for _, j := range ix.Snap.View.Jobs {
		if j.State == model.JobQueued {
			ix.Queue = append(ix.Queue, j)
		}
	}
	slices.SortFunc(ix.Queue, compareJobs)
}

func compareJobs(a, b *model.Job) int {
	if a.Submitted != b.Submitted {
		return cmp.Compare(a.Submitted, b.Submitted)
	}
	return cmp.Compare(a.Spec.ID, b.Spec.ID)
}
