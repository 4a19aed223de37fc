package registry

import "github.com/comfreyloom/comfreyloom/internal/model"

// relation orders two announcements of the same instance.
type relation int

const (
	older relation = iota - 1
	same
	newer
)

func order(a, b model.Upstream) relation {
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

// add enters an instance that is not remembered.
func (r *Registry) add(u model.Upstream, now model.Instant) *entry {
	n := name{u.Service, u.Instance}
	e := &entry{upstream: u, bucket: bucketOf(n)}
	r.entries[n] = e
	r.replace(e, u, false, now)
	return e
}

// replace gives an entry a new state and keeps every index right.
func (r *Registry) replace(e *entry, u model.Upstream, withdrawn bool, now model.Instant) {
	alive := !withdrawn && u.Expires > now
	content := contentOf(&u)
	if e.live && alive && content == e.content {
		e.upstream = u
		return
	}
	if e.live {
		r.bury(e, now)
	}
	e.upstream = u
	e.withdrawn = withdrawn
	if alive {
		r.raise(e, content)
		return
	}
	r.remember(e, now)
}

// raise makes an entry live.
func (r *Registry) raise(e *entry, content uint64) {
	if e.gonePlace != nil {
		r.gone.Remove(e.gonePlace)
		e.gonePlace = nil
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
	r.touch(s)
}

// bury takes a live entry out of service; it stays remembered for its order.
func (r *Registry) bury(e *entry, now model.Instant) {
	e.live = false
	r.live--
	r.buckets[e.bucket] ^= e.content
	delete(r.byContent, e.content)
	s := r.services[e.upstream.Service]
	delete(s.live, e.upstream.Instance)
	r.touch(s)
	r.remember(e, now)
}

func (r *Registry) remember(e *entry, now model.Instant) {
	e.goneAt = now
	if e.gonePlace != nil {
		r.gone.MoveToBack(e.gonePlace)
		return
	}
	e.gonePlace = r.gone.PushBack(e)
}

// forget drops a remembered entry.
func (r *Registry) forget(e *entry) {
	r.gone.Remove(e.gonePlace)
	if e.place != nil {
		r.changes.Remove(e.place)
	}
	delete(r.entries, name{e.upstream.Service, e.upstream.Instance})
	if s := r.services[e.upstream.Service]; s != nil && len(s.live) == 0 {
		delete(r.services, e.upstream.Service)
	}
}

// touch says that the instances of the service changed.
func (r *Registry) touch(s *service) {
	s.stale = true
	r.revision.Add(1)
}
