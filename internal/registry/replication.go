package registry

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// MergeResult counts the effects of a batch.
type MergeResult struct {
	// Records and Renewals are those that took effect.
	Records  int
	Renewals int
	// Ignored are those already known, older than what is known, or with
	// unknown content.
	Ignored int
	// Rejected are those that were invalid or exceeded a bound of the registry.
	Rejected int
}

// publish assigns the next version to an entry that was announced here. If its
// content was already known, also from a peer, it is sent as a renewal even if it
// is the first announcement here: behind a balancer an instance renews at another
// entry VM each time. A peer that lacks the record ignores the renewal, and the
// digest exchange repairs that.
func (r *Registry) publish(e *entry, known bool) {
	r.version++
	content := e.content
	if e.withdrawn {
		content = 0
	}
	if !known && (e.changeVersion == 0 || e.publishedContent != content) {
		e.changeVersion = r.version
		r.changeVersion = r.version
	}
	e.publishedContent = content
	e.announceVersion = r.version
	if e.changesElement == nil {
		e.changesElement = r.changes.PushBack(e)
		return
	}
	r.changes.MoveToBack(e.changesElement)
}

// Version returns the version of the last announcement at this VM.
func (r *Registry) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// ChangeVersion returns the version of the last announcement at this VM that was not
// just a renewal.
func (r *Registry) ChangeVersion() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changeVersion
}

// RenewInterval returns the current time between two announcements of an instance.
func (r *Registry) RenewInterval() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.renewInterval()
}

// Deltas returns the entries announced at this VM after the version since, oldest
// first and at most limit. The peer acknowledges UpToVersion, from which the next
// call continues, so a lost batch is sent again.
func (r *Registry) Deltas(since uint64, limit int, now model.Instant) Batch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	first := r.changes.Back()
	for first != nil && first.Value.(*entry).announceVersion > since {
		first = first.Prev()
	}
	if first == nil {
		first = r.changes.Front()
	} else {
		first = first.Next()
	}
	batch := Batch{UpToVersion: since}
	for at := first; at != nil && limit > 0; at = at.Next() {
		e := at.Value.(*entry)
		batch.UpToVersion = e.announceVersion
		if e.changeVersion > since || !e.live {
			batch.Records = append(batch.Records, newRecord(e, now))
		} else {
			batch.Renewals = append(batch.Renewals, Renewal{
				Content: e.content, Sequence: e.upstream.Sequence, RemainingMS: remainingMS(e, now),
			})
		}
		limit--
	}
	return batch
}

// Merge applies a batch from a peer.
func (r *Registry) Merge(b Batch, now model.Instant) MergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	var m MergeResult
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

func (r *Registry) mergeRecord(record Record, now model.Instant, m *MergeResult) {
	u := record.upstream()
	if isInvalid(u, record.Withdrawn) {
		m.Rejected++
		return
	}
	u.Expires = now.Add(subtractDrift(record.RemainingMS))
	if record.Withdrawn {
		u.Expires = now
	}
	e := r.entries[instanceKey{u.Service, u.Instance}]
	alive := u.Expires > now
	if alive && (e == nil || !e.live) && r.isFull(u.Service) {
		m.Rejected++
		return
	}
	if e == nil {
		e = r.add(u, now)
		e.withdrawn = record.Withdrawn
		m.Records++
		return
	}
	merged, withdrawn, changed := mergeState(e, u, record.Withdrawn)
	if !changed {
		m.Ignored++
		return
	}
	r.replace(e, merged, withdrawn, now)
	m.Records++
}

// isInvalid reports whether a record from a peer is invalid. A withdrawal may
// have only the names and the incarnation, if the instance was never announced
// at the sender.
func isInvalid(u model.Upstream, withdrawn bool) bool {
	if withdrawn {
		return validateName(u) != nil
	}
	return validate(u) != nil
}

// mergeState merges the known state of an instance with a record of it. The
// result does not depend on the order in which records arrive.
func mergeState(e *entry, u model.Upstream, withdrawn bool) (merged model.Upstream, isWithdrawn bool, changed bool) {
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
	isWithdrawn = e.withdrawn || withdrawn
	changed = changed || merged.Leaving != known.Leaving || isWithdrawn != e.withdrawn
	return merged, isWithdrawn, changed
}

func (r *Registry) mergeRenewal(renewal Renewal, now model.Instant) bool {
	e := r.byContent[renewal.Content]
	if e == nil || renewal.Sequence <= e.upstream.Sequence {
		return false
	}
	e.upstream.Sequence = renewal.Sequence
	e.upstream.Expires = max(e.upstream.Expires, now.Add(subtractDrift(renewal.RemainingMS)))
	return true
}

// subtractDrift bounds a received remaining lease and subtracts the margin for
// clock drift. Without the margin, two VMs whose clocks differ in speed would
// extend a lease by sending it back and forth.
func subtractDrift(remainingMS int64) time.Duration {
	bounded := min(max(remainingMS, 0), int64(maxRemainingLease/time.Millisecond))
	return time.Duration(bounded-bounded/driftDivisor) * time.Millisecond
}

// maxRemainingLease bounds the remaining lease that a peer may send.
const maxRemainingLease = 10 * time.Minute
