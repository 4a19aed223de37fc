package caller

import (
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// byteBudget bounds the bytes that are held at one time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes or reports that there is no room.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) give(n int64) { b.used.Add(-n) }

const (
	// retryCost is what one retry takes, in thousandths of a request, and
	// requestShare what each request pays in: retries are 10 % of traffic.
	retryCost    = 1000
	requestShare = 100
	// firstReserve is what a service starts with, maxReserve the most that
	// it saves up. A burst of retries is needed when every connection goes
	// silent at once; what pays for it is traffic that went well before.
	firstReserve = 10 * retryCost
	maxReserve   = 100 * retryCost
)

// retryBudget bounds a service's retries to a share of its traffic. Without
// it, upstreams that fail under load get a multiple of the load.
type retryBudget struct{ saved atomic.Int64 }

// pay is called once for each request of a caller.
func (b *retryBudget) pay() {
	for {
		saved := b.saved.Load()
		next := min(saved+requestShare, maxReserve)
		if next == saved || b.saved.CompareAndSwap(saved, next) {
			return
		}
	}
}

// take spends one retry or reports that the budget is used up.
func (b *retryBudget) take() bool {
	for {
		saved := b.saved.Load()
		if saved < retryCost {
			return false
		}
		if b.saved.CompareAndSwap(saved, saved-retryCost) {
			return true
		}
	}
}

// retryBudgets holds one budget for each service of the manifest.
type retryBudgets struct{ services sync.Map }

func (b *retryBudgets) of(id model.ServiceID) *retryBudget {
	if known, ok := b.services.Load(id); ok {
		return known.(*retryBudget)
	}
	fresh := &retryBudget{}
	fresh.saved.Store(firstReserve)
	known, _ := b.services.LoadOrStore(id, fresh)
	return known.(*retryBudget)
}
