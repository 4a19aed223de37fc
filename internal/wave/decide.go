package wave

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Stop asks for the end of a task on a VM that is drained.
type Stop struct {
	Task   *model.Task
	Reason string
}

// Decision is what one round decided.
type Decision struct {
	// Actions are to be committed.
	Actions []state.Action
	// Stops are tasks to be stopped, or checkpointed where their job can be.
	Stops []Stop
	// Undrain are VMs whose permit is given back before the reboot.
	Undrain []model.VMID
	// Surge are the instances that must run elsewhere before the next VM can
	// be drained; at most one entry for each service.
	Surge []Surge
	// KeepSurge are the pools in which VMs are yet to be drained: instances
	// beyond the number stay there, they will be needed again.
	KeepSurge map[model.PoolID]bool
	// Borrow are the pools of which no VM can be spared now, so that a shared
	// spare should join them for the wave.
	Borrow map[model.PoolID]bool
	// SoonDrained says when VMs are expected to be drained.
	SoonDrained map[model.VMID]model.Instant
	// Waiting says, by wave, why no further VM is granted; empty when one was.
	Waiting map[model.WaveID]string
}

// Surge asks for instances of a service beyond its number, so that the target
// can be drained.
type Surge struct {
	Service model.ServiceID
	Target  model.VMID
	Count   int
}

type decider struct {
	ix     *fleet.Index
	ledger *budget.Ledger
	facts  Facts
	o      Options

	actions   []state.Action
	stops     []Stop
	undrain   []model.VMID
	givenBack map[model.VMID]bool
	surge     map[model.ServiceID]Surge
	keepSurge map[model.PoolID]bool
	borrow    map[model.PoolID]bool
	soon      map[model.VMID]model.Instant
	// rest is how long each wave still needs.
	rest    map[model.WaveID]time.Duration
	waiting map[model.WaveID]string
}

// Decide takes one round of decisions about all waves. Grants are planned in
// ix and taken from the ledger.
func Decide(ix *fleet.Index, ledger *budget.Ledger, facts Facts, o Options) Decision {
	d := &decider{
		ix: ix, ledger: ledger, facts: facts, o: o.withDefaults(),
		givenBack: map[model.VMID]bool{},
		surge:     map[model.ServiceID]Surge{},
		keepSurge: map[model.PoolID]bool{},
		borrow:    map[model.PoolID]bool{},
		soon:      map[model.VMID]model.Instant{},
		rest:      map[model.WaveID]time.Duration{},
		waiting:   map[model.WaveID]string{},
	}
	if ix.Snap.View.Site == nil {
		return Decision{}
	}
	d.planRest()
	d.giveBack()
	d.advance()
	d.grantAll()
	return Decision{
		Actions: d.actions, Stops: d.stops, Undrain: d.undrain,
		Surge: d.surges(), KeepSurge: d.keepSurge, Borrow: d.borrow, SoonDrained: d.soon, Waiting: d.waiting,
	}
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

func (d *decider) poolShort(v *fleet.VM) bool {
	p := d.ix.Pool(v.Pool())
	return p != nil && d.ledger.Short(p) && !d.o.Rules.IgnoreBudget
}
