package quorum

// Propose appends a command and returns its index and term. The command takes
// effect only if an entry with exactly that index and term is committed. The
// data is retained and must not be modified.
//
// Errors: ErrNotLeader, ErrTransferring, ErrBusy.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	switch {
	case r.role != RoleLeader:
		return 0, 0, ErrNotLeader
	case r.transfer.to != "":
		return 0, 0, ErrTransferring
	case r.uncommitted+len(data) > r.cfg.MaxUncommittedBytes && r.uncommitted > 0:
		return 0, 0, ErrBusy
	}
	return r.appendAsLeader(EntryCommand, data)
}

func (r *Raft) appendAsLeader(kind EntryKind, data []byte) (index, term uint64, err error) {
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: kind, Data: data}
	if err := r.log.append([]Entry{e}); err != nil {
		return 0, 0, err
	}
	r.uncommitted += entrySize(&e)
	r.appendDue = true
	if kind == EntryVoters {
		r.updatePeers()
	}
	r.advanceCommit()
	return e.Index, e.Term, nil
}

// flush queues heartbeats and missing entries for the followers. It runs once
// per Ready, so that all proposals since the previous Ready are sent in one
// batch.
func (r *Raft) flush() {
	if r.heartbeatDue {
		r.sendHeartbeats()
	}
	r.confirmReads()
	if !r.appendDue {
		return
	}
	r.appendDue = false
	for _, id := range r.log.voters().Members {
		if p := r.peers[id]; p != nil {
			r.sendAppends(id, p)
		}
	}
}

func (r *Raft) sendHeartbeats() {
	r.heartbeatDue = false
	r.heartbeatIn = r.cfg.HeartbeatTicks
	if n := len(r.pendingReads); n > 0 {
		r.readRound = max(r.readRound, r.pendingReads[n-1].round)
	}
	for _, id := range r.log.voters().Members {
		p := r.peers[id]
		if p == nil {
			continue
		}
		commit := min(p.match, r.log.commit)
		p.sentCommit = max(p.sentCommit, commit)
		r.send(Message{Kind: KindHeartbeat, To: id, Commit: commit, Tick: r.now, Round: r.readRound})
	}
}

func (r *Raft) sendAppends(id ID, p *progress) {
	switch p.state {
	case stateProbe:
		if !p.probePending {
			p.probePending = r.sendAppend(id, p)
		}
	case stateReplicate:
		for len(p.inflight) < r.cfg.MaxInflight && p.next <= r.log.last() {
			if !r.sendAppend(id, p) {
				return
			}
		}
		// Followers apply entries once they receive the commit index; without
		// this message they would wait for the next entry or heartbeat.
		if !r.cfg.PiggybackCommit && p.sentCommit < r.log.commit && p.next > r.log.last() {
			r.sendAppend(id, p)
		}
	case stateSnapshot:
	}
}

// sendAppend sends the next batch, which may be empty. It returns false if the
// follower needs a snapshot instead.
func (r *Raft) sendAppend(id ID, p *progress) bool {
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		r.startSnapshotTransfer(id, p)
		return false
	}
	entries := r.log.batch(p.next, r.cfg.MaxBatchBytes)
	p.sentCommit = r.log.commit
	r.send(Message{
		Kind: KindAppend, To: id, Index: previous, LogTerm: term,
		Entries: entries, Commit: r.log.commit, Tick: r.now,
	})
	if n := len(entries); n > 0 && p.state == stateReplicate {
		p.next = entries[n-1].Index + 1
		p.inflight = append(p.inflight, entries[n-1].Index)
	}
	return true
}

// recordReply records the reply to a message that this leader sent at m.Tick.
// It returns the sender's progress, nil if the reply must be ignored.
func (r *Raft) recordReply(m Message) *progress {
	p := r.peers[m.From]
	if r.role != RoleLeader || p == nil {
		return nil
	}
	if m.Tick > r.now {
		return nil
	}
	p.ackedTick = max(p.ackedTick, m.Tick)
	p.syncTicks = m.SyncTicks
	return p
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.recordReply(m)
	if p == nil {
		return
	}
	r.appendDue = true
	if m.Reject {
		r.handleReject(m, p)
		return
	}
	if m.Index > r.log.last() {
		r.recordViolation("log matching: %q acknowledges %d, the leader's last is %d", m.From, m.Index, r.log.last())
		return
	}
	p.acknowledge(m.Index)
	r.resumeSending(p)
	r.advanceCommit()
	if r.role == RoleLeader {
		r.continueTransfer()
	}
}

// resumeSending updates how entries are sent to a follower after it
// acknowledged some.
func (r *Raft) resumeSending(p *progress) {
	switch p.state {
	case stateProbe:
		p.probePending = false
		p.state = stateReplicate
	case stateSnapshot:
		if p.match >= min(r.log.baseIndex, p.snapshot.snapshot.Meta.Index) {
			p.becomeProbe(p.match + 1)
		}
	case stateReplicate:
	}
}

// handleReject searches backwards, one term at a time, for an entry that both
// logs contain.
func (r *Raft) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.state == stateProbe && m.Index != p.next-1 || p.state == stateSnapshot {
		return
	}
	index, _ := r.log.lastWithTermAtMost(m.Hint, m.HintTerm)
	p.becomeProbe(min(index, m.Index-1) + 1)
}

func (r *Raft) handleHeartbeatReply(m Message) {
	p := r.recordReply(m)
	if p == nil {
		return
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	r.confirmReads()
	r.retryLostAppend(m.From, p)
}

// retryLostAppend resends entries or a snapshot chunk if the follower lacks
// entries and made no progress since its previous heartbeat reply: the message
// or its reply was lost.
func (r *Raft) retryLostAppend(id ID, p *progress) {
	noProgress := p.match == p.prevMatch
	p.prevMatch = p.match
	switch {
	case p.state == stateSnapshot:
		r.resendOverdueChunk(id, p)
	case p.match < r.log.last() && (noProgress || p.state == stateProbe):
		p.becomeProbe(p.match + 1)
		r.appendDue = true
	}
}

// advanceCommit commits the entries that a quorum stores. The leader counts
// itself only up to its last durable entry. Entries of earlier terms are
// committed only together with an entry of this term: even if a quorum stores
// an old entry, a voter with a more recent log may be elected and overwrite it.
func (r *Raft) advanceCommit() {
	if r.role != RoleLeader {
		return
	}
	index := r.quorumValue(r.matchOf)
	term, ok := r.log.term(index)
	if index <= r.log.commit || !ok || term != r.hard.Term && !r.cfg.Faults.CommitOldTerm {
		return
	}
	r.commitTo(index)
	r.appendDue = true
	r.startDeferredReads()
	r.stepDownIfRemoved()
}

// matchOf returns the last index that a voter is known to store durably.
func (r *Raft) matchOf(id ID) uint64 {
	if id == r.cfg.Self {
		return r.log.stable
	}
	return r.peers[id].match
}

func (r *Raft) commitTo(index uint64) {
	if r.role == RoleLeader {
		for _, e := range r.log.slice(r.log.commit+1, index) {
			r.uncommitted = max(0, r.uncommitted-entrySize(&e))
		}
	}
	r.log.commit = index
}

// stepDownIfRemoved steps down once the voter change that removes this leader
// is committed. Until then it leads without counting itself.
func (r *Raft) stepDownIfRemoved() {
	if r.isVoter() || r.voterChangePending() {
		return
	}
	r.flush()
	r.becomeFollower(r.hard.Term, "")
}

// noQuorumWithin reports whether no quorum answered a message that was sent
// within the last ticks. A voter that was just added counts as answering.
func (r *Raft) noQuorumWithin(ticks int) bool {
	return r.quorumValue(r.ackedOrAddedTick)+uint64(ticks) <= r.now
}

// ackedOrAddedTick returns the tick of ackedTick, or the tick at which the voter
// was added if that is later.
func (r *Raft) ackedOrAddedTick(id ID) uint64 {
	if id == r.cfg.Self {
		return r.now
	}
	return max(r.peers[id].ackedTick, r.peers[id].addedTick)
}

// ackedTick returns the tick at which the latest message that the voter
// answered was sent.
func (r *Raft) ackedTick(id ID) uint64 {
	if id == r.cfg.Self {
		return r.now
	}
	return r.peers[id].ackedTick
}

// confirmed reports whether the leader's lease is valid: a quorum answered so
// recently that no other voter can have become leader.
func (r *Raft) confirmed() bool {
	switch {
	case r.role != RoleLeader:
		return false
	case r.cfg.Faults.SkipLease:
		return true
	case r.transfer.sent && !r.cfg.Faults.LeaseAfterTransfer:
		return false
	}
	return r.quorumValue(r.ackedTick)+uint64(r.cfg.LeaseTicks) > r.now
}
