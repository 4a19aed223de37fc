package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// applyRandomManifest proposes a manifest with one to three random changes to
// the small site. Each manifest undoes the changes of the earlier ones.
func (c *faultInjection) applyRandomManifest() {
	site := smallSite()
	site.Revision = c.view().Site.Revision + 1
	for range 1 + c.draw(3) {
		c.changeRandomly(&site)
	}
	if !c.proposeManifest(site) {
		return
	}
	c.waves += len(site.Waves) // each wave may reboot each VM once
}

// proposeManifest proposes a site and reports whether it is valid. It must be
// refused if and only if two pools or two waves share an ID, as when two
// changes add the same pool.
func (c *faultInjection) proposeManifest(site model.Site) bool {
	pools := map[model.PoolID]int{}
	for _, p := range site.Pools {
		pools[p.ID]++
	}
	waves := map[model.WaveID]int{}
	for _, w := range site.Waves {
		waves[w.ID]++
	}
	valid := len(pools) == len(site.Pools) && len(waves) == len(site.Waves)
	refused := c.tryPropose(manifestOf(site)).Refused
	if valid != (refused == "") {
		panic(fmt.Sprintf("manifest valid: %t, but refused: %q", valid, refused))
	}
	return valid
}

func (c *faultInjection) changeRandomly(m *model.Site) {
	zones := []model.ZoneID{"az1", "az2", "az3"}
	s := &m.Services[c.draw(len(m.Services))]
	p := &m.Pools[c.draw(len(m.Pools))]
	switch c.draw(12) {
	case 0:
		s.Instances = 2 + c.draw(7)
		s.MinAvailable = c.draw(s.Instances)
	case 1:
		s.Size = cores(int64(1 + c.draw(4)))
	case 2:
		s.Pool = p.ID
	case 3:
		*s = m.Services[len(m.Services)-1]
		m.Services = m.Services[:max(1, len(m.Services)-1)]
	case 4:
		p.Zones = zones[c.draw(3):]
	case 5:
		p.MinVMs, p.MaxVMs = 2+c.draw(3), 5+c.draw(5)
	case 6:
		p.Shape = cores(int64(8 + 4*c.draw(4)))
	case 7:
		m.Waves = nil
	case 8:
		m.Waves = append(m.Waves, model.Wave{ID: "second", Pools: []model.PoolID{p.ID}, Start: c.platform.Now().Add(-time.Minute), Soak: time.Minute, MaxParallel: c.draw(3)})
	case 9:
		m.Waves = smallSite().Waves
		m.Waves[0].Start = c.platform.Now().Add(time.Duration(c.draw(20)-10) * time.Minute)
	case 10:
		m.Pools = append(m.Pools, model.Pool{ID: "reports", MinVMs: 1 + c.draw(3), MaxVMs: 5, Shape: cores(8)})
		s.Pool = "reports"
	case 11:
		m.Teams[0].Quota = cores(int64(4 + c.draw(10)))
		m.Policy = model.Policy{MoveWeight: float64(c.draw(11)) / 10, BufferWeight: 0.5}
	}
}

// Manifests change at random while VMs, racks and leaders fail, answers are
// lost and jobs run. No invariant may be violated, and after the failures end
// the site must reach its last manifest.
func TestRandomManifests(t *testing.T) {
	steps, total := longSteps(t), 0
	// The first seeds are regressions: surge instances kept VMs from leaving their
	// pool (17, 21), and a wave stalled (92).
	seeds := []uint64{17, 21, 92}
	for next := uint64(1); total < steps; next++ {
		seeds = append(seeds, next)
		seed := seeds[0]
		seeds = seeds[1:]
		total += runRandomManifests(t, seed)
	}
}

// runRandomManifests runs one seed and returns the number of its steps.
func runRandomManifests(t *testing.T, seed uint64) int {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 43))
	c := newFaultInjection(seed, random.IntN, simOptions{})
	for c.steps < 400 {
		if c.draw(3) == 0 {
			c.applyRandomManifest()
		}
		if c.draw(2) == 0 {
			c.step(time.Second)
			continue
		}
		c.randomAction()
	}
	if wrong := c.recoverWithManifest(); len(wrong) > 0 {
		t.Errorf("seed %d after %d steps: %v", seed, c.steps, wrong)
	}
	return c.steps
}

// Regression of seed 47: a check reported that a pool would exceed its maximum
// size. A manifest listed one pool twice; each of the two was filled up to its
// own size, and only the targets of moves were counted.
func TestPlannedMovesKeepPoolMaximum(t *testing.T) {
	runRandomManifests(t, 47)
}

// recoverWithManifest ends all failures, applies the original manifest, and
// returns what does not recover and which invariants were violated.
func (c *faultInjection) recoverWithManifest() []string {
	c.client.SetFaults(standin.Faults{})
	c.log.lossRate = 0
	clear(c.log.partitioned)
	everything := func(standin.VM) bool { return true }
	c.platform.Repair(everything)
	c.platform.Reconnect(everything)
	for _, v := range c.platform.ActualVMs() {
		c.platform.ClearWorkerFault(v.Worker)
	}
	c.site = smallSite()
	c.site.Revision = c.view().Site.Revision + 1
	c.site.Waves[0].Start = c.platform.Now()
	c.apply(c.site)
	// A quarantine may keep a worker from its pool for a day.
	if !c.untilBy(4*time.Second, 30*time.Hour, func() bool { return c.unfinished() == "" && c.manifestMismatches() == nil }) {
		return append(append(c.manifestMismatches(), c.unfinished()), c.violations()...)
	}
	return c.violations()
}
