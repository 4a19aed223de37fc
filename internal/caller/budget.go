package caller

import (
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// byteBudget bounds the bytes that are buffered at one time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes; it reports false if they exceed the budget.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

const (
	// retryCost is what one retry withdraws, in thousandths of a request, and
	// requestDeposit what each request deposits: retries are 10 % of traffic.
	retryCost      = 1000
	requestDeposit = 100
	// initialBalance is what a service starts with, maxBalance the most that it
	// accumulates. A burst of retries is needed when every connection becomes
	// unresponsive at once; earlier successful traffic pays for it.
	initialBalance = 10 * retryCost
	maxBalance     = 100 * retryCost
)

// retryBudget bounds a service's retries to a share of its traffic. Without
// it, retries would multiply the load on upstreams that fail under load.
type retryBudget struct{ balance atomic.Int64 }

// deposit is called once for each request of a caller.
func (b *retryBudget) deposit() {
	for {
		saved := b.balance.Load()
		next := min(saved+requestDeposit, maxBalance)
		if next == saved || b.balance.CompareAndSwap(saved, next) {
			return
		}
	}
}

// tryWithdraw pays for one retry; it reports false if the budget is used up.
func (b *retryBudget) tryWithdraw() bool {
	for {
		saved := b.balance.Load()
		if saved < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(saved, saved-retryCost) {
			return true
		}
	}
}

// retryBudgets holds one budget per service of the manifest.
type retryBudgets struct{ services sync.Map }

func (b *retryBudgets) forService(id model.ServiceID) *retryBudget {
	if known, ok := b.services.Load(id); ok {
		return known.(*retryBudget)
	}
	fresh := &retryBudget{}
	fresh.balance.Store(initialBalance)
	known, _ := b.services.LoadOrStore(id, fresh)
	return known.(*retryBudget)
}
