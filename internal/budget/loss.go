package budget

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Loss says why an instance does not count as available.
type Loss uint8

const (
	// Available: it counts.
	Available Loss = iota
	// Starting: it has a task but has not announced itself, or has no task.
	Starting
	// Stopping: it was told to stop.
	Stopping
	// UnderPermit: its VM may be taken down for maintenance at any moment.
	UnderPermit
	// Failed: its VM is down, reboots unasked or is no longer listed.
	Failed
	// Unknown: the heartbeat of its VM is late.
	Unknown
	// Soaking: its VM came back a short while ago.
	Soaking
	// Quarantined: jobs fail on its VM.
	Quarantined
	// Moving: its VM leaves the pool.
	Moving
	lossCount
)

var lossNames = [lossCount]string{"available", "starting", "stopping", "under permit", "failed", "unknown", "soaking", "quarantined", "moving"}

// String returns the words used in status.
func (l Loss) String() string {
	if l >= lossCount {
		return "invalid"
	}
	return lossNames[l]
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses; tests switch a rule off to see
// that the invariants notice.
type Rules struct {
	// TrustUnknown counts VMs whose heartbeat is late as available.
	TrustUnknown bool
	// SkipSoak counts a VM as available as soon as it is back.
	SkipSoak bool
	// SkipReserve leaves nothing for the next failure.
	SkipReserve bool
}

// DefaultSoak is how long a VM that came back by itself or from a repair is
// not yet counted as available.
const DefaultSoak = 2 * time.Minute

// Options set up a Ledger.
type Options struct {
	// Soak is how long a VM must be up before it counts; 0 stands for DefaultSoak.
	Soak time.Duration
	// Stale says that the platform's list is too old to be believed: every VM
	// counts as unknown.
	Stale bool
	Rules Rules
}

// vmLoss says why no instance on a VM counts.
//
// A second VM is often lost right after a repair. If the repaired VM counted
// at once, the next grant would spend what it just gave back, and its second
// failure would break the budget. So it counts only after it soaked.
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

// unknown reports whether nobody knows that the VM is up. It may be dead
// already: if it counted, a drain elsewhere could take the last instance.
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
