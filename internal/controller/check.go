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

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Detail    string
}

// checker collects violated invariants.
type checker struct{ violations []Violation }

func (k *checker) expect(holds bool, invariant, format string, args ...any) {
	if !holds {
		k.violations = append(k.violations, Violation{invariant, fmt.Sprintf(format, args...)})
	}
}

// Check returns the invariants that are violated between the state and the
// platform's list:
//
//   - permit-before-drain: a VM that a controller drained has the permit of
//     that command;
//   - reboot-by-permit: a VM that a controller rebooted has a permit in the
//     rebooting phase or a later one.
//
// VMs commanded by a controller of a later term are skipped: their permits may
// not have reached this view.
func Check(view *state.View, vms map[model.VMID]platform.VMReport) []Violation {
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
	return k.violations
}

// CheckCommands returns the invariants that commands violate:
//
//   - commit-before-command: every command follows from a committed record;
//   - one-reboot-a-permit: a reboot names the boot ID that the permit names;
//   - lease-committed: no lease is sent to a worker before it is committed.
func CheckCommands(view *state.View, commands []platform.Command) []Violation {
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
	return k.violations
}

func (k *checker) vmCommand(view *state.View, c *platform.Command) {
	p := view.Permits[c.VM]
	holds := p != nil && p.Generation == c.Fence.Generation
	k.expect(holds, "commit-before-command", "%s of VM %s without a committed permit", c.Kind, c.VM)
	if !holds {
		return
	}
	minPhase := map[platform.CommandKind]model.MaintenancePhase{
		platform.Drain: model.PhaseDraining, platform.Undrain: model.PhaseDraining,
		platform.Reboot: model.PhaseRebooting, platform.Return: model.PhaseSoaking,
	}[c.Kind]
	k.expect(p.Phase >= minPhase, "commit-before-command", "%s of VM %s in phase %d", c.Kind, c.VM, p.Phase)
	if c.Kind == platform.Reboot {
		k.expect(c.BootID == p.BootID, "one-reboot-a-permit", "VM %s is to be rebooted from boot %s; its permit is for %s", c.VM, c.BootID, p.BootID)
	}
}

// CheckBudgets returns a violation of budget-kept for each service that loses an
// available instance to the round's planned actions and whose budget then has a
// negative remainder. It computes the budgets again from the snapshot, with
// every rule on.
func CheckBudgets(snap *fleet.Snapshot, o budget.Options, planned []state.Action) []Violation {
	o.Rules = budget.Rules{}
	ix := fleet.NewIndex(snap)
	ledger := budget.NewLedger(ix, o)
	affected := map[model.ServiceID]bool{}
	for i := range planned {
		if v := disruptedVM(ix, &planned[i]); v != nil {
			markAvailableServices(v, ix, affected)
			ledger.Take(v)
		}
	}
	k := &checker{}
	for _, s := range ix.Services {
		left := ledger.Remaining(s.Spec.ID)
		k.expect(!affected[s.Spec.ID] || left >= 0, "budget-kept", "service %s has %d left after a planned step", s.Spec.ID, left)
	}
	return k.violations
}

// disruptedVM returns the VM that an action takes out of service, or nil.
func disruptedVM(ix *fleet.Index, a *state.Action) *fleet.VM {
	switch {
	case a.GrantPermit != nil:
		return ix.VM(a.GrantPermit.VM)
	case a.BeginMove != nil && a.BeginMove.Generation > 0:
		return nilIfMoving(ix.VM(a.BeginMove.VM))
	default:
		return nil
	}
}

// nilIfMoving returns the VM, or nil if it was already moving: sending it to
// another target, or back to its pool, costs no further instances.
func nilIfMoving(v *fleet.VM) *fleet.VM {
	if v != nil && v.Moving() {
		return nil
	}
	return v
}

func markAvailableServices(v *fleet.VM, ix *fleet.Index, marked map[model.ServiceID]bool) {
	for _, t := range v.Tasks {
		if t.Service != "" && ix.InstanceAvailable(t) {
			marked[t.Service] = true
		}
	}
}

// checkDecision checks a round's decisions before they are committed.
func (c *Controller) checkDecision(d *roundDecision) {
	var violations []Violation
	for _, b := range d.ix.Violations() {
		violations = append(violations, Violation(b))
	}
	c.reportViolations(violations)
	disrupts := false
	for i := range d.actions {
		disrupts = disrupts || d.actions[i].GrantPermit != nil || d.actions[i].BeginMove != nil
	}
	if disrupts {
		c.reportViolations(CheckBudgets(d.ix.Snap, c.budgetOptions(d.at), d.actions))
	}
}

func (c *Controller) checkCommands(view *state.View, commands []platform.Command) {
	c.reportViolations(CheckCommands(view, commands))
	c.reportViolations(Check(view, c.softState.observed.vms))
}

// checkState checks the tables of the state. It reads every row, so it runs
// once per stateCheckInterval, which is cheap at any size.
func (c *Controller) checkState() {
	now := c.config.Clock()
	if now.Sub(c.lastStateCheck) < stateCheckInterval {
		return
	}
	c.lastStateCheck = now
	var violations []Violation
	for _, b := range state.Check(c.config.Log.View()) {
		violations = append(violations, Violation{b.Invariant, b.Detail})
	}
	c.reportViolations(violations)
}

// stateCheckInterval is the time between two checks of the whole state.
const stateCheckInterval = time.Minute

// reportViolations counts violated invariants and logs those that are new.
func (c *Controller) reportViolations(violations []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range violations {
		c.counters.countViolation(b.Invariant)
		if len(c.violations) >= maxViolations || slices.Contains(c.violations, b) {
			continue
		}
		c.violations = append(c.violations, b)
		c.config.Logger.WithField("invariant", b.Invariant).Error("controller: " + b.Detail)
	}
}

// maxViolations bounds the violations that are kept.
const maxViolations = 64

// Violations returns the invariants violated since the start, at most
// maxViolations.
func (c *Controller) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
