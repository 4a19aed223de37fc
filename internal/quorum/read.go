package quorum

// ReadState says that a read may be served once Index is applied.
type ReadState struct {
	Token uint64
	Index uint64
}

// pendingRead waits until a quorum answered a heartbeat of its round or a later one.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ReadIndex asks for the index that a linearizable read must see. The answer
// comes in Ready.Reads with the token, after a quorum confirmed that no other
// leader has been elected, and an entry of this term is committed. Reads that
// wait when this voter ceases to lead are dropped without an answer; the
// caller sees it by Status.
//
// Errors: ErrNotLeader, ErrBusy.
func (r *Raft) ReadIndex(token uint64) error {
	switch {
	case r.role != RoleLeader:
		return ErrNotLeader
	case len(r.reads)+len(r.waiting) >= maxPendingReads:
		return ErrBusy
	case r.cfg.Rules.ReadWithoutQuorum:
		r.readStates = append(r.readStates, ReadState{Token: token, Index: r.log.commit})
	case r.ownTermCommitted() || r.cfg.Rules.ReadBeforeOwnTerm:
		r.startRead(token)
	default:
		// The commit index of a new leader may lie before what its
		// predecessor committed and answered.
		r.waiting = append(r.waiting, token)
	}
	return nil
}

// startRead lets the read wait for the next round, which all reads until the
// next Ready share.
func (r *Raft) startRead(token uint64) {
	r.reads = append(r.reads, pendingRead{token: token, index: r.log.commit, round: r.round + 1})
	r.beatDue = true
}

func (r *Raft) startWaitingReads() {
	if !r.ownTermCommitted() {
		return
	}
	for _, token := range r.waiting {
		r.startRead(token)
	}
	r.waiting = nil
}

func (r *Raft) confirmReads() {
	if r.role != RoleLeader || len(r.reads) == 0 {
		return
	}
	round := r.quorumValue(r.answeredRound)
	n := 0
	for n < len(r.reads) && r.reads[n].round <= round {
		r.readStates = append(r.readStates, ReadState{Token: r.reads[n].token, Index: r.reads[n].index})
		n++
	}
	r.reads = r.reads[n:]
}

func (r *Raft) answeredRound(id ID) uint64 {
	if id == r.cfg.Self {
		return r.round
	}
	return r.peers[id].round
}
