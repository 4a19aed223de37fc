package registry

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Revision grows whenever an instance enters, leaves or changes; readers
// compare it to learn whether Serving would differ. It does not move with
// renewals.
func (r *Registry) Revision() uint64 { return r.revision.Load() }

// Serving returns the instances of a service that take new work, by instance.
// The slice is shared and must not be changed; its Expires may be those of an
// earlier lease.
func (r *Registry) Serving(s model.ServiceID) []model.Upstream {
	r.mu.RLock()
	known := r.services[s]
	if known == nil || !known.stale {
		defer r.mu.RUnlock()
		if known == nil {
			return nil
		}
		return known.serving
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	known = r.services[s]
	if known == nil {
		return nil
	}
	known.rebuild()
	return known.serving
}

func (s *service) rebuild() {
	if !s.stale {
		return
	}
	serving := make([]model.Upstream, 0, len(s.live))
	for _, e := range s.live {
		if !e.upstream.Leaving {
			serving = append(serving, e.upstream)
		}
	}
	slices.SortFunc(serving, func(a, b model.Upstream) int { return cmp.Compare(a.Instance, b.Instance) })
	s.serving = serving
	s.stale = false
}

// All returns every live instance, leaving ones included, by service and instance.
func (r *Registry) All() []model.Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]model.Upstream, 0, r.live)
	for _, e := range r.entries {
		if e.live {
			all = append(all, e.upstream)
		}
	}
	slices.SortFunc(all, func(a, b model.Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// Get returns a live instance.
func (r *Registry) Get(s model.ServiceID, i model.InstanceID) (model.Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.entries[name{s, i}]
	if e == nil || !e.live {
		return model.Upstream{}, false
	}
	return e.upstream, true
}

// Stats counts what a registry holds.
type Stats struct {
	// Live records, and records remembered for their order.
	Live int
	Gone int
	// Lapsed counts the leases that ended without a renewal, since the start.
	Lapsed uint64
}

// Stats returns the counts.
func (r *Registry) Stats() Stats {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Stats{Live: r.live, Gone: r.gone.Len(), Lapsed: r.lapsed}
}

// Check returns the invariants that are broken; none when all is well.
func (r *Registry) Check() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var broken []string
	var buckets [Buckets]uint64
	live := 0
	for n, e := range r.entries {
		if !e.live {
			continue
		}
		live++
		buckets[e.bucket] ^= contentOf(&e.upstream)
		if e.withdrawn {
			broken = append(broken, fmt.Sprintf("withdrawn instance %s/%s is listed", n.service, n.instance))
		}
	}
	if buckets != r.buckets || live != r.live {
		broken = append(broken, "digest differs from the records that it stands for")
	}
	if live > r.options.Total {
		broken = append(broken, "more instances than the bound")
	}
	for id, s := range r.services {
		for _, u := range s.serving {
			e := r.entries[name{u.Service, u.Instance}]
			if !s.stale && (e == nil || !e.live || e.upstream.Leaving) {
				broken = append(broken, fmt.Sprintf("leaving instance %s/%s is listed as serving", id, u.Instance))
			}
		}
	}
	return broken
}
