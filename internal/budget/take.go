package budget

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// MayTake reports whether a VM may be taken out on purpose now. If not, why
// describes the budget that forbids it.
func (l *Ledger) MayTake(v *fleet.VM) (ok bool, why string) {
	if p := l.ix.Pool(v.Pool()); p != nil {
		if short := l.firstBelowBudget(p); short != nil {
			return false, l.describe(short)
		}
	}
	for _, t := range v.Tasks {
		// A service with an instance here may belong to another pool: the
		// manifest may have moved it.
		if e := l.byID[t.Service]; e != nil && e.remaining(l.options.Rules) < 0 {
			return false, l.describe(e)
		}
	}
	defer l.without(v)()
	for _, e := range l.onVM[v.ID] {
		if e.remaining(l.options.Rules) < 0 {
			return false, "without VM " + string(v.ID) + ": " + l.describe(e)
		}
	}
	return true, ""
}

// Take records that a VM is taken out: none of its instances counts any more.
func (l *Ledger) Take(v *fleet.VM) {
	accounts := l.onVM[v.ID]
	l.shift(v, accounts, -1)
	for _, e := range accounts {
		e.lost[Available]--
		e.lost[UnderPermit]++
	}
	delete(l.onVM, v.ID)
	l.taken[v.ID] = true
}

// MayStop reports whether one instance may be stopped on purpose now.
func (l *Ledger) MayStop(t *model.Task) (ok bool, why string) {
	e := l.byID[t.Service]
	if e == nil || l.taken[t.VM] || l.taskLoss(t) != Available {
		return true, ""
	}
	v := l.ix.VM(t.VM)
	l.count(e, v, -1)
	defer l.count(e, v, 1)
	if e.remaining(l.options.Rules) < 0 {
		return false, l.describe(e)
	}
	return true, ""
}

// Stop records that one instance is stopped.
func (l *Ledger) Stop(t *model.Task) {
	e := l.byID[t.Service]
	if e == nil || l.taken[t.VM] || l.taskLoss(t) != Available {
		return
	}
	v := l.ix.VM(t.VM)
	l.count(e, v, -1)
	e.lost[Available]--
	e.lost[Stopping]++
	l.onVM[v.ID] = removeOne(l.onVM[v.ID], e)
}

// Shortfalls returns, for each service of the VM's pool, how many more instances
// must be available before the VM may be taken out. It is empty when the VM
// may be taken out now.
func (l *Ledger) Shortfalls(v *fleet.VM) map[model.ServiceID]int {
	missing := map[model.ServiceID]int{}
	p := l.ix.Pool(v.Pool())
	if p == nil {
		return missing
	}
	defer l.without(v)()
	for _, s := range p.Services {
		if left := l.Remaining(s.Spec.ID); left < 0 {
			missing[s.Spec.ID] = -left
		}
	}
	return missing
}

// Shortfall returns how many more instances of a service must be available before
// the VM, with all of the service's instances on it, may be taken out.
func (l *Ledger) Shortfall(id model.ServiceID, v *fleet.VM) int {
	defer l.without(v)()
	return max(-l.Remaining(id), 0)
}

// ImprovesBudget reports whether one more instance of a service on the VM dest
// would increase the service's remaining budget once the target, which may be
// nil, is taken out. An instance in what is then the fullest failure domain does
// not, because the reserve grows with it.
func (l *Ledger) ImprovesBudget(id model.ServiceID, target, dest *fleet.VM) bool {
	e := l.byID[id]
	if e == nil || dest.Listed == nil || dest == target {
		return false
	}
	defer l.without(target)()
	before := e.remaining(l.options.Rules)
	l.count(e, dest, 1)
	defer l.count(e, dest, -1)
	return e.remaining(l.options.Rules) > before
}

// Redundant reports whether the remaining budget of the service would be no
// smaller without the available instance, once the target, which may be nil, is
// taken out.
func (l *Ledger) Redundant(t *model.Task, target *fleet.VM) bool {
	e := l.byID[t.Service]
	if e == nil || l.taken[t.VM] || l.taskLoss(t) != Available || target != nil && t.VM == target.ID {
		return false
	}
	defer l.without(target)()
	before := e.remaining(l.options.Rules)
	v := l.ix.VM(t.VM)
	l.count(e, v, -1)
	defer l.count(e, v, 1)
	return e.remaining(l.options.Rules) >= before
}

// RestoredInstances returns how many instances on a VM under a permit would be
// available again if the VM were returned now. It counts only services whose
// remaining budget is negative.
func (l *Ledger) RestoredInstances(v *fleet.VM) int {
	if v.Listed == nil || v.Listed.Health != model.VMUp {
		return 0
	}
	restored := 0
	for _, t := range v.Tasks {
		serves := t.Service != "" && t.State != model.TaskStopping && l.ix.Snap.Serving[t.ID]
		if e := l.byID[t.Service]; serves && e != nil && e.remaining(l.options.Rules) < 0 {
			restored++
		}
	}
	return restored
}

// without takes a VM out of the counts until the returned function is called.
func (l *Ledger) without(v *fleet.VM) (undo func()) {
	if v == nil {
		return func() {}
	}
	accounts := l.onVM[v.ID]
	l.shift(v, accounts, -1)
	return func() { l.shift(v, accounts, 1) }
}

// shift adds n to the available instances on a VM for each of the accounts.
func (l *Ledger) shift(v *fleet.VM, accounts []*serviceAccount, n int) {
	for _, e := range accounts {
		l.count(e, v, n)
	}
}

// firstBelowBudget returns the first service of the pool whose remaining budget
// is negative, or nil.
func (l *Ledger) firstBelowBudget(p *fleet.Pool) *serviceAccount {
	for _, s := range p.Services {
		if e := l.byID[s.Spec.ID]; e != nil && e.remaining(l.options.Rules) < 0 {
			return e
		}
	}
	return nil
}

// describe returns the calculation of one service's remaining budget.
func (l *Ledger) describe(e *serviceAccount) string {
	reserve, domain := e.worstFailure()
	where := ""
	if domain != "" {
		where = " (" + domain + ")"
	}
	spec := e.service.Spec
	return fmt.Sprintf("service %s: %d available - %d worst next failure%s - %d least = %d", spec.ID, e.available, reserve, where, spec.MinAvailable, e.remaining(l.options.Rules))
}

func removeOne(accounts []*serviceAccount, e *serviceAccount) []*serviceAccount {
	for i, other := range accounts {
		if other == e {
			return append(append([]*serviceAccount(nil), accounts[:i]...), accounts[i+1:]...)
		}
	}
	return accounts
}
