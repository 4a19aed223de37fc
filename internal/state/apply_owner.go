package state

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// A VM moves in two committed steps, so that it is never in two pools: first
// its pool can't place new work on it, then, once no task of the old pool is
// recorded on it, the other pool gets it. The VM has a single ownership entry
// throughout the move.

// validateGeneration refuses a decision that was based on another generation of
// the VM than the current one.
func (c *core) validateGeneration(vm model.VMID, current, seen uint64) Refusal {
	if current == seen {
		return ""
	}
	if c.rules.SkipGeneration {
		return ""
	}
	return refusef("VM %s is at generation %d, the decision saw %d", vm, current, seen)
}

func (c *core) beginMove(command *Command, a *Action, b *BeginMove) Refusal {
	if refused := c.validateTarget(b.Target); refused != "" {
		return refused
	}
	owner := c.owners.get(b.VM)
	if owner == nil {
		return c.enterVM(command, a, b)
	}
	if refused := c.validateGeneration(b.VM, owner.Generation, b.Generation); refused != "" {
		return refused
	}
	if c.permits.get(b.VM) != nil && !c.rules.SkipPermit {
		return refusef("VM %s is under maintenance", b.VM)
	}
	if destination(owner) == b.Target {
		return refusef("VM %s is in pool %q already, or on its way there", b.VM, b.Target)
	}
	moved := *owner
	moved.Moving = owner.Pool != b.Target
	moved.Target = b.Target
	if !moved.Moving {
		moved.Target = ""
	}
	c.changeOwner(command, a, "begin-move", owner, &moved)
	return ""
}

// enterVM creates the ownership entry of a new VM. Its generation starts above
// that of every forgotten VM, so that an old command for the same VM ID never
// matches.
func (c *core) enterVM(command *Command, a *Action, b *BeginMove) Refusal {
	if refused := validateID("VM", string(b.VM)); refused != "" {
		return refused
	}
	if refused := c.validateGeneration(b.VM, 0, b.Generation); refused != "" {
		return refused
	}
	if c.owners.len() >= MaxVMs {
		return refusef("%d VMs are entered, which is the most", MaxVMs)
	}
	entered := &model.Ownership{
		VM:         b.VM,
		Pool:       b.Target,
		Generation: c.head.RetiredGeneration,
	}
	c.changeOwner(command, a, "enter-vm", nil, entered)
	return ""
}

// validateTarget refuses a pool that the manifest does not define or that has its
// maximum number of VMs.
func (c *core) validateTarget(target model.PoolID) Refusal {
	if target == "" {
		return "" // the shared spares
	}
	pool := c.site.pools[target]
	if pool == nil {
		return refusef("the manifest has no pool %q", target)
	}
	if c.derived.poolVMs[target] >= pool.MaxVMs {
		return refusef("pool %s has %d VMs, which is its most", target, c.derived.poolVMs[target])
	}
	return ""
}

func (c *core) finishMove(command *Command, a *Action, f *FinishMove) Refusal {
	owner := c.owners.get(f.VM)
	if owner == nil {
		return "no such VM"
	}
	if refused := c.validateGeneration(f.VM, owner.Generation, f.Generation); refused != "" {
		return refused
	}
	if !owner.Moving {
		return refusef("VM %s is not moving", f.VM)
	}
	if refused := c.validateUnused(f.VM); refused != "" {
		return refused
	}
	if owner.Target != "" && c.site.pools[owner.Target] == nil {
		return refusef("the manifest has no pool %q any more", owner.Target)
	}
	moved := *owner
	moved.Pool = owner.Target
	moved.Target = ""
	moved.Moving = false
	c.changeOwner(command, a, "finish-move", owner, &moved)
	return ""
}

// validateUnused refuses a VM that its pool still uses: it has tasks or is under
// maintenance.
func (c *core) validateUnused(vm model.VMID) Refusal {
	if c.rules.SkipSingleOwner {
		return ""
	}
	if n := c.derived.vmTasks[vm]; n > 0 {
		return refusef("VM %s still has %d tasks of its pool", vm, n)
	}
	if c.permits.get(vm) != nil {
		return refusef("VM %s is under maintenance", vm)
	}
	return ""
}

func (c *core) forgetVM(command *Command, a *Action, f *ForgetVM) Refusal {
	owner := c.owners.get(f.VM)
	if owner == nil {
		return "no such VM"
	}
	if refused := c.validateGeneration(f.VM, owner.Generation, f.Generation); refused != "" {
		return refused
	}
	if refused := c.validateUnused(f.VM); refused != "" {
		return refused
	}
	c.head.RetiredGeneration = max(c.head.RetiredGeneration, owner.Generation)
	c.removeOwner(owner)
	c.maintained.remove(f.VM)
	for _, quarantine := range c.quarantines.sorted() {
		if quarantine.VM == f.VM {
			c.quarantines.remove(quarantine.Worker)
		}
	}
	c.record(command, auditEntry{
		action:  "forget-vm",
		subject: string(f.VM),
		before:  describeOwner(owner),
		cause:   a.Reason,
	})
	return ""
}

// changeOwner stores an ownership entry with the next generation.
func (c *core) changeOwner(command *Command, a *Action, action string, from, to *model.Ownership) {
	to.Generation++
	to.Since = command.At
	to.Reason = truncateText(a.Reason)
	c.guardOwner(from, to)
	c.putOwner(to)
	c.record(command, auditEntry{
		action:  action,
		subject: string(to.VM),
		before:  describeOwner(from),
		after:   describeOwner(to),
		cause:   a.Reason,
	})
}

func describeOwner(o *model.Ownership) string {
	switch {
	case o == nil:
		return "none"
	case o.Moving:
		return fmt.Sprintf("%s, moving to %s, generation %d", poolName(o.Pool), poolName(o.Target), o.Generation)
	default:
		return fmt.Sprintf("%s, generation %d", poolName(o.Pool), o.Generation)
	}
}

func poolName(p model.PoolID) string {
	if p == "" {
		return "spares"
	}
	return "pool " + string(p)
}
