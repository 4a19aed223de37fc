package state

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// grant commits a permit for one VM to be unavailable, before any command is
// sent for the VM: a new leader sees every VM that may be going down.
func (c *core) grant(command *Command, a *Action, g *GrantPermit) Refusal {
	owner := c.owners.get(g.VM)
	if owner == nil {
		return "no such VM"
	}
	if c.permits.get(g.VM) != nil {
		return refusef("VM %s is under maintenance", g.VM)
	}
	if owner.Moving && !c.rules.SkipPermit {
		return refusef("VM %s is moving", g.VM)
	}
	wave := c.site.waves[g.Wave]
	if refused := c.validateWave(command, wave, owner); refused != "" {
		return refused
	}
	c.head.PermitGeneration++
	permit := &model.Permit{
		VM:         g.VM,
		Wave:       g.Wave,
		Pool:       owner.Pool,
		Phase:      model.PhaseGranted,
		Since:      command.At,
		BootID:     truncateText(g.BootID),
		Generation: c.head.PermitGeneration,
	}
	c.putPermit(permit)
	c.recordPermit(command, a, "grant-permit", nil, permit)
	return ""
}

func (c *core) validateWave(command *Command, wave *model.Wave, owner *model.Ownership) Refusal {
	if wave == nil {
		return "the manifest has no such wave"
	}
	if owner.Pool != "" && !slices.Contains(wave.Pools, owner.Pool) {
		return refusef("wave %s does not cover pool %s", wave.ID, owner.Pool)
	}
	if command.At < wave.Start {
		return refusef("wave %s has not started", wave.ID)
	}
	if WaveDone(wave, c.maintained.get(owner.VM)) {
		return refusef("VM %s went through wave %s", owner.VM, wave.ID)
	}
	if wave.MaxParallel > 0 && c.derived.wavePermits[wave.ID] >= wave.MaxParallel {
		return refusef("wave %s has %d VMs under maintenance, which is its most", wave.ID, wave.MaxParallel)
	}
	return ""
}

// WaveDone reports whether the wave is done for a VM whose last maintenance is m
// (nil if it had none). Only the time of the maintenance matters. Maintenance
// after the wave's start counts whichever wave did it: only the last wave of a
// VM is stored, so two waves over one pool would otherwise reboot it alternately
// without end. Maintenance before the start does not count, even if it was done
// by a wave of the same name: operators define the next month's wave by a later
// start, and every VM would silently be considered done.
func WaveDone(wave *model.Wave, m *model.Maintained) bool {
	if m == nil {
		return false
	}
	return m.At >= wave.Start
}

// permitAt returns the permit of a VM, or a refusal if it has none or the
// decision was based on another generation of it.
func (c *core) permitAt(vm model.VMID, generation uint64) (*model.Permit, Refusal) {
	permit := c.permits.get(vm)
	if permit == nil {
		return nil, refusef("VM %s has no permit", vm)
	}
	return permit, c.validateGeneration(vm, permit.Generation, generation)
}

func (c *core) setPhase(command *Command, a *Action, s *SetPhase) Refusal {
	permit, refused := c.permitAt(s.VM, s.Generation)
	if refused != "" {
		return refused
	}
	if s.Phase == permit.Phase {
		return ""
	}
	if s.Phase < permit.Phase || s.Phase > model.PhaseSoaking {
		return refusef("VM %s is %s; it can't go to %s", s.VM, permit.Phase, s.Phase)
	}
	changed := *permit
	changed.Phase = s.Phase
	changed.Since = command.At
	c.putPermit(&changed)
	c.recordPermit(command, a, "set-phase", permit, &changed)
	return ""
}

func (c *core) release(command *Command, a *Action, r *ReleasePermit) Refusal {
	permit, refused := c.permitAt(r.VM, r.Generation)
	if refused != "" {
		return refused
	}
	if r.Done {
		if refused := c.validateSoaked(command, permit); refused != "" {
			return refused
		}
		c.maintained.put(r.VM, &model.Maintained{VM: r.VM, Wave: permit.Wave, At: command.At})
	}
	c.removePermit(permit)
	c.recordPermit(command, a, "release-permit", permit, nil)
	return ""
}

// validateSoaked refuses a VM whose soak time has not passed: if it counted as
// available right after its reboot and then failed, an availability budget would
// be violated.
func (c *core) validateSoaked(command *Command, p *model.Permit) Refusal {
	if c.rules.SkipPermit {
		return ""
	}
	if p.Phase != model.PhaseSoaking {
		return refusef("VM %s is %s, not soaking", p.VM, p.Phase)
	}
	wave := c.site.waves[p.Wave]
	if wave != nil && command.At < p.Since.Add(wave.Soak) {
		return refusef("VM %s soaks until %s", p.VM, p.Since.Add(wave.Soak).Time())
	}
	return ""
}

func (c *core) recordPermit(command *Command, a *Action, action string, from, to *model.Permit) {
	subject := from
	if subject == nil {
		subject = to
	}
	c.record(command, auditEntry{
		action:  action,
		subject: string(subject.VM),
		before:  describePermit(from),
		after:   describePermit(to),
		cause:   a.Reason,
	})
}

func describePermit(p *model.Permit) string {
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("wave %s, %s, generation %d", p.Wave, p.Phase, p.Generation)
}

func (c *core) setQuarantine(command *Command, a *Action, s *SetQuarantine) Refusal {
	worker := s.Quarantine.Worker
	old := c.quarantines.get(worker)
	if s.Release {
		if old == nil {
			return refusef("worker %s is not in quarantine", worker)
		}
		c.quarantines.remove(worker)
		c.record(command, auditEntry{
			action:  "release-quarantine",
			subject: string(worker),
			before:  old.Reason,
			cause:   a.Reason,
		})
		return ""
	}
	if refused := validateID("worker", string(worker)); refused != "" {
		return refused
	}
	if c.owners.get(s.Quarantine.VM) == nil {
		return "no such VM"
	}
	quarantine := s.Quarantine
	quarantine.Reason = truncateText(quarantine.Reason)
	c.quarantines.put(worker, &quarantine)
	c.record(command, auditEntry{
		action:  "quarantine",
		subject: string(worker),
		after:   quarantine.Reason,
		cause:   a.Reason,
	})
	return ""
}
