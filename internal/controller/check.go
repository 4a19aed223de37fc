package controller

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Broken is an invariant that does not hold.
type Broken struct {
	Invariant string
	Detail    string
}

// checker collects what does not hold.
type checker struct{ broken []Broken }

func (k *checker) expect(holds bool, invariant, format string, args ...any) {
	if !holds {
		k.broken = append(k.broken, Broken{invariant, fmt.Sprintf(format, args...)})
	}
}

// Check returns the invariants that do not hold between the state and what
// the platform lists:
//
//   - permit-before-drain: a VM that our command drained has the permit of
//     that command;
//   - reboot-by-permit: a VM that our command rebooted has a permit in the
//     phase for it, or a later one.
//
// VMs that a controller of a later term commanded are left out: their permits
// may not have reached this view.
func Check(view *state.View, vms map[model.VMID]platform.VMReport) []Broken {
	k := &checker{}
	for id, r := range vms {
		permit := view.Permits[id]
		ours := r.Fence.Generation > 0 && r.Fence.Term <= view.Term
		last := platform.Undrain.Step()
		if !ours || !r.Drained || r.Fence.Step >= last {
			continue
		}
		holds := permit != nil && permit.Generation == r.Fence.Generation
		k.expect(holds, "permit-before-drain", "VM %s is drained under generation %d without its permit", id, r.Fence.Generation)
		if holds && r.Fence.Step == platform.Reboot.Step() {
			k.expect(permit.Phase >= model.PhaseRebooting, "reboot-by-permit", "VM %s was rebooted in phase %d", id, permit.Phase)
		}
	}
	return k.broken
}

// CheckCommands returns the invariants that commands break:
//
//   - commit-before-command: every command follows from a committed record;
//   - one-reboot-a-permit: a reboot names the boot that the permit names;
//   - lease-committed: no lease goes to a worker that was not committed.
func CheckCommands(view *state.View, commands []platform.Command) []Broken {
	k := &checker{}
	for i := range commands {
		c := &commands[i]
		switch {
		case c.Kind.ForVM():
			k.vmCommand(view, c)
		case c.Kind == platform.Renew:
			for _, id := range c.Tasks {
				t := view.Tasks[id]
				k.expect(t != nil && c.LeaseUntil <= t.LeaseUntil, "lease-committed", "task %s", id)
			}
		default:
			t := view.Tasks[c.Task]
			k.expect(t != nil, "commit-before-command", "%s of task %s, which is not recorded", c.Kind, c.Task)
			k.expect(t == nil || c.LeaseUntil <= t.LeaseUntil, "lease-committed", "task %s", c.Task)
		}
	}
	return k.broken
}

func (k *checker) vmCommand(view *state.View, c *platform.Command) {
	p := view.Permits[c.VM]
	holds := p != nil && p.Generation == c.Fence.Generation
	k.expect(holds, "commit-before-command", "%s of VM %s without a committed permit", c.Kind, c.VM)
	if !holds {
		return
	}
	least := map[platform.Kind]model.MaintenancePhase{
		platform.Drain: model.PhaseDraining, platform.Undrain: model.PhaseDraining,
		platform.Reboot: model.PhaseRebooting, platform.Return: model.PhaseSoaking,
	}[c.Kind]
	k.expect(p.Phase >= least, "commit-before-command", "%s of VM %s in phase %d", c.Kind, c.VM, p.Phase)
	if c.Kind == platform.Reboot {
		k.expect(c.BootID == p.BootID, "one-reboot-a-permit", "VM %s is to be rebooted from boot %s; its permit is for %s", c.VM, c.BootID, p.BootID)
	}
}

// CheckBudgets returns the services that the round's planned actions take
// below their budgets: what is left must not be below 0 for any service that
// loses an instance on purpose (budget-kept). It opens the account anew, with
// every rule on.
func CheckBudgets(snap *fleet.Snapshot, o budget.Options, planned []state.Action) []Broken {
	o.Rules = budget.Rules{}
	ix := fleet.NewIndex(snap)
	ledger := budget.NewLedger(ix, o)
	hit := map[model.ServiceID]bool{}
	for i := range planned {
		if v := takenVM(ix, &planned[i]); v != nil {
			markServices(v, ix, hit)
			ledger.Take(v)
		}
	}
	k := &checker{}
	for _, s := range ix.Services {
		left := ledger.Left(s.Spec.ID)
		k.expect(!hit[s.Spec.ID] || left >= 0, "budget-kept", "service %s has %d left after a planned step", s.Spec.ID, left)
	}
	return k.broken
}

// takenVM is the VM that an action takes out on purpose, nil for none.
func takenVM(ix *fleet.Index, a *state.Action) *fleet.VM {
	switch {
	case a.GrantPermit != nil:
		return ix.VM(a.GrantPermit.VM)
	case a.BeginMove != nil && a.BeginMove.Generation > 0:
		return stillThere(ix.VM(a.BeginMove.VM))
	default:
		return nil
	}
}

// stillThere leaves out a VM that was moving before: another target takes
// nothing more, and back to its pool it takes nothing.
func stillThere(v *fleet.VM) *fleet.VM {
	if v != nil && v.Moving() {
		return nil
	}
	return v
}

func markServices(v *fleet.VM, ix *fleet.Index, hit map[model.ServiceID]bool) {
	for _, t := range v.Tasks {
		if t.Service != "" && ix.InstanceAvailable(t) {
			hit[t.Service] = true
		}
	}
}

// checkDecided checks a round's decisions before they are committed.
func (c *Controller) checkDecided(d *decided) {
	var broken []Broken
	for _, b := range d.ix.Broken() {
		broken = append(broken, Broken(b))
	}
	c.report(broken)
	taken := false
	for i := range d.actions {
		taken = taken || d.actions[i].GrantPermit != nil || d.actions[i].BeginMove != nil
	}
	if taken {
		c.report(CheckBudgets(d.ix.Snap, c.budgetOptions(d.at), d.actions))
	}
}

func (c *Controller) checkCommands(view *state.View, commands []platform.Command) {
	c.report(CheckCommands(view, commands))
	c.report(Check(view, c.soft.world.vms))
}

// checkState checks the tables of the state, which reads every row: once a
// minute is enough to notice, and cheap at any size.
func (c *Controller) checkState() {
	now := c.config.Clock()
	if now.Sub(c.checked) < checkEvery {
		return
	}
	c.checked = now
	var broken []Broken
	for _, b := range state.Check(c.config.Log.View()) {
		broken = append(broken, Broken{b.Invariant, b.Detail})
	}
	c.report(broken)
}

// checkEvery is the time between two checks of the whole state.
const checkEvery = time.Minute

// report counts broken invariants, and logs those that are new.
func (c *Controller) report(broken []Broken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range broken {
		c.counts.broken(b.Invariant)
		if len(c.broken) >= maxBroken || slices.Contains(c.broken, b) {
			continue
		}
		c.broken = append(c.broken, b)
		c.config.Logger.WithField("invariant", b.Invariant).Error("controller: " + b.Detail)
	}
}

// maxBroken bounds the broken invariants that are remembered.
const maxBroken = 64

// Broken returns the invariants that broke since the start, at most 64.
func (c *Controller) Broken() []Broken {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Broken(nil), c.broken...)
}
