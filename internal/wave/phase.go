package wave

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// advance moves every permit whose condition is met to its next phase.
func (d *decider) advance() {
	for _, v := range d.ix.VMs {
		if v.Permit != nil && !d.returned[v.ID] {
			d.advanceVM(v)
		}
	}
}

func (d *decider) advanceVM(v *fleet.VM) {
	p := v.Permit
	switch {
	case v.Listed == nil:
		d.advanceAbsent(v)
	case p.Phase == model.PhaseGranted:
		d.advanceGranted(v)
	case p.Phase == model.PhaseDraining:
		d.advanceDraining(v)
	case p.Phase == model.PhaseRebooting:
		d.advanceRebooting(v)
	case p.Phase == model.PhaseSoaking:
		d.advanceSoaking(v)
	}
}

// advanceAbsent ends the permit of a VM that the platform no longer lists, but
// only after a while: a partial list lacks VMs too, and ending a permit because
// of one would count a VM that is still drained as available.
func (d *decider) advanceAbsent(v *fleet.VM) {
	since, known := d.ix.Snap.Absent[v.ID]
	if known && d.ix.Now().Sub(since) >= absentFor {
		d.release(v, false, "the platform does not list the VM any more")
	}
}

// absentFor is how long a VM must be missing from the platform's list before its
// permit ends.
const absentFor = 10 * time.Minute

func (d *decider) advanceGranted(v *fleet.VM) {
	if !d.stillRequested(v) {
		d.release(v, false, waveWithdrawn)
		return
	}
	d.setPhase(v, model.PhaseDraining, "the permit is committed; the drain begins")
}

// advanceDraining waits until the platform has drained the VM and nothing runs
// on it. A VM that rebooted on its own meanwhile needs no second reboot.
func (d *decider) advanceDraining(v *fleet.VM) {
	switch {
	case d.facts.Returned[v.ID] && !v.Listed.Drained:
		d.release(v, false, "the VM was given back before its reboot")
	case d.rebooted(v):
		d.setPhase(v, model.PhaseSoaking, "the VM rebooted while it was drained")
	case !d.stillRequested(v):
		d.undrain = append(d.undrain, v.ID)
	case v.Listed.Drained && v.Idle() && v.Healthy() && !d.belowBudget(v):
		d.setPhase(v, model.PhaseRebooting, "nothing is left on the VM")
	default:
		d.drainTasks(v)
	}
}

func (d *decider) advanceRebooting(v *fleet.VM) {
	switch {
	case d.rebooted(v):
		d.setPhase(v, model.PhaseSoaking, "the VM is back under another boot ID")
	case v.Healthy() && d.facts.Returned[v.ID] && !v.Listed.Drained:
		// A delayed undrain can arrive after the reboot was accepted. If the
		// permit ended while the VM is down, the VM would count as not rebooted,
		// and the wave would reboot it a second time. So the VM must be up.
		d.release(v, false, "the VM was given back before its reboot")
	}
}

// advanceSoaking ends the permit once the VM has been up without a break for
// the soak time and the platform starts tasks on it again.
func (d *decider) advanceSoaking(v *fleet.VM) {
	if !d.soaked(v) || v.Listed.Drained {
		return
	}
	d.release(v, true, "the VM soaked and takes work again")
}

// rebooted reports whether the VM is up with another boot ID than the permit
// holds. Comparing boot IDs instead of recording commands keeps a new leader,
// or one that missed a reply, from rebooting the VM a second time.
func (d *decider) rebooted(v *fleet.VM) bool {
	return v.Healthy() && v.Listed.BootID != v.Permit.BootID
}

func (d *decider) soaked(v *fleet.VM) bool {
	return Soaked(d.ix.Now(), d.ix.Snap.View.Site, v.Listed, v.Permit, d.o)
}

// Soaked reports whether a soaking VM has been up, and in its permit's phase,
// for the soak time of its wave.
func Soaked(now model.Instant, site *model.Site, vm *model.VM, permit *model.Permit, o Options) bool {
	if vm == nil || vm.Health != model.VMUp {
		return false
	}
	if o.Rules.IgnoreSoak {
		return true
	}
	soak := o.withDefaults().Soak
	if w := waveOf(site, permit.Wave); w != nil && w.Soak > 0 {
		soak = w.Soak
	}
	return min(now.Sub(vm.HealthSince), now.Sub(permit.Since)) >= soak
}

func (d *decider) setPhase(v *fleet.VM, to model.MaintenancePhase, reason string) {
	d.add(state.Action{Reason: reason, SetPhase: &state.SetPhase{VM: v.ID, Generation: v.Permit.Generation, Phase: to}})
}

func (d *decider) release(v *fleet.VM, done bool, reason string) {
	d.add(state.Action{Reason: reason, ReleasePermit: &state.ReleasePermit{VM: v.ID, Generation: v.Permit.Generation, Done: done}})
}

func (d *decider) wave(v *fleet.VM) *model.Wave {
	return waveOf(d.ix.Snap.View.Site, v.Permit.Wave)
}

// waveWithdrawn is the reason for releasing the permit of a VM whose drain has
// not begun.
const waveWithdrawn = "the manifest took the wave back, or put it off, for the VM's pool"

// stillRequested reports whether the manifest in force still has the wave of
// the VM's permit, started and for its pool. Operators can only stop a faulty
// wave by a manifest without it. Without this check, VMs being drained would be
// rebooted minutes after that manifest was accepted.
func (d *decider) stillRequested(v *fleet.VM) bool {
	w := d.wave(v)
	if w == nil || w.Start > d.ix.Now() {
		return false
	}
	return v.Permit.Pool == "" || slices.Contains(w.Pools, v.Permit.Pool)
}

func waveOf(site *model.Site, id model.WaveID) *model.Wave {
	if site == nil {
		return nil
	}
	for i := range site.Waves {
		if site.Waves[i].ID == id {
			return &site.Waves[i]
		}
	}
	return nil
}

// drainTasks decides which tasks are stopped on a VM that is being drained.
// Instances are stopped at once: replacements start elsewhere, and the budget
// recovers long before the VM is back.
func (d *decider) drainTasks(v *fleet.VM) {
	if d.belowBudget(v) {
		return
	}
	for _, t := range v.SortedTasks() {
		if t.State == model.TaskStopping || d.ix.EndPlanned(t.ID) {
			continue
		}
		if stop, why := d.mayStop(v, t); stop {
			d.stops = append(d.stops, Stop{Task: t, Reason: fmt.Sprintf("wave %s drains VM %s: %s", v.Permit.Wave, v.ID, why)})
		}
	}
}

// mayStop reports whether a drain stops the task now, and why.
func (d *decider) mayStop(v *fleet.VM, t *model.Task) (bool, string) {
	if t.Job == "" {
		return true, "its instance starts elsewhere"
	}
	job := d.ix.Job(t.Job)
	switch {
	case job == nil:
		return false, ""
	case !job.Spec.Idempotent:
		// A job that is not idempotent must not be started again.
		return false, ""
	case !d.o.Features.OrderByCost:
		return true, "its job is queued again"
	case t.Priority == model.Urgent:
		return false, ""
	}
	return d.worthStopping(v, t, job)
}

// worthStopping reports whether to stop a task that can continue elsewhere. A
// drain only waits for it when it will end soon enough not to delay the wave by
// much: waiting first and stopping it later would cost both time and a move.
func (d *decider) worthStopping(v *fleet.VM, t *model.Task, job *model.Job) (bool, string) {
	waited := d.ix.Now().Sub(v.Permit.Since)
	left := d.remaining(job, t)
	wave := v.Permit.Wave
	if left <= d.waitThreshold(wave) && waited < max(d.o.MaxWait, d.timeLeft[wave]) {
		return false, ""
	}
	if job.Spec.Checkpoints {
		return true, "its job goes on from a checkpoint"
	}
	return true, fmt.Sprintf("its job, with %s left, is queued again", left.Round(time.Second))
}

// waitThreshold returns the remaining run time up to which a drain waits for a
// task: NearEnd at equal weights, more when moves weigh more, and at least the
// time that the wave takes anyway.
func (d *decider) waitThreshold(id model.WaveID) time.Duration {
	w := min(d.moveShare(), maxMoveShare)
	threshold := time.Duration(float64(d.o.NearEnd) * w / (1 - w))
	return max(threshold, d.timeLeft[id]-d.o.Cycle)
}

// maxMoveShare bounds the share of moves: at 1 a drain would wait forever.
const maxMoveShare = 0.9

// estimateTimeLeft estimates how long each wave still takes: the time for all
// VMs not done, at the present number of VMs under maintenance, and at least
// until the tasks that must not be interrupted have ended and their VMs went
// through maintenance.
func (d *decider) estimateTimeLeft() {
	site := d.ix.Snap.View.Site
	for i := range site.Waves {
		w := &site.Waves[i]
		if w.Start > d.ix.Now() {
			continue
		}
		r := d.survey(w)
		rounds := (len(r.next) + len(r.active)) / max(len(r.active), 1)
		rest := time.Duration(rounds) * d.o.Cycle
		for _, v := range append(r.next, r.active...) {
			rest = max(rest, d.uninterruptibleTime(v)+d.o.Cycle)
		}
		d.timeLeft[w.ID] = rest
	}
}

// uninterruptibleTime returns how long the tasks of a VM that must not be
// interrupted still run.
func (d *decider) uninterruptibleTime(v *fleet.VM) time.Duration {
	longest := time.Duration(0)
	for _, t := range v.Tasks {
		job := d.ix.Job(t.Job)
		if job != nil && (t.Priority == model.Urgent || !job.Spec.Idempotent) {
			longest = max(longest, d.remaining(job, t))
		}
	}
	return longest
}

func (d *decider) remaining(job *model.Job, t *model.Task) time.Duration {
	if d.facts.Remaining == nil {
		return max(job.Spec.Runtime-d.ix.Now().Sub(t.Started), 0)
	}
	return d.facts.Remaining(job, t)
}

// moveShare returns the share of the weight of moves in the sum of the weights
// of moves and buffer, from 0 to 1.
func (d *decider) moveShare() float64 {
	p := d.ix.Policy()
	total := p.MoveWeight + p.BufferWeight
	if total <= 0 {
		return defaultMoveShare
	}
	return p.MoveWeight / total
}

// defaultMoveShare is the share of moves when the manifest has no weights.
const defaultMoveShare = 0.5
