package budget

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Loss is the reason why an instance does not count as available.
type Loss uint8

const (
	// Available: the instance counts.
	Available Loss = iota
	// Starting: it has no task, or its task has not announced itself.
	Starting
	// Stopping: it is being stopped.
	Stopping
	// UnderPermit: its VM may be taken down for maintenance at any moment.
	UnderPermit
	// Failed: its VM is down, reboots without a permit or is no longer listed.
	Failed
	// Unknown: the heartbeat of its VM is late, or the platform's list is stale.
	Unknown
	// Soaking: its VM came back recently.
	Soaking
	// Quarantined: its VM is quarantined because jobs fail on it.
	Quarantined
	// Moving: its VM is leaving the pool.
	Moving
	lossCount
)

var lossNames = [lossCount]string{"available", "starting", "stopping", "under permit", "failed", "unknown", "soaking", "quarantined", "moving"}

// String returns the text used in status.
func (l Loss) String() string {
	if l >= lossCount {
		return "invalid"
	}
	return lossNames[l]
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one used in production; tests switch a rule off to check that
// the invariants detect it.
type Rules struct {
	// TrustUnknown counts VMs whose heartbeat is late as available.
	TrustUnknown bool
	// SkipSoak counts a VM as available as soon as it is back.
	SkipSoak bool
	// SkipReserve keeps no reserve for the next failure.
	SkipReserve bool
}

// DefaultSoak is how long a VM that came back on its own or after a repair does
// not count as available yet.
const DefaultSoak = 2 * time.Minute

// Options set up a Ledger.
type Options struct {
	// Soak is how long a VM must be up before it counts; 0 means DefaultSoak.
	Soak time.Duration
	// Stale is set when the platform's list is too old to rely on: every VM
	// that it lists as up counts as unknown.
	Stale bool
	Rules Rules
}

// vmLoss returns why no instance on a VM counts.
//
// A VM often fails again right after a repair. If it counted at once, the next
// grant would use up the budget that it restored, and its second failure would
// break the budget. So it counts only after the soak time.
func (l *Ledger) vmLoss(v *fleet.VM) Loss {
	switch {
	case v == nil:
		return Failed
	case v.Permit != nil:
		return UnderPermit
	case v.Listed == nil || v.Listed.Health == model.VMDown || v.Listed.Health == model.VMRebooting:
		return Failed
	case l.unknown(v):
		return Unknown
	case l.soaking(v):
		return Soaking
	case v.Quarantine != nil:
		return Quarantined
	case v.Moving():
		return Moving
	default:
		return Available
	}
}

// unknown reports whether it is unknown if the VM is up. It may have failed
// already; if it counted, a drain elsewhere could take the last instance.
func (l *Ledger) unknown(v *fleet.VM) bool {
	if l.options.Rules.TrustUnknown {
		return false
	}
	return l.options.Stale || v.Listed.Health == model.VMUnknown
}

func (l *Ledger) soaking(v *fleet.VM) bool {
	if l.options.Rules.SkipSoak || v.Listed.Health != model.VMUp || v.Listed.HealthSince == 0 {
		return false
	}
	return l.now.Sub(v.Listed.HealthSince) < l.options.Soak
}
