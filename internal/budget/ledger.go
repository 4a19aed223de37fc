package budget

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Cover is the kind of failure domain whose loss a service's budget absorbs.
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

// Ledger holds all budgets during one round of decisions. Take and Stop enter
// what the round decides, so that later decisions see it.
type Ledger struct {
	ix       *fleet.Index
	now      model.Instant
	options  Options
	accounts []*serviceAccount
	byID     map[model.ServiceID]*serviceAccount
	// onVM lists the available instances of each VM.
	onVM map[model.VMID][]*serviceAccount
	// taken holds the VMs that were taken out in this round.
	taken map[model.VMID]bool
}

// serviceAccount holds the budget of one service.
type serviceAccount struct {
	service   *fleet.Service
	cover     Cover
	available int
	lost      [lossCount]int
	// byDomain counts the available instances by failure domain at the level of
	// the cover.
	byDomain map[string]int
}

// NewLedger computes the budgets from an index.
func NewLedger(ix *fleet.Index, o Options) *Ledger {
	o.Soak = cmp.Or(o.Soak, DefaultSoak)
	l := &Ledger{
		ix:      ix,
		now:     ix.Now(),
		options: o,
		byID:    make(map[model.ServiceID]*serviceAccount, len(ix.Services)),
		onVM:    make(map[model.VMID][]*serviceAccount, len(ix.VMs)),
		taken:   make(map[model.VMID]bool),
	}
	for _, p := range ix.Pools {
		domains := countDomains(p)
		for _, s := range p.Services {
			l.addService(s, coverOf(s.Spec, domains))
		}
	}
	return l
}

// domains counts the failure domains of a pool's VMs, without the zones that
// the manifest no longer allows for the pool. While the pool leaves such a
// zone, a reserve for the loss of a zone would keep its last VM there.
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

// coverOf returns the largest domain whose loss leaves the service its minimum
// of available instances, provided that they are spread evenly and all were
// available before.
func coverOf(s *model.Service, d domains) Cover {
	maxUnavailable := s.Instances - s.MinAvailable
	switch {
	case maxUnavailable <= 0:
		return CoverNothing
	case d.zones > 1 && maxPerDomain(s.Instances, d.zones) <= maxUnavailable:
		return CoverZone
	case d.racks > 1 && maxPerDomain(s.Instances, d.racks) <= maxUnavailable:
		return CoverRack
	default:
		return CoverVM
	}
}

// maxPerDomain returns the number of instances in the fullest of n domains when
// they are spread evenly.
func maxPerDomain(instances, n int) int { return (instances + n - 1) / n }

func (l *Ledger) addService(s *fleet.Service, cover Cover) {
	e := &serviceAccount{service: s, cover: cover, byDomain: map[string]int{}}
	l.accounts = append(l.accounts, e)
	l.byID[s.Spec.ID] = e
	for _, t := range s.Tasks {
		l.addTask(e, t)
	}
	for _, t := range s.Extra {
		l.addTask(e, t)
	}
}

func (l *Ledger) addTask(e *serviceAccount, t *model.Task) {
	loss := l.taskLoss(t)
	e.lost[loss]++
	if loss != Available {
		return
	}
	v := l.ix.VM(t.VM)
	l.count(e, v, 1)
	l.onVM[v.ID] = append(l.onVM[v.ID], e)
}

// taskLoss returns why an instance does not count as available; t is nil where
// none runs.
func (l *Ledger) taskLoss(t *model.Task) Loss {
	if t == nil {
		return Starting
	}
	if loss := l.vmLoss(l.ix.VM(t.VM)); loss != Available {
		return loss
	}
	if t.State == model.TaskStopping || l.ix.EndPlanned(t.ID) {
		return Stopping
	}
	if !l.ix.Snap.Serving[t.ID] {
		return Starting
	}
	return Available
}

func (l *Ledger) count(e *serviceAccount, v *fleet.VM, n int) {
	e.available += n
	e.byDomain[l.domain(e.cover, v)] += n
}

// domain returns the name of a listed VM's failure domain at the level of a cover.
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

// worstFailure returns how many available instances the worst next failure
// would take, and its failure domain.
func (e *serviceAccount) worstFailure() (count int, domain string) {
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

// remaining returns the remaining budget of the service.
func (e *serviceAccount) remaining(r Rules) int {
	reserve, _ := e.worstFailure()
	if r.SkipReserve {
		reserve = 0
	}
	return e.available - reserve - e.service.Spec.MinAvailable
}

// Available returns the number of available instances of a service.
func (l *Ledger) Available(id model.ServiceID) int {
	if e := l.byID[id]; e != nil {
		return e.available
	}
	return 0
}

// AllAvailable reports whether every instance of a service is available.
func (l *Ledger) AllAvailable(id model.ServiceID) bool {
	e := l.byID[id]
	return e != nil && e.available == len(e.service.Tasks)+len(e.service.Extra)
}

// Domain returns the name of a listed VM's failure domain, at the level whose
// loss the budget of the service absorbs.
func (l *Ledger) Domain(id model.ServiceID, v *fleet.VM) string {
	if e := l.byID[id]; e != nil && v.Listed != nil {
		return l.domain(e.cover, v)
	}
	return ""
}

// Remaining returns the remaining budget of a service; it is negative when the
// service has too few available instances.
func (l *Ledger) Remaining(id model.ServiceID) int {
	if e := l.byID[id]; e != nil {
		return e.remaining(l.options.Rules)
	}
	return 0
}

// MinRemaining returns the smallest remaining budget; 0 without services.
func (l *Ledger) MinRemaining() int {
	lowest := 0
	for i, e := range l.accounts {
		if left := e.remaining(l.options.Rules); i == 0 || left < lowest {
			lowest = left
		}
	}
	return lowest
}

// BelowBudget reports whether the remaining budget of a service of the pool is
// negative.
func (l *Ledger) BelowBudget(p *fleet.Pool) bool {
	return slices.ContainsFunc(p.Services, func(s *fleet.Service) bool { return l.Remaining(s.Spec.ID) < 0 })
}

// VMLoss returns why the instances on a VM do not count for any budget; Available
// when they do.
func (l *Ledger) VMLoss(v *fleet.VM) Loss { return l.vmLoss(v) }
