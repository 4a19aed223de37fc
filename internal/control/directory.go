package control

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
)

// forgetCore is how long a core VM is remembered that nobody has heard of: a
// VM that was cut off for a minute is still asked, one that was removed for
// good is not asked for ever.
const forgetCore = 2 * time.Minute

// Directory is what one process knows of the core VMs. It starts from the
// seeds, which may name VMs that are down or gone. It is safe for concurrent use.
type Directory struct {
	now    func() time.Duration
	Leader node.LeaderHint

	mu    sync.Mutex
	seeds []model.NodeID
	heard map[model.NodeID]time.Duration
	// silent holds until when a core VM that did not answer is not asked.
	silent map[model.NodeID]time.Duration
}

// NewDirectory returns a directory that knows the seeds. The clock is the time
// since some instant.
func NewDirectory(seeds []model.NodeID, now func() time.Duration) *Directory {
	return &Directory{now: now, seeds: slices.Clone(seeds), heard: map[model.NodeID]time.Duration{},
		silent: map[model.NodeID]time.Duration{}}
}

// SetSeeds replaces the seeds after the settings changed.
func (d *Directory) SetSeeds(seeds []model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// Heard notes that a core VM is there.
func (d *Directory) Heard(core model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[core] = d.now()
}

// Learn notes core VMs that another process named. It does not make a known
// one younger: two processes would otherwise keep a dead one alive.
func (d *Directory) Learn(cores []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range cores {
		if _, known := d.heard[model.NodeID(name)]; !known && name != "" {
			d.heard[model.NodeID(name)] = d.now()
		}
	}
}

// silentFor is how long a core VM that did not answer is left alone. Others go
// on naming it as the leader until they elect another; each request that goes
// there waits for nothing, and its outcome is unknown.
const silentFor = 250 * time.Millisecond

// DidNotAnswer notes that a core VM gave no answer in time.
func (d *Directory) DidNotAnswer(core model.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[core] = d.now() + silentFor
}

// IsSilent says whether a core VM did not answer lately.
func (d *Directory) IsSilent(core model.NodeID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() < d.silent[core]
}

// Cores returns the seeds and all other core VMs that are remembered, sorted.
func (d *Directory) Cores() []model.NodeID {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := slices.Clone(d.seeds)
	for core, at := range d.heard {
		if d.now()-at > forgetCore {
			delete(d.heard, core)
			continue
		}
		all = append(all, core)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
