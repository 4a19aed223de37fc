package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// applyChange applies the next revision of the site, with a change, and lets
// the controllers run for the duration. No invariant may be violated at any
// step, and no service may have fewer serving instances than its minimum, or
// than it had when the revision was applied, whichever is lower.
func (s *sim) applyChange(t *testing.T, d time.Duration, change func(*model.Site)) {
	t.Helper()
	site := copySite(s.view().Site)
	site.Revision++
	change(site)
	s.apply(*site)
	s.stepChecked(t, d)
}

func (s *sim) stepChecked(t *testing.T, d time.Duration) {
	t.Helper()
	floor := map[model.ServiceID]int{}
	before := s.servingByService()
	for _, service := range s.view().Site.Services {
		floor[service.ID] = min(service.MinAvailable, before[service.ID])
	}
	for passed := time.Duration(0); passed < d; passed += time.Second {
		s.step(time.Second)
		now := s.servingByService()
		for id, minimum := range floor {
			if now[id] < minimum {
				t.Fatalf("%s after the change, service %s has %d serving instances, want at least %d", passed, id, now[id], minimum)
			}
		}
		if violations := s.invariantViolations(); violations != nil {
			t.Fatal(passed, violations)
		}
	}
}

// servingByService counts, by service, the instances that actually serve.
func (s *sim) servingByService() map[model.ServiceID]int {
	count := map[model.ServiceID]int{}
	for id := range s.serving() {
		if task := s.view().Tasks[id]; task != nil {
			count[task.Service]++
		}
	}
	return count
}

func copySite(from *model.Site) *model.Site {
	site := *from
	site.Pools = slices.Clone(from.Pools)
	site.Services = slices.Clone(from.Services)
	site.Teams = slices.Clone(from.Teams)
	site.Waves = slices.Clone(from.Waves)
	return &site
}

// manifestMismatches lists where the site differs from the manifest in force.
func (s *sim) manifestMismatches() []string {
	var mismatches []string
	add := func(format string, args ...any) { mismatches = append(mismatches, fmt.Sprintf(format, args...)) }
	site := s.view().Site
	pools := map[model.PoolID]*model.Pool{}
	sizes := map[model.PoolID]int{}
	for i := range site.Pools {
		pools[site.Pools[i].ID] = &site.Pools[i]
	}
	ix := fleet.NewIndex(s.node(s.log.leader).snapshot())
	for _, v := range ix.VMs {
		if v.Owner == nil || v.Moving() {
			add("VM %s has no pool or is moving", v.ID)
			continue
		}
		sizes[v.Owner.Pool]++
		if p := pools[v.Owner.Pool]; v.Owner.Pool != "" && (p == nil || !fleet.Eligible(p, v.Listed)) {
			add("VM %s is in pool %s, which does not allow it", v.ID, v.Owner.Pool)
		}
	}
	for id, p := range pools {
		if sizes[id] < p.MinVMs || sizes[id] > p.MaxVMs {
			add("pool %s has %d VMs", id, sizes[id])
		}
	}
	serving, wanted := s.servingByService(), 0
	for i := range site.Services {
		spec := &site.Services[i]
		wanted += spec.Instances
		if serving[spec.ID] != spec.Instances {
			add("service %s has %d serving instances", spec.ID, serving[spec.ID])
		}
	}
	instances := 0
	for _, task := range sortedTasks(s.view(), func(t *model.Task) bool { return t.Job == "" }) {
		instances++
		spec := ix.Service(task.Service)
		owner := s.view().Owners[task.VM]
		if spec == nil || owner == nil || owner.Pool != spec.Spec.Pool || task.Size != spec.Spec.Size {
			add("task %s differs from its service in pool or size", task.ID)
		}
	}
	if instances != wanted {
		add("%d instances are recorded", instances)
	}
	return mismatches
}

func service(site *model.Site, id model.ServiceID) *model.Service {
	i := slices.IndexFunc(site.Services, func(s model.Service) bool { return s.ID == id })
	return &site.Services[i]
}

func pool(site *model.Site, id model.PoolID) *model.Pool {
	i := slices.IndexFunc(site.Pools, func(p model.Pool) bool { return p.ID == id })
	return &site.Pools[i]
}

// settledSim returns a simulation of a small site without a wave in which all
// instances run.
func settledSim(t *testing.T, seed uint64, o simOptions) *sim {
	if o.site.Revision == 0 {
		o.site = smallSite()
		o.site.Waves = nil
	}
	s := smallSim(seed, o)
	is.New(t).True(s.until(2*time.Minute, func() bool { return s.manifestMismatches() == nil }))
	return s
}

// The manifest changes while everything runs. The change must come fully into
// force: a decision must not wait for a condition that no other decision brings
// about.
func TestManifestChanges(t *testing.T) {
	cases := []struct {
		name   string
		change func(*model.Site)
	}{
		{"service removed", func(m *model.Site) { m.Services = m.Services[1:] }},
		{"instances raised", func(m *model.Site) { service(m, "checks").Instances = 9 }},
		{"instances lowered", func(m *model.Site) {
			service(m, "checks").Instances, service(m, "checks").MinAvailable = 3, 2
		}},
		{"instances lowered to one", func(m *model.Site) {
			service(m, "checks").Instances, service(m, "checks").MinAvailable = 1, 0
		}},
		{"service size raised", func(m *model.Site) { service(m, "checks").Size = cores(4) }},
		{"service size lowered", func(m *model.Site) { service(m, "ledger").Size = cores(1) }},
		{"service moved", func(m *model.Site) { service(m, "checks").Pool = "night" }},
		{"all services moved", func(m *model.Site) {
			service(m, "checks").Pool, service(m, "plans").Pool = "night", "night"
		}},
		{"pool added with a service", func(m *model.Site) {
			m.Pools = append(m.Pools, model.Pool{ID: "reports", MinVMs: 3, MaxVMs: 5, Shape: cores(16)})
			m.Services = append(m.Services, model.Service{ID: "audits", Pool: "reports", Instances: 3, MinAvailable: 2, Size: cores(2)})
		}},
		{"pool removed, services moved", func(m *model.Site) {
			service(m, "ledger").Pool = "drafts"
			m.Pools = m.Pools[:1]
		}},
		{"pool renamed", func(m *model.Site) {
			service(m, "ledger").Pool = "evening"
			pool(m, "night").ID = "evening"
		}},
		{"min_vms raised", func(m *model.Site) { pool(m, "drafts").MinVMs = 9 }},
		{"max_vms lowered", func(m *model.Site) { pool(m, "drafts").MinVMs, pool(m, "drafts").MaxVMs = 3, 4 }},
		{"zones narrowed", func(m *model.Site) { pool(m, "drafts").Zones = []model.ZoneID{"az1", "az2"} }},
		{"min_available raised", func(m *model.Site) { service(m, "checks").MinAvailable = 5 }},
		{"policy weights", func(m *model.Site) { m.Policy = model.Policy{MoveWeight: 0.1, BufferWeight: 0.9} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := settledSim(t, 21, simOptions{})
			s.applyChange(t, 15*time.Minute, c.change)
			is.New(t).Equal(s.manifestMismatches(), nil)
		})
	}
}

// The manifest raises the size of an instance beyond the capacity of every VM.
// An outdated instance must not stop when none can start in its place.
func TestUnplaceableChangeStopsNothing(t *testing.T) {
	is := is.New(t)
	s := settledSim(t, 22, simOptions{})
	s.applyChange(t, 5*time.Minute, func(m *model.Site) {
		service(m, "plans").Size, service(m, "plans").MinAvailable = cores(17), 1
	})
	is.Equal(s.servingByService()["plans"], 5) // a VM has 16 cores
}
