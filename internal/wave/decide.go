package wave

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Stop requests the end of a task on a VM that is being drained.
type Stop struct {
	Task   *model.Task
	Reason string
}

// Decision is the result of one round of decisions.
type Decision struct {
	// Actions are to be committed.
	Actions []state.Action
	// Stops are tasks to be stopped, or checkpointed where their job supports it.
	Stops []Stop
	// Undrain holds the VMs to be returned before their reboot.
	Undrain []model.VMID
	// Surge holds the surge instances that must run elsewhere before the next
	// VM can be drained, with at most one entry for each service.
	Surge []Surge
	// KeepSurge holds the pools in which VMs are yet to be drained. Surge
	// instances stay there, because they will be needed again.
	KeepSurge map[model.PoolID]bool
	// Borrow holds the pools that can spare no VM now, so that a shared spare
	// should join them for the wave.
	Borrow map[model.PoolID]bool
	// SoonDrained holds when VMs are expected to be drained.
	SoonDrained map[model.VMID]model.Instant
	// Waiting holds, by wave, why the first VM that is refused a permit in this
	// round is refused; it is empty when every VM that is left gets one.
	Waiting map[model.WaveID]string
}

// Surge requests surge instances: instances beyond the number in the service's
// spec, which run so that the target can be drained.
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

	actions []state.Action
	stops   []Stop
	undrain []model.VMID
	// returned holds the VMs that are returned in this round; Facts.Returned
	// holds those whose return the platform has accepted.
	returned       map[model.VMID]bool
	surge          map[model.ServiceID]Surge
	keepSurge      map[model.PoolID]bool
	borrow         map[model.PoolID]bool
	expectedDrains map[model.VMID]model.Instant
	// timeLeft is the estimated time that each wave still takes.
	timeLeft map[model.WaveID]time.Duration
	waiting  map[model.WaveID]string
}

// Decide makes one round of decisions about all waves. Grants are planned in
// ix and entered in the ledger.
func Decide(ix *fleet.Index, ledger *budget.Ledger, facts Facts, o Options) Decision {
	d := &decider{
		ix: ix, ledger: ledger, facts: facts, o: o.withDefaults(),
		returned:       map[model.VMID]bool{},
		surge:          map[model.ServiceID]Surge{},
		keepSurge:      map[model.PoolID]bool{},
		borrow:         map[model.PoolID]bool{},
		expectedDrains: map[model.VMID]model.Instant{},
		timeLeft:       map[model.WaveID]time.Duration{},
		waiting:        map[model.WaveID]string{},
	}
	if ix.Snap.View.Site == nil {
		return Decision{}
	}
	d.estimateTimeLeft()
	d.returnVMs()
	d.advance()
	d.grantAll()
	return Decision{
		Actions: d.actions, Stops: d.stops, Undrain: d.undrain,
		Surge: d.surges(), KeepSurge: d.keepSurge, Borrow: d.borrow, SoonDrained: d.expectedDrains, Waiting: d.waiting,
	}
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

// belowBudget reports whether a service of the VM's pool is below its budget.
func (d *decider) belowBudget(v *fleet.VM) bool {
	p := d.ix.Pool(v.Pool())
	return p != nil && d.ledger.BelowBudget(p) && !d.o.Rules.IgnoreBudget
}
