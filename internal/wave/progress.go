package wave

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Progress is the progress of a wave.
type Progress struct {
	Wave  model.WaveID `json:"wave"`
	Total int          `json:"total"`
	Done  int          `json:"done"`
	// Active counts the VMs under a permit of the wave; VMs holds the progress
	// of each.
	Active int           `json:"active"`
	VMs    []Maintenance `json:"vms,omitempty"`
	// Waiting is why a VM is refused a permit now; see Decision.Waiting.
	Waiting string `json:"waiting,omitempty"`
	// End is when the wave is expected to be done; 0 once it is done.
	End model.Instant `json:"end_ms,omitempty"`
}

// Maintenance is the progress of one VM.
type Maintenance struct {
	VM    model.VMID    `json:"vm"`
	Pool  model.PoolID  `json:"pool"`
	Phase string        `json:"phase"`
	Since model.Instant `json:"since_ms"`
	// Waits is what the phase waits for.
	Waits string `json:"waits,omitempty"`
}

// waitReason describes what a VM's phase waits for.
func (d *decider) waitReason(v *fleet.VM) string {
	switch {
	case v.Listed == nil:
		return "the platform does not list the VM"
	case v.Permit.Phase == model.PhaseDraining && len(v.Tasks) > 0:
		return d.taskWaitReason(v)
	case v.Listed.Health != model.VMUp && v.Listed.Health != model.VMRebooting:
		return "the VM does not answer"
	case v.Permit.Phase == model.PhaseDraining && d.ledger != nil && d.belowBudget(v):
		return "a service of the pool is short of instances"
	case v.Permit.Phase == model.PhaseRebooting:
		return "the VM to come back under another boot ID"
	default:
		return ""
	}
}

// taskWaitReason describes the tasks that a drain waits for. It names one of
// their jobs, preferably one that is not idempotent.
func (d *decider) taskWaitReason(v *fleet.VM) string {
	var named *model.Job
	for _, t := range v.SortedTasks() {
		job := d.ix.Job(t.Job)
		if job != nil && (named == nil || !job.Spec.Idempotent) {
			named = job
		}
	}
	if named == nil {
		return fmt.Sprintf("%d instances to stop", len(v.Tasks))
	}
	why := "it may still end by itself"
	if !named.Spec.Idempotent || named.Spec.Priority == model.Urgent {
		why = "it must not be cut"
	}
	return fmt.Sprintf("%d tasks to end, among them job %s: %s", len(v.Tasks), named.Spec.ID, why)
}

// ProgressOf reports on the waves that have started. The end is estimated from
// the rate at which VMs were done since the first one; before two are done, it
// is estimated from the number of VMs under maintenance and Options.Cycle.
func ProgressOf(ix *fleet.Index, waiting map[model.WaveID]string, o Options) []Progress {
	site := ix.Snap.View.Site
	if site == nil {
		return nil
	}
	d := &decider{ix: ix, o: o.withDefaults()}
	var all []Progress
	for i := range site.Waves {
		w := &site.Waves[i]
		if w.Start > ix.Now() {
			continue
		}
		all = append(all, d.progress(w, waiting[w.ID]))
	}
	return all
}

func (d *decider) progress(w *model.Wave, waiting string) Progress {
	r := d.survey(w)
	p := Progress{Wave: w.ID, Total: r.total, Done: r.done, Active: len(r.active), Waiting: waiting}
	for _, v := range r.active {
		p.VMs = append(p.VMs, Maintenance{v.ID, v.Permit.Pool, v.Permit.Phase.String(), v.Permit.Since, d.waitReason(v)})
	}
	if left := r.total - r.done; left > 0 {
		p.End = d.ix.Now().Add(time.Duration(left) * d.timePerVM(r))
	}
	return p
}

// timePerVM returns the estimated time that each further VM adds.
func (d *decider) timePerVM(r *waveState) time.Duration {
	first, done := model.Instant(0), 0
	for _, m := range d.ix.Snap.View.Maintained {
		if !state.WaveDone(r.wave, m) || m.Wave != r.wave.ID {
			continue
		}
		done++
		if first == 0 || m.At < first {
			first = m.At
		}
	}
	if done < 2 {
		return d.o.Cycle / time.Duration(max(len(r.active), 1))
	}
	// The first VM was done one cycle after the wave began. The interval since
	// then covers the others.
	return d.ix.Now().Sub(first) / time.Duration(done-1)
}
