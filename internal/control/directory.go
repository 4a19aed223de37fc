package control

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
)

// forgetCoreAfter is how long a core VM is remembered after the last contact. A
// VM that was cut off for a minute is still tried; one that was removed for good
// is dropped in the end.
const forgetCoreAfter = 2 * time.Minute

// Directory holds the core VMs known to one process. It starts from the seeds,
// which may name VMs that are down or removed. It is safe for concurrent use.
type Directory struct {
	now    func() time.Duration
	Leader node.LeaderHint

	mu    sync.Mutex
	seeds []model.NodeID
	// lastContact holds when each core VM was last in contact, or when it was first
	// named if it never was.
	lastContact map[model.NodeID]time.Duration
	// unresponsiveUntil holds until when a core VM that did not reply is skipped.
	unresponsiveUntil map[model.NodeID]time.Duration
}

// NewDirectory returns a directory of the seeds. The clock returns the time
// since a fixed instant.
func NewDirectory(seeds []model.NodeID, now func() time.Duration) *Directory {
	return &Directory{now: now, seeds: slices.Clone(seeds), lastContact: map[model.NodeID]time.Duration{},
		unresponsiveUntil: map[model.NodeID]time.Duration{}}
}

// SetSeeds replaces the seeds after the settings changed.
func (d *Directory) SetSeeds(seeds []model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// RecordContact records that a core VM was in contact.
func (d *Directory) RecordContact(core model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact[core] = d.now()
}

// AddNamed adds core VMs that another process named. It does not renew the last
// contact of a known one: two processes could otherwise keep a dead VM in each
// other's directory for ever.
func (d *Directory) AddNamed(cores []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range cores {
		if _, known := d.lastContact[model.NodeID(name)]; !known && name != "" {
			d.lastContact[model.NodeID(name)] = d.now()
		}
	}
}

// unresponsiveFor is how long a core VM that did not reply is skipped. The
// others name it as the leader until they elect another; each request sent to
// it would wait for nothing and end with an unknown outcome.
const unresponsiveFor = 250 * time.Millisecond

// MarkUnresponsive records that a core VM gave no reply in time.
func (d *Directory) MarkUnresponsive(core model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsiveUntil[core] = d.now() + unresponsiveFor
}

// IsUnresponsive reports whether a core VM lately gave no reply.
func (d *Directory) IsUnresponsive(core model.NodeID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() < d.unresponsiveUntil[core]
}

// Cores returns the seeds and all other remembered core VMs, sorted.
func (d *Directory) Cores() []model.NodeID {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := slices.Clone(d.seeds)
	for core, at := range d.lastContact {
		if d.now()-at > forgetCoreAfter {
			delete(d.lastContact, core)
			continue
		}
		all = append(all, core)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
