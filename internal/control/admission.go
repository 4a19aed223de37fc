package control

import (
	"errors"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// unknownHold is how long a job whose outcome is unknown keeps its reservation: it may
// still be applied.
const unknownHold = 5 * time.Second

// admission bounds the jobs that this VM accepts while it leads.
type admission struct {
	room workload.Room

	mu sync.Mutex
	// proposed sums the jobs that are admitted and may not be in the tables yet, in
	// bytes.
	proposed int64
}

// reserve reserves room for a job beside what the tables hold, or reports false.
func (a *admission) reserve(held, footprint int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.room.Fits(held+a.proposed, footprint) {
		return false
	}
	a.proposed += footprint
	return true
}

// settle ends the reservation of a job that was proposed. Those that are accepted are in
// the tables by now.
func (a *admission) settle(footprint int64, err error) {
	if err != nil && !errors.Is(err, state.ErrNotProposed) {
		time.AfterFunc(unknownHold, func() { a.release(footprint) })
		return
	}
	a.release(footprint)
}

func (a *admission) release(footprint int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proposed -= footprint
}
