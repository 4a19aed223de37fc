package wave

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// advance moves every permit to the next phase whose condition holds.
func (d *decider) advance() {
	for _, v := range d.ix.VMs {
		if v.Permit != nil && !d.givenBack[v.ID] {
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

// advanceAbsent ends the permit of a VM that the platform dropped. A partial
// answer also lacks VMs: a permit that ended for it would leave a VM drained
// that counts as available.
func (d *decider) advanceAbsent(v *fleet.VM) {
	since, known := d.ix.Snap.Absent[v.ID]
	if known && d.ix.Now().Sub(since) >= absentFor {
		d.release(v, false, "the platform does not list the VM any more")
	}
}

// absentFor is how long the platform must not list a VM before its permit ends.
const absentFor = 10 * time.Minute

func (d *decider) advanceGranted(v *fleet.VM) {
	if !d.covers(v) {
		d.release(v, false, takenBack)
		return
	}
	d.phase(v, model.PhaseDraining, "the permit is committed; the drain begins")
}

// advanceDraining waits until the platform drained the VM and nothing runs on
// it. A VM that rebooted by itself meanwhile needs no second reboot.
func (d *decider) advanceDraining(v *fleet.VM) {
	switch {
	case d.facts.Returned[v.ID] && !v.Listed.Drained:
		d.release(v, false, "the VM was given back before its reboot")
	case d.rebooted(v):
		d.phase(v, model.PhaseSoaking, "the VM rebooted while it was drained")
	case !d.covers(v):
		d.undrain = append(d.undrain, v.ID)
	case v.Listed.Drained && v.Idle() && v.Healthy() && !d.poolShort(v):
		d.phase(v, model.PhaseRebooting, "nothing is left on the VM")
	default:
		d.drainWork(v)
	}
}

func (d *decider) advanceRebooting(v *fleet.VM) {
	switch {
	case d.rebooted(v):
		d.phase(v, model.PhaseSoaking, "the VM is back under another boot ID")
	case v.Healthy() && d.facts.Returned[v.ID] && !v.Listed.Drained:
		// An undrain that was late can arrive after the reboot was accepted.
		// While the VM is away it would look as if it had not been rebooted,
		// and the wave would reboot it a second time.
		d.release(v, false, "the VM was given back before its reboot")
	}
}

// advanceSoaking ends the permit once the VM was up for the whole soak time
// without a break and the platform starts tasks on it again.
func (d *decider) advanceSoaking(v *fleet.VM) {
	if !d.soaked(v) || v.Listed.Drained {
		return
	}
	d.release(v, true, "the VM soaked and takes work again")
}

// rebooted reports whether the VM is up under another boot ID than the permit
// names. Comparing boots rather than remembering commands keeps a new leader,
// or one that lost an answer, from rebooting the VM a second time.
func (d *decider) rebooted(v *fleet.VM) bool {
	return v.Healthy() && v.Listed.BootID != v.Permit.BootID
}

func (d *decider) soaked(v *fleet.VM) bool {
	return Soaked(d.ix.Now(), d.ix.Snap.View.Site, v.Listed, v.Permit, d.o)
}

// Soaked reports whether a soaking VM was up, and under its permit's phase,
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

func (d *decider) phase(v *fleet.VM, to model.MaintenancePhase, reason string) {
	d.add(state.Action{Reason: reason, SetPhase: &state.SetPhase{VM: v.ID, Generation: v.Permit.Generation, Phase: to}})
}

func (d *decider) release(v *fleet.VM, done bool, reason string) {
	d.add(state.Action{Reason: reason, ReleasePermit: &state.ReleasePermit{VM: v.ID, Generation: v.Permit.Generation, Done: done}})
}

func (d *decider) wave(v *fleet.VM) *model.Wave {
	return waveOf(d.ix.Snap.View.Site, v.Permit.Wave)
}

// takenBack is why a VM that was not rebooted yet is returned.
const takenBack = "the manifest took the wave back, or put it off, for the VM's pool"

// covers reports whether the manifest in force still asks for the maintenance
// that the VM's permit is for. Operators can stop a wave that goes wrong only
// by a manifest without it; VMs that are drained would otherwise be rebooted
// minutes after it was accepted.
func (d *decider) covers(v *fleet.VM) bool {
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

// drainWork decides what becomes of the tasks on a VM that is drained.
// Instances go first: another one starts elsewhere at once, and the budget
// has room again long before the VM is back.
func (d *decider) drainWork(v *fleet.VM) {
	if d.poolShort(v) {
		return
	}
	for _, t := range v.SortedTasks() {
		if t.State == model.TaskStopping || d.ix.Ending(t.ID) {
			continue
		}
		if stop, why := d.mayStop(v, t); stop {
			d.stops = append(d.stops, Stop{Task: t, Reason: fmt.Sprintf("wave %s drains VM %s: %s", v.Permit.Wave, v.ID, why)})
		}
	}
}

func (d *decider) mayStop(v *fleet.VM, t *model.Task) (bool, string) {
	if t.Job == "" {
		return true, "its instance starts elsewhere"
	}
	job := d.ix.Job(t.Job)
	switch {
	case job == nil:
		return false, ""
	case !job.Spec.Idempotent:
		// A job that is not idempotent could never be started again.
		return false, ""
	case !d.o.Ideas.OrderByCost:
		return true, "its job is queued again"
	case t.Priority == model.Urgent:
		return false, ""
	}
	return d.worthStopping(v, t, job)
}

// worthStopping reports whether to stop a task that can go on elsewhere. A
// drain waits for it only while that does not hold up the wave by much:
// waiting first and stopping then would cost both time and a move.
func (d *decider) worthStopping(v *fleet.VM, t *model.Task, job *model.Job) (bool, string) {
	waited := d.ix.Now().Sub(v.Permit.Since)
	left := d.remaining(job, t)
	wave := v.Permit.Wave
	if left <= d.patience(wave) && waited < max(d.o.MaxWait, d.rest[wave]) {
		return false, ""
	}
	if job.Spec.Checkpoints {
		return true, "its job goes on from a checkpoint"
	}
	return true, fmt.Sprintf("its job, with %s left, is queued again", left.Round(time.Second))
}

// patience is how much run time may be left of a task that a drain waits for:
// NearEnd at equal weights, more when moves weigh more; and as long as the
// wave goes on without it in any case.
func (d *decider) patience(id model.WaveID) time.Duration {
	w := min(d.moveWeight(), mostWeight)
	patience := time.Duration(float64(d.o.NearEnd) * w / (1 - w))
	return max(patience, d.rest[id]-d.o.Cycle)
}

// mostWeight bounds the weight of moves: at 1 a drain would wait for ever.
const mostWeight = 0.9

// planRest works out how long each wave goes on: for the VMs that no permit
// covers yet, at the number that is under maintenance now, and until the tasks
// that must not be cut have ended and their VMs went through.
func (d *decider) planRest() {
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
			rest = max(rest, d.uncuttable(v)+d.o.Cycle)
		}
		d.rest[w.ID] = rest
	}
}

// uncuttable is how long the tasks of a VM that must not be cut still run.
func (d *decider) uncuttable(v *fleet.VM) time.Duration {
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

// moveWeight is the share of moves in the policy, from 0 to 1.
func (d *decider) moveWeight() float64 {
	p := d.ix.Policy()
	total := p.MoveWeight + p.BufferWeight
	if total <= 0 {
		return evenWeight
	}
	return p.MoveWeight / total
}

const evenWeight = 0.5
