package quorum

// ReadState is a confirmed read, which may be served once Index is applied.
type ReadState struct {
	Token uint64
	Index uint64
}

// pendingRead is a read that waits until a quorum has answered a heartbeat of
// its round or a later one.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ReadIndex requests the index that must be applied before a linearizable read
// is served. The result is returned in Ready.Reads with the token, once an
// entry of this term is committed and a quorum has confirmed that no other
// leader has been elected. Pending reads are dropped without a result when this
// voter stops leading; the caller detects that by Status.
//
// Errors: ErrNotLeader, ErrBusy.
func (r *Raft) ReadIndex(token uint64) error {
	switch {
	case r.role != RoleLeader:
		return ErrNotLeader
	case len(r.pendingReads)+len(r.deferredReads) >= maxPendingReads:
		return ErrBusy
	case r.cfg.Faults.ReadWithoutQuorum:
		r.readStates = append(r.readStates, ReadState{Token: token, Index: r.log.commit})
	case r.ownTermCommitted() || r.cfg.Faults.ReadBeforeOwnTerm:
		r.startRead(token)
	default:
		// The commit index of a new leader may be lower than the one up to
		// which its predecessor committed and answered reads.
		r.deferredReads = append(r.deferredReads, token)
	}
	return nil
}

// startRead adds the read to the next round, which is shared by all reads that
// start before the next Ready.
func (r *Raft) startRead(token uint64) {
	r.pendingReads = append(r.pendingReads, pendingRead{token: token, index: r.log.commit, round: r.readRound + 1})
	r.heartbeatDue = true
}

// startDeferredReads starts the reads that waited for the commit of an entry of
// this term.
func (r *Raft) startDeferredReads() {
	if !r.ownTermCommitted() {
		return
	}
	for _, token := range r.deferredReads {
		r.startRead(token)
	}
	r.deferredReads = nil
}

// confirmReads moves the reads whose round a quorum has answered to readStates.
func (r *Raft) confirmReads() {
	if r.role != RoleLeader || len(r.pendingReads) == 0 {
		return
	}
	round := r.quorumValue(r.ackedRound)
	n := 0
	for n < len(r.pendingReads) && r.pendingReads[n].round <= round {
		r.readStates = append(r.readStates, ReadState{Token: r.pendingReads[n].token, Index: r.pendingReads[n].index})
		n++
	}
	r.pendingReads = r.pendingReads[n:]
}

func (r *Raft) ackedRound(id ID) uint64 {
	if id == r.cfg.Self {
		return r.readRound
	}
	return r.peers[id].ackedRound
}
