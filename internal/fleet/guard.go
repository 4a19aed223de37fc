package fleet

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// The guards check each action when it is planned. They read only the tables,
// not how the decision was made, and change nothing. A violated invariant is a
// bug in this program; the callers of Violations count and log it.

// Names of the invariants that the guards check.
const (
	// InvariantCapacity: placed work never exceeds the VM's free capacity, by
	// this program's own estimate.
	InvariantCapacity = "no-over-commit"
	// InvariantOpenVM: new work goes only to open VMs of its pool, or as a
	// probe to a quarantined one.
	InvariantOpenVM = "placed-on-open-vm"
	// InvariantQuota: a team's running jobs stay within its quota.
	InvariantQuota = "quota-kept"
	// InvariantOneTask: a job or an instance has at most one task.
	InvariantOneTask = "one-task"
	// InvariantPoolFit: a VM joins only pools that allow its capacity and
	// availability zone.
	InvariantPoolFit = "pool-fits-vm"
	// InvariantPoolMax: no move takes a pool beyond its maximum size.
	InvariantPoolMax = "pool-max"
	// InvariantMoveFree: no move begins or finishes under maintenance, and none
	// finishes while tasks are left.
	InvariantMoveFree = "move-when-free"
	// InvariantForget: entries are dropped only after a long absence, a few in
	// each round.
	InvariantForget = "forget-bounded"
)

// maxViolations bounds the violations that are kept for one round.
const maxViolations = 64

// Guard records a violation of the invariant when holds is false.
func (ix *Index) Guard(holds bool, invariant, format string, args ...any) {
	if holds || len(ix.violations) >= maxViolations {
		return
	}
	ix.violations = append(ix.violations, state.Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns the invariants that the actions planned in this round would
// violate. It is empty unless this program has a bug.
func (ix *Index) Violations() []state.Violation { return ix.violations }

func (ix *Index) guardStart(t *model.Task, pool model.PoolID) {
	v := ix.vms[t.VM]
	if v == nil {
		ix.Guard(false, InvariantOpenVM, "task %s is placed on VM %s, which is not known", t.ID, t.VM)
		return
	}
	ix.Guard(v.Block == Open || ix.isProbe(v, t), InvariantOpenVM, "task %s is placed on VM %s: %s", t.ID, v.ID, v.Block)
	ix.Guard(v.Pool() == pool, InvariantOpenVM, "task %s of pool %s is placed on VM %s of pool %s", t.ID, pool, v.ID, v.Pool())
	ix.Guard(t.Size.Fits(v.Free()), InvariantCapacity, "task %s needs %v, VM %s has %v left", t.ID, t.Size, v.ID, v.Free())
	if t.Job != "" {
		ix.guardJob(t)
		return
	}
	s := ix.services[t.Service]
	ix.Guard(s != nil && s.ordinalFree(t.Ordinal), InvariantOneTask, "instance %s/%d has a task already", t.Service, t.Ordinal)
}

// ordinalFree reports whether no task is recorded for an ordinal. The ordinal
// may be beyond the number of instances.
func (s *Service) ordinalFree(ordinal int) bool {
	if ordinal >= 0 && ordinal < len(s.Tasks) {
		return s.Tasks[ordinal] == nil
	}
	return !slices.ContainsFunc(s.Extra, func(t *model.Task) bool { return t.Ordinal == ordinal })
}

func (ix *Index) guardJob(t *model.Task) {
	job := ix.Job(t.Job)
	if job == nil {
		ix.Guard(false, InvariantOneTask, "task %s runs job %s, which is not known", t.ID, t.Job)
		return
	}
	ix.Guard(job.State == model.JobQueued && !ix.planned.jobs[t.Job], InvariantOneTask,
		"job %s is started while it is %s", t.Job, job.State)
	if team := ix.teams[job.Spec.Team]; team != nil {
		ix.Guard(team.Allows(t.Size), InvariantQuota,
			"team %s uses %v and task %s needs %v of a quota of %v", team.Spec.ID, team.Used, t.ID, t.Size, team.Spec.Quota)
	}
}

// isProbe reports whether a task may probe a quarantined VM: the probe is due,
// the VM is idle, and the task is of a batch job that can run again.
func (ix *Index) isProbe(v *VM, t *model.Task) bool {
	job := ix.Job(t.Job)
	return v.Block == BlockQuarantine && v.Quarantine.ProbeAt <= ix.Snap.Now && v.Idle() &&
		job != nil && job.Spec.Idempotent && job.Spec.Priority == model.Batch
}

func (ix *Index) guardMove(m *state.BeginMove) {
	v := ix.vms[m.VM]
	if v == nil {
		ix.Guard(false, InvariantPoolFit, "VM %s is moved and is not known", m.VM)
		return
	}
	ix.Guard(v.Permit == nil, InvariantMoveFree, "VM %s is moved under maintenance", v.ID)
	if m.Target == "" || v.Owner != nil && m.Target == v.Owner.Pool {
		return
	}
	p := ix.pools[m.Target]
	if p == nil {
		ix.Guard(false, InvariantPoolFit, "VM %s is moved to pool %s, which the manifest does not have", v.ID, m.Target)
		return
	}
	ix.Guard(Eligible(p.Spec, v.Listed), InvariantPoolFit, "pool %s does not allow VM %s", m.Target, v.ID)
	ix.Guard(p.Size() < p.Spec.MaxVMs, InvariantPoolMax, "pool %s has %d VMs and gets VM %s; its largest size is %d",
		m.Target, p.Size(), v.ID, p.Spec.MaxVMs)
}

func (ix *Index) guardFinish(id model.VMID) {
	v := ix.vms[id]
	free := v != nil && v.Moving() && v.Idle() && v.Permit == nil
	ix.Guard(free, InvariantMoveFree, "the move of VM %s ends while something holds on to it", id)
}

// guardForget allows at most one entry in fifty, and at least one, to be
// dropped in a round, and only those of idle VMs that the platform has not
// listed for at least half of the default of Options.ForgetAfter.
func (ix *Index) guardForget(id model.VMID) {
	v := ix.vms[id]
	since, known := ix.Snap.Absent[id]
	long := known && ix.Snap.Now.Sub(since) >= defaultForgetAfter/2
	ix.Guard(v != nil && v.Listed == nil && v.Idle() && long, InvariantForget, "the entry of VM %s is dropped", id)
	ix.planned.forgotten++
	maxForgotten := max(1, len(ix.Snap.View.Owners)/50)
	ix.Guard(ix.planned.forgotten <= maxForgotten, InvariantForget, "%d of %d entries are dropped in one round", ix.planned.forgotten, len(ix.Snap.View.Owners))
}
