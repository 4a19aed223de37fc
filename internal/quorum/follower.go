package quorum

import "fmt"

func (r *Raft) handleAppend(m Message) error {
	if err := r.skipCommitted(&m); err != nil {
		return err
	}
	if !r.log.matchesTerm(m.Index, m.LogTerm) && !r.skipsPreviousCheck(m) {
		r.sendReject(m)
		return nil
	}
	if err := r.appendMissing(m); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	if commit := min(m.Commit, last); commit > r.log.commit {
		r.commitTo(commit)
	}
	r.sendAck(m, last)
	return nil
}

// skipCommitted removes entries that are committed locally: they agree with
// every leader's log and may already be compacted.
func (r *Raft) skipCommitted(m *Message) error {
	if m.Index >= r.log.commit {
		return nil
	}
	skip := min(r.log.commit-m.Index, uint64(len(m.Entries)))
	for _, e := range m.Entries[:skip] {
		if e.Index > r.log.baseIndex && !r.log.matchesTerm(e.Index, e.Term) {
			return r.diverged(m.From, e.Index)
		}
	}
	m.Entries = m.Entries[skip:]
	m.Index = r.log.commit
	m.LogTerm, _ = r.log.term(r.log.commit)
	return nil
}

func (r *Raft) diverged(from ID, index uint64) error {
	r.recordViolation("committed never lost: %q overwrites committed entry %d", from, index)
	return fmt.Errorf("%w: entry %d from %q", ErrDiverged, index, from)
}

// skipsPreviousCheck reports whether the comparison of the preceding entry is
// skipped, which happens only with SkipPreviousCheck.
func (r *Raft) skipsPreviousCheck(m Message) bool {
	return r.cfg.Faults.SkipPreviousCheck && m.Index <= r.log.last()
}

// appendMissing appends missing entries and overwrites conflicting ones. If
// all entries match, the log is not truncated after them: the message may be
// delayed, and later entries may already be acknowledged.
func (r *Raft) appendMissing(m Message) error {
	conflict := r.log.firstConflict(m.Entries)
	if conflict == 0 {
		return nil
	}
	if conflict <= r.log.commit {
		return r.diverged(m.From, conflict)
	}
	if conflict <= r.log.last() {
		r.log.truncate(conflict)
	}
	missing := m.Entries[conflict-m.Index-1:]
	if err := r.log.append(missing); err != nil {
		return err
	}
	r.updatePeers()
	return nil
}

func (r *Raft) sendAck(m Message, index uint64) {
	r.send(Message{Kind: KindAppendReply, To: m.From, Index: index, Tick: m.Tick, SyncTicks: r.syncTicks})
}

func (r *Raft) sendReject(m Message) {
	hint, term := r.log.lastWithTermAtMost(m.Index, m.LogTerm)
	r.send(Message{
		Kind: KindAppendReply, To: m.From, Index: m.Index, Reject: true,
		Hint: hint, HintTerm: term, Tick: m.Tick,
	})
}

func (r *Raft) handleHeartbeat(m Message) error {
	if m.Commit > r.log.last() {
		r.recordViolation("committed never lost: %q says that %d is stored here, the last is %d", m.From, m.Commit, r.log.last())
		return fmt.Errorf("%w: commit %d from %q", ErrDiverged, m.Commit, m.From)
	}
	if m.Commit > r.log.commit {
		r.commitTo(m.Commit)
	}
	r.send(Message{Kind: KindHeartbeatReply, To: m.From, Tick: m.Tick, Round: m.Round, SyncTicks: r.syncTicks})
	return nil
}
