package quorum

// progressState is how the leader sends entries to a follower.
type progressState uint8

const (
	// stateProbe searches for the first entry that the follower lacks, with one
	// batch in flight at a time.
	stateProbe progressState = iota
	// stateReplicate sends batches without waiting for the acknowledgement of
	// earlier ones.
	stateReplicate
	// stateSnapshot sends a snapshot, one chunk at a time.
	stateSnapshot
)

// progress is the replication state of a follower as the leader sees it.
type progress struct {
	state progressState
	match uint64 // the follower stores all entries up to this index
	next  uint64 // the next entry to send
	// inflight holds the last index of each unacknowledged batch.
	inflight     []uint64
	probePending bool   // a probe is in flight
	sentCommit   uint64 // the highest commit index sent
	addedTick    uint64 // tick at which the follower was added
	ackedTick    uint64 // tick at which the latest answered message was sent
	ackedRound   uint64 // the latest read round that the follower answered
	prevMatch    uint64 // match at the previous heartbeat reply
	snapshot     *snapshotTransfer
	// syncTicks is the duration of its recent syncs, as last reported.
	syncTicks int
}

func newProgress(last, now uint64) *progress {
	return &progress{next: last + 1, addedTick: now}
}

// acknowledge records that the follower stores all entries up to index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= p.match {
		n++
	}
	p.inflight = p.inflight[n:]
}

// becomeProbe restarts probing at index next.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.inflight = nil
	p.probePending = false
	p.snapshot = nil
}
