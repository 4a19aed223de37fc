package registry

import "github.com/comfreyloom/comfreyloom/internal/model"

// relation orders two announcements of the same instance.
type relation int

const (
	older relation = iota - 1
	same
	newer
)

func compareOrder(a, b model.Upstream) relation {
	switch {
	case a.Incarnation != b.Incarnation:
		return relationOf(a.Incarnation > b.Incarnation)
	case a.Sequence != b.Sequence:
		return relationOf(a.Sequence > b.Sequence)
	default:
		return same
	}
}

func relationOf(isNewer bool) relation {
	if isNewer {
		return newer
	}
	return older
}

// add creates the entry of an instance that has none.
func (r *Registry) add(u model.Upstream, now model.Instant) *entry {
	key := instanceKey{u.Service, u.Instance}
	e := &entry{upstream: u, bucket: bucketOf(key)}
	r.entries[key] = e
	r.replace(e, u, false, now)
	return e
}

// replace sets the state of an entry and updates all indexes.
func (r *Registry) replace(e *entry, u model.Upstream, withdrawn bool, now model.Instant) {
	alive := !withdrawn && u.Expires > now
	content := hashContent(&u)
	if e.live && alive && content == e.content {
		e.upstream = u
		return
	}
	if e.live {
		r.deactivate(e, now)
	}
	e.upstream = u
	e.withdrawn = withdrawn
	if alive {
		r.activate(e, content)
		return
	}
	r.addTombstone(e, now)
}

// activate makes an entry live.
func (r *Registry) activate(e *entry, content uint64) {
	if e.tombstoneElement != nil {
		r.tombstones.Remove(e.tombstoneElement)
		e.tombstoneElement = nil
	}
	e.live = true
	e.content = content
	r.live++
	r.buckets[e.bucket] ^= content
	r.byContent[content] = e
	s := r.services[e.upstream.Service]
	if s == nil {
		s = &service{live: map[model.InstanceID]*entry{}}
		r.services[e.upstream.Service] = s
	}
	s.live[e.upstream.Instance] = e
	r.markChanged(s)
}

// deactivate turns a live entry into a tombstone, which keeps the incarnation
// and sequence of the instance.
func (r *Registry) deactivate(e *entry, now model.Instant) {
	e.live = false
	r.live--
	r.buckets[e.bucket] ^= e.content
	delete(r.byContent, e.content)
	s := r.services[e.upstream.Service]
	delete(s.live, e.upstream.Instance)
	r.markChanged(s)
	r.addTombstone(e, now)
}

// addTombstone appends an entry that is not live to the tombstones.
func (r *Registry) addTombstone(e *entry, now model.Instant) {
	e.removedAt = now
	if e.tombstoneElement != nil {
		r.tombstones.MoveToBack(e.tombstoneElement)
		return
	}
	e.tombstoneElement = r.tombstones.PushBack(e)
}

// dropTombstone removes the entry of a tombstone.
func (r *Registry) dropTombstone(e *entry) {
	r.tombstones.Remove(e.tombstoneElement)
	if e.changesElement != nil {
		r.changes.Remove(e.changesElement)
	}
	delete(r.entries, instanceKey{e.upstream.Service, e.upstream.Instance})
	if s := r.services[e.upstream.Service]; s != nil && len(s.live) == 0 {
		delete(r.services, e.upstream.Service)
	}
}

// markChanged records that the instances of a service changed.
func (r *Registry) markChanged(s *service) {
	s.stale = true
	r.revision.Add(1)
}
