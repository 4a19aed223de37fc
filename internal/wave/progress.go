package wave

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Progress is how far a wave is.
type Progress struct {
	Wave  model.WaveID `json:"wave"`
	Total int          `json:"total"`
	Done  int          `json:"done"`
	// Active counts the VMs under a permit of the wave.
	Active int `json:"active"`
	// Waiting says why no further VM is drained; empty when one was.
	Waiting string `json:"waiting,omitempty"`
	// End is when the wave is expected to be done; 0 once it is, or when it
	// has not begun.
	End model.Instant `json:"end_ms,omitempty"`
}

// ProgressOf reports on the waves that have started. The end is estimated
// from the rate at which VMs were done since the first; before that, from the
// VMs under maintenance and the time that one is taken to need.
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
	if left := r.total - r.done; left > 0 {
		p.End = d.ix.Now().Add(time.Duration(left) * d.pace(r))
	}
	return p
}

// pace is the time that each further VM is taken to add.
func (d *decider) pace(r *run) time.Duration {
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
	// The first was done one cycle after it began.
	return d.ix.Now().Sub(first) / time.Duration(done-1)
}
