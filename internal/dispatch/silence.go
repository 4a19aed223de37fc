package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// massWindow is how close the losses of many workers lie that have one cause.
	massWindow = 2 * time.Second
	// massShare of a pool, and massLeast workers, are many.
	massShare = 0.5
	massLeast = 3
)

// silence is when a worker was last heard that does not answer or is over.
type silence struct {
	pool string
	at   time.Duration
}

// silenceKept is how long the silence of a worker is remembered that is over:
// the next incarnation begins seconds later, each at its own time.
const silenceKept = 15 * time.Second

// noteSilences notes which workers do not answer or were found over, and since
// when.
func (d *Dispatcher) noteSilences(t *workload.Tables) {
	now := d.now()
	for id, s := range d.silences {
		if now-s.at > silenceKept {
			delete(d.silences, id)
		}
	}
	for id, l := range d.links {
		l.mu.Lock()
		if worker := t.Workers[id]; worker != nil && (l.gone || l.failures > 0) {
			d.silences[id] = silence{pool: worker.Pool, at: l.contact}
		} else {
			delete(d.silences, id)
		}
		l.mu.Unlock()
	}
}

// lostTogether says whether a large part of a pool fell silent at about the time
// of one worker: then a rack or its power failed, and no task shows itself to be
// the cause.
func (d *Dispatcher) lostTogether(t *workload.Tables, pool string, at time.Duration) bool {
	together := 0
	for _, s := range d.silences {
		if s.pool == pool && max(s.at-at, at-s.at) <= massWindow {
			together++
		}
	}
	if together < massLeast {
		return false
	}
	places := map[string]bool{} // an incarnation that is over and the next one share an address
	for _, w := range t.Workers {
		if w.Pool == pool {
			places[w.Address] = true
		}
	}
	return float64(together) >= massShare*float64(len(places))
}
