package budget

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Cover names the failure domain whose loss a service's budget absorbs.
type Cover uint8

const (
	// CoverNothing: all instances must be available, so no loss is absorbed.
	CoverNothing Cover = iota
	// CoverVM: the loss of one VM.
	CoverVM
	// CoverRack: the loss of one rack.
	CoverRack
	// CoverZone: the loss of one availability zone.
	CoverZone
)

// Ledger is the account of all budgets in one round of decisions. What the
// round decides is entered by Take, so that later decisions see it.
type Ledger struct {
	ix      *fleet.Index
	now     model.Instant
	options Options
	lines   []*line
	byID    map[model.ServiceID]*line
	// onVM lists the available instances of each VM.
	onVM map[model.VMID][]*line
	// taken are the VMs that this round took out.
	taken map[model.VMID]bool
}

// line is the account of one service.
type line struct {
	service   *fleet.Service
	cover     Cover
	available int
	lost      [lossCount]int
	// byDomain counts the available instances by failure domain of the cover.
	byDomain map[string]int
}

// NewLedger opens the account from a snapshot.
func NewLedger(ix *fleet.Index, o Options) *Ledger {
	o.Soak = cmp.Or(o.Soak, DefaultSoak)
	l := &Ledger{
		ix:      ix,
		now:     ix.Now(),
		options: o,
		byID:    make(map[model.ServiceID]*line, len(ix.Services)),
		onVM:    make(map[model.VMID][]*line, len(ix.VMs)),
		taken:   make(map[model.VMID]bool),
	}
	for _, p := range ix.Pools {
		domains := countDomains(p)
		for _, s := range p.Services {
			l.open(s, coverOf(s.Spec, domains))
		}
	}
	return l
}

// domains counts the failure domains over which a pool lies and may lie: while
// it leaves a zone that the manifest no longer allows, no reserve for a whole
// zone can be kept, and one that was asked for would keep the last VM there.
type domains struct{ vms, racks, zones int }

func countDomains(p *fleet.Pool) domains {
	racks, zones := map[int]bool{}, map[int]bool{}
	d := domains{}
	for _, v := range p.VMs {
		if v.Listed == nil || v.Moving() || !fleet.ZoneAllowed(p.Spec, v.Listed.Zone) {
			continue
		}
		d.vms++
		racks[v.Rack] = true
		zones[v.Zone] = true
	}
	d.racks, d.zones = len(racks), len(zones)
	return d
}

// coverOf is the largest domain whose loss leaves the service its least
// number of instances when they lie evenly and nothing else is out.
func coverOf(s *model.Service, d domains) Cover {
	spare := s.Instances - s.MinAvailable
	switch {
	case spare <= 0:
		return CoverNothing
	case d.zones > 1 && share(s.Instances, d.zones) <= spare:
		return CoverZone
	case d.racks > 1 && share(s.Instances, d.racks) <= spare:
		return CoverRack
	default:
		return CoverVM
	}
}

// share is what the fullest of n even domains holds.
func share(instances, n int) int { return (instances + n - 1) / n }

func (l *Ledger) open(s *fleet.Service, cover Cover) {
	e := &line{service: s, cover: cover, byDomain: map[string]int{}}
	l.lines = append(l.lines, e)
	l.byID[s.Spec.ID] = e
	for _, t := range s.Tasks {
		l.enter(e, t)
	}
	for _, t := range s.Extra {
		l.enter(e, t)
	}
}

func (l *Ledger) enter(e *line, t *model.Task) {
	loss := l.taskLoss(t)
	e.lost[loss]++
	if loss != Available {
		return
	}
	v := l.ix.VM(t.VM)
	l.count(e, v, 1)
	l.onVM[v.ID] = append(l.onVM[v.ID], e)
}

// taskLoss says why an instance does not count; t is nil where none runs.
func (l *Ledger) taskLoss(t *model.Task) Loss {
	if t == nil {
		return Starting
	}
	if loss := l.vmLoss(l.ix.VM(t.VM)); loss != Available {
		return loss
	}
	if t.State == model.TaskStopping || l.ix.Ending(t.ID) {
		return Stopping
	}
	if !l.ix.Snap.Serving[t.ID] {
		return Starting
	}
	return Available
}

func (l *Ledger) count(e *line, v *fleet.VM, n int) {
	e.available += n
	e.byDomain[l.domain(e.cover, v)] += n
}

// domain names the failure domain of a listed VM at the level of a cover.
func (l *Ledger) domain(c Cover, v *fleet.VM) string {
	switch c {
	case CoverZone:
		return string(l.ix.Zones[v.Zone])
	case CoverRack:
		return l.ix.Racks[v.Rack]
	default:
		return string(v.ID)
	}
}

// worst is how many available instances the worst next failure would take,
// and where.
func (e *line) worst() (count int, domain string) {
	if e.cover == CoverNothing {
		return 0, ""
	}
	for d, n := range e.byDomain {
		if n > count || n == count && n > 0 && d < domain {
			count, domain = n, d
		}
	}
	return count, domain
}

func (e *line) left(r Rules) int {
	reserve, _ := e.worst()
	if r.SkipReserve {
		reserve = 0
	}
	return e.available - reserve - e.service.Spec.MinAvailable
}

// Available counts the available instances of a service.
func (l *Ledger) Available(id model.ServiceID) int {
	if e := l.byID[id]; e != nil {
		return e.available
	}
	return 0
}

// Whole reports whether every instance of a service is available.
func (l *Ledger) Whole(id model.ServiceID) bool {
	e := l.byID[id]
	return e != nil && e.available == len(e.service.Tasks)+len(e.service.Extra)
}

// Domain names the failure domain of a listed VM whose loss the budget of a
// service absorbs.
func (l *Ledger) Domain(id model.ServiceID, v *fleet.VM) string {
	if e := l.byID[id]; e != nil && v.Listed != nil {
		return l.domain(e.cover, v)
	}
	return ""
}

// Left is what is left of a service's budget; below 0 it is short.
func (l *Ledger) Left(id model.ServiceID) int {
	if e := l.byID[id]; e != nil {
		return e.left(l.options.Rules)
	}
	return 0
}

// LeastLeft is what is left of the budget that has least; 0 without services.
func (l *Ledger) LeastLeft() int {
	least := 0
	for i, e := range l.lines {
		if left := e.left(l.options.Rules); i == 0 || left < least {
			least = left
		}
	}
	return least
}

// Short reports whether a service of the pool has less than nothing left.
func (l *Ledger) Short(p *fleet.Pool) bool {
	return slices.ContainsFunc(p.Services, func(s *fleet.Service) bool { return l.Left(s.Spec.ID) < 0 })
}

// Down reports whether a VM does not count for any budget, and why.
func (l *Ledger) Down(v *fleet.VM) Loss { return l.vmLoss(v) }
