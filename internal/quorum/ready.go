package quorum

import "slices"

// Ready is the work that the caller must do, in this order: store Hard,
// Snapshot and Entries durably; send Messages; restore Snapshot and apply
// Committed to the state machine; answer Reads once their index is applied;
// call Advance.
//
// Only messages whose RequiresSync is false may be sent before storing is done.
type Ready struct {
	// Hard is nil if there is no hard state to store.
	Hard *HardState
	// Snapshot replaces the whole log and the state machine. The Entries of
	// this Ready follow it.
	Snapshot *Snapshot
	// Entries may overwrite stored entries: storage drops its entries from the
	// index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// HasReady reports whether Ready would return any work. It is false between
// Ready and Advance.
func (r *Raft) HasReady() bool {
	if r.awaitingAdvance {
		return false
	}
	return r.heartbeatDue || r.appendDue || r.toInstall != nil || len(r.messages) > 0 || len(r.readStates) > 0 ||
		r.termOrVoteChanged() || r.log.stable < r.log.last() || r.log.applying < r.log.commit
}

// Ready returns the pending work. Until Advance is called, further calls return
// an empty Ready. Its slices must not be modified.
func (r *Raft) Ready() Ready {
	if r.awaitingAdvance {
		return Ready{}
	}
	if r.role == RoleLeader {
		r.flush()
	}
	r.dropOutdatedMessages()
	rd := Ready{
		Snapshot:  r.toInstall,
		Entries:   r.log.unstable(),
		Messages:  r.messages,
		Committed: r.log.nextCommitted(),
		Reads:     r.readStates,
	}
	r.messages, r.readStates = nil, nil
	r.log.applying = max(r.log.applying, r.log.commit)
	r.omitUnsyncedEntries(&rd)
	r.addHardState(&rd)
	r.awaitingAdvance = true
	return rd
}

// dropOutdatedMessages drops queued messages of an earlier term that depend on
// stored state: that state is no longer going to be stored. To the protocol
// these are lost messages.
func (r *Raft) dropOutdatedMessages() {
	if !r.termOrVoteChanged() {
		return
	}
	r.messages = slices.DeleteFunc(r.messages, func(m Message) bool {
		return m.RequiresSync() && m.Term < r.hard.Term
	})
}

func (r *Raft) termOrVoteChanged() bool {
	return r.hard.Term != r.prevHard.Term || r.hard.VotedFor != r.prevHard.VotedFor
}

// addHardState adds the hard state if term or vote changed or if the Ready
// stores something else: a change of the commit index alone does not justify a
// sync.
func (r *Raft) addHardState(rd *Ready) {
	if !r.termOrVoteChanged() && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return
	}
	if r.cfg.Faults.SkipVoteSync && len(rd.Messages) > 0 && len(rd.Entries) == 0 {
		return
	}
	r.prevHard = r.hard
	// The commit index must not cover entries of this Ready: if the hard state
	// became durable and the entries did not, a restart would treat older
	// entries at the same indexes as committed.
	rd.Hard = &HardState{Term: r.hard.Term, VotedFor: r.hard.VotedFor, Commit: min(r.log.commit, r.log.stable)}
}

// omitUnsyncedEntries implements SkipAppendSync: messages are sent one Ready
// before the entries that they acknowledge are stored.
func (r *Raft) omitUnsyncedEntries(rd *Ready) {
	if r.cfg.Faults.SkipAppendSync && len(rd.Messages) > 0 && r.role == RoleFollower {
		rd.Entries = nil
	}
}

// Advance reports that all work of the Ready is done.
func (r *Raft) Advance(rd Ready) {
	r.awaitingAdvance = false
	if rd.Snapshot != nil {
		r.log.applied = max(r.log.applied, rd.Snapshot.Meta.Index)
		if r.toInstall == rd.Snapshot {
			r.toInstall = nil
		}
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stableTo(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = max(r.log.applied, rd.Committed[n-1].Index)
	}
	r.recordOwnVote(rd.Hard)
	r.advanceCommit()
}
