package registry

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Merged counts what a batch did.
type Merged struct {
	// Records and Renewals took effect.
	Records  int
	Renewals int
	// Ignored were known, overtaken, or refer to content that is not known.
	Ignored int
	// Refused did not fit into the registry or were invalid.
	Refused int
}

// publish gives an entry that was announced here the next version. When the
// announcement holds what was known, perhaps from a peer, it goes out as a
// renewal, though it is the first one here: behind a balancer an instance
// renews at another entry VM each time. A peer that lacks the record ignores the
// renewal, and the digests differ.
func (r *Registry) publish(e *entry, known bool) {
	r.version++
	content := e.content
	if e.withdrawn {
		content = 0
	}
	if !known && (e.changed == 0 || e.sent != content) {
		e.changed = r.version
		r.changed = r.version
	}
	e.sent = content
	e.renewed = r.version
	if e.place == nil {
		e.place = r.changes.PushBack(e)
		return
	}
	r.changes.MoveToBack(e.place)
}

// Version is the version of the last announcement at this VM.
func (r *Registry) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// Changed is the version of the last announcement at this VM that was more than
// a renewal.
func (r *Registry) Changed() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// RenewTime is the time between two announcements of an instance that is asked
// for now.
func (r *Registry) RenewTime() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.renewTime()
}

// Deltas returns what was announced at this VM after the version since, oldest
// first and at most limit entries. The peer acknowledges Upto; the next call
// goes on from there, so a lost batch is sent again.
func (r *Registry) Deltas(since uint64, limit int, now model.Instant) Batch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	first := r.changes.Back()
	for first != nil && first.Value.(*entry).renewed > since {
		first = first.Prev()
	}
	if first == nil {
		first = r.changes.Front()
	} else {
		first = first.Next()
	}
	batch := Batch{Upto: since}
	for at := first; at != nil && limit > 0; at = at.Next() {
		e := at.Value.(*entry)
		batch.Upto = e.renewed
		if e.changed > since || !e.live {
			batch.Records = append(batch.Records, recordOf(e, now))
		} else {
			batch.Renewals = append(batch.Renewals, Renewal{
				Content: e.content, Sequence: e.upstream.Sequence, RemainingMS: remaining(e, now),
			})
		}
		limit--
	}
	return batch
}

// Merge takes in a batch from a peer.
func (r *Registry) Merge(b Batch, now model.Instant) Merged {
	r.mu.Lock()
	defer r.mu.Unlock()
	var m Merged
	for _, record := range b.Records {
		r.mergeRecord(record, now, &m)
	}
	for _, renewal := range b.Renewals {
		if r.mergeRenewal(renewal, now) {
			m.Renewals++
		} else {
			m.Ignored++
		}
	}
	return m
}

func (r *Registry) mergeRecord(record Record, now model.Instant, m *Merged) {
	u := record.upstream()
	if refused(u, record.Withdrawn) {
		m.Refused++
		return
	}
	u.Expires = now.Add(received(record.RemainingMS))
	if record.Withdrawn {
		u.Expires = now
	}
	e := r.entries[name{u.Service, u.Instance}]
	alive := u.Expires > now
	if alive && (e == nil || !e.live) && r.full(u.Service) {
		m.Refused++
		return
	}
	if e == nil {
		e = r.add(u, now)
		e.withdrawn = record.Withdrawn
		m.Records++
		return
	}
	merged, withdrawn, changed := join(e, u, record.Withdrawn)
	if !changed {
		m.Ignored++
		return
	}
	r.replace(e, merged, withdrawn, now)
	m.Records++
}

// refused checks a record from a peer. A withdrawal may come without more
// than the name, when the instance itself was never seen.
func refused(u model.Upstream, withdrawn bool) bool {
	if withdrawn {
		return validateName(u) != nil
	}
	return validate(u) != nil
}

// join combines what is known of an instance with a record of it. The result
// doesn't depend on the order in which the records come.
func join(e *entry, u model.Upstream, withdrawn bool) (merged model.Upstream, gone bool, changed bool) {
	known := e.upstream
	if u.Incarnation < known.Incarnation {
		return known, e.withdrawn, false
	}
	if u.Incarnation > known.Incarnation {
		return u, withdrawn, true
	}
	merged = known
	if u.Sequence > known.Sequence {
		merged = u
		merged.Expires = max(u.Expires, known.Expires)
		changed = true
	}
	merged.Leaving = known.Leaving || u.Leaving
	gone = e.withdrawn || withdrawn
	changed = changed || merged.Leaving != known.Leaving || gone != e.withdrawn
	return merged, gone, changed
}

func (r *Registry) mergeRenewal(renewal Renewal, now model.Instant) bool {
	e := r.byContent[renewal.Content]
	if e == nil || renewal.Sequence <= e.upstream.Sequence {
		return false
	}
	e.upstream.Sequence = renewal.Sequence
	e.upstream.Expires = max(e.upstream.Expires, now.Add(received(renewal.RemainingMS)))
	return true
}

// received takes the drift margin off a remaining lease. Without it two clocks
// of different speed would hand a lease to and fro and make it longer.
func received(remainingMS int64) time.Duration {
	bounded := min(max(remainingMS, 0), int64(maxRemaining/time.Millisecond))
	return time.Duration(bounded-bounded/driftShare) * time.Millisecond
}

// maxRemaining bounds the lease that a peer may claim.
const maxRemaining = 10 * time.Minute
