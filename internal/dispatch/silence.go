package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// massLossWindow is the time within which contact with many workers must be
	// lost to assume a common cause.
	massLossWindow = 2 * time.Second
	// A mass loss takes at least massLossShare of a pool and massLossMin workers.
	massLossShare = 0.5
	massLossMin   = 3
)

// lostContact holds the time of the last contact with a worker that does not
// answer or was replaced.
type lostContact struct {
	pool string
	at   time.Duration
}

// lostContactRetention is how long the last contact with a replaced worker is
// remembered. The next incarnations start seconds later, each at its own time.
const lostContactRetention = 15 * time.Second

// recordLostContacts records which workers don't answer or were found to be
// replaced, and since when.
func (d *Dispatcher) recordLostContacts(t *workload.Tables) {
	now := d.now()
	for id, contact := range d.lostContacts {
		if now-contact.at > lostContactRetention {
			delete(d.lostContacts, id)
		}
	}
	for id, l := range d.links {
		l.mu.Lock()
		if worker := t.Workers[id]; worker != nil && (l.replaced || l.failures > 0) {
			d.lostContacts[id] = lostContact{pool: worker.Pool, at: l.lastContact}
		} else {
			delete(d.lostContacts, id)
		}
		l.mu.Unlock()
	}
}

// lostTogether reports whether contact with a large part of a pool was lost at
// about the same time as with one worker. Then a rack or its power failed, and
// no task can be identified as the cause.
func (d *Dispatcher) lostTogether(t *workload.Tables, pool string, at time.Duration) bool {
	together := 0
	for _, contact := range d.lostContacts {
		if contact.pool == pool && max(contact.at-at, at-contact.at) <= massLossWindow {
			together++
		}
	}
	if together < massLossMin {
		return false
	}
	addresses := map[string]bool{} // a replaced incarnation and the next one share an address
	for _, w := range t.Workers {
		if w.Pool == pool {
			addresses[w.Address] = true
		}
	}
	return float64(together) >= massLossShare*float64(len(addresses))
}
