package budget

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// MayTake reports whether a VM may be taken out on purpose now. Otherwise
// why is the arithmetic of the service that forbids it.
func (l *Ledger) MayTake(v *fleet.VM) (ok bool, why string) {
	if p := l.ix.Pool(v.Pool()); p != nil {
		if short := l.shortLine(p); short != nil {
			return false, l.words(short)
		}
	}
	for _, t := range v.Tasks {
		// Not every service with an instance here is of the VM's pool: the
		// manifest may have moved it.
		if e := l.byID[t.Service]; e != nil && e.left(l.options.Rules) < 0 {
			return false, l.words(e)
		}
	}
	defer l.without(v)()
	for _, e := range l.onVM[v.ID] {
		if e.left(l.options.Rules) < 0 {
			return false, "without VM " + string(v.ID) + ": " + l.words(e)
		}
	}
	return true, ""
}

// Take enters that a VM is taken out: none of its instances counts any more.
func (l *Ledger) Take(v *fleet.VM) {
	lines := l.onVM[v.ID]
	l.shift(v, lines, -1)
	for _, e := range lines {
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
	if e.left(l.options.Rules) < 0 {
		return false, l.words(e)
	}
	return true, ""
}

// Stop enters that one instance is stopped.
func (l *Ledger) Stop(t *model.Task) {
	e := l.byID[t.Service]
	if e == nil || l.taken[t.VM] || l.taskLoss(t) != Available {
		return
	}
	v := l.ix.VM(t.VM)
	l.count(e, v, -1)
	e.lost[Available]--
	e.lost[Stopping]++
	l.onVM[v.ID] = withoutOne(l.onVM[v.ID], e)
}

// Missing counts, for each service of the VM's pool, how many more instances
// must be available before the VM may be taken. It is empty when it may.
func (l *Ledger) Missing(v *fleet.VM) map[model.ServiceID]int {
	missing := map[model.ServiceID]int{}
	p := l.ix.Pool(v.Pool())
	if p == nil {
		return missing
	}
	defer l.without(v)()
	for _, s := range p.Services {
		if left := l.Left(s.Spec.ID); left < 0 {
			missing[s.Spec.ID] = -left
		}
	}
	return missing
}

// Lacks counts how many more instances of a service must be available before
// the VM, with all that it carries of the service, may be taken.
func (l *Ledger) Lacks(id model.ServiceID, v *fleet.VM) int {
	defer l.without(v)()
	return max(-l.Left(id), 0)
}

// Helps reports whether one more instance of a service on the place would
// leave more of its budget once the target, nil for none, is taken out. One in
// a failure domain that is then the fullest does not: the reserve grows with it.
func (l *Ledger) Helps(id model.ServiceID, target, place *fleet.VM) bool {
	e := l.byID[id]
	if e == nil || place.Listed == nil || place == target {
		return false
	}
	defer l.without(target)()
	before := e.left(l.options.Rules)
	l.count(e, place, 1)
	defer l.count(e, place, -1)
	return e.left(l.options.Rules) > before
}

// Useless reports whether as much would be left of the service's budget
// without the available instance, once the target, nil for none, is taken out.
func (l *Ledger) Useless(t *model.Task, target *fleet.VM) bool {
	e := l.byID[t.Service]
	if e == nil || l.taken[t.VM] || l.taskLoss(t) != Available || target != nil && t.VM == target.ID {
		return false
	}
	defer l.without(target)()
	before := e.left(l.options.Rules)
	v := l.ix.VM(t.VM)
	l.count(e, v, -1)
	defer l.count(e, v, 1)
	return e.left(l.options.Rules) >= before
}

// Restores counts the instances on a VM under permit that would count again
// if the VM were given back now and that a short service needs.
func (l *Ledger) Restores(v *fleet.VM) int {
	if v.Listed == nil || v.Listed.Health != model.VMUp {
		return 0
	}
	restored := 0
	for _, t := range v.Tasks {
		serves := t.Service != "" && t.State != model.TaskStopping && l.ix.Snap.Serving[t.ID]
		if e := l.byID[t.Service]; serves && e != nil && e.left(l.options.Rules) < 0 {
			restored++
		}
	}
	return restored
}

// without takes a VM out until the function that it returns is called.
func (l *Ledger) without(v *fleet.VM) (undo func()) {
	if v == nil {
		return func() {}
	}
	lines := l.onVM[v.ID]
	l.shift(v, lines, -1)
	return func() { l.shift(v, lines, 1) }
}

func (l *Ledger) shift(v *fleet.VM, lines []*line, n int) {
	for _, e := range lines {
		l.count(e, v, n)
	}
}

func (l *Ledger) shortLine(p *fleet.Pool) *line {
	for _, s := range p.Services {
		if e := l.byID[s.Spec.ID]; e != nil && e.left(l.options.Rules) < 0 {
			return e
		}
	}
	return nil
}

// words is the arithmetic of one service.
func (l *Ledger) words(e *line) string {
	reserve, domain := e.worst()
	where := ""
	if domain != "" {
		where = " (" + domain + ")"
	}
	spec := e.service.Spec
	return fmt.Sprintf("service %s: %d available - %d worst next failure%s - %d least = %d", spec.ID, e.available, reserve, where, spec.MinAvailable, e.left(l.options.Rules))
}

func withoutOne(lines []*line, e *line) []*line {
	for i, other := range lines {
		if other == e {
			return append(append([]*line(nil), lines[:i]...), lines[i+1:]...)
		}
	}
	return lines
}
