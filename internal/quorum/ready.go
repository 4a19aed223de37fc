package quorum

import "slices"

// Ready is what the caller must do, in this order: store Hard, Snapshot and
// Entries durably; send Messages; restore Snapshot and apply Committed to the
// state machine; answer Reads once their index is applied; call Advance.
//
// Only messages whose Promises is false may be sent before storing is done.
type Ready struct {
	// Hard is nil when it need not be stored.
	Hard *HardState
	// Snapshot replaces the whole log and the state machine. Entries of this
	// Ready come after it.
	Snapshot *Snapshot
	// Entries may overwrite earlier indexes: storage drops what it has from
	// the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// HasReady says whether Ready would return anything. It is false between
// Ready and Advance.
func (r *Raft) HasReady() bool {
	if r.outstanding {
		return false
	}
	return r.beatDue || r.sendDue || r.install != nil || len(r.messages) > 0 || len(r.readStates) > 0 ||
		r.termChanged() || r.log.stable < r.log.last() || r.log.handed < r.log.commit
}

// Ready hands out the work that has come up. Until Advance it hands out
// nothing more. Its slices must not be changed.
func (r *Raft) Ready() Ready {
	if r.outstanding {
		return Ready{}
	}
	if r.role == RoleLeader {
		r.flush()
	}
	r.dropOutdated()
	rd := Ready{
		Snapshot:  r.install,
		Entries:   r.log.unstable(),
		Messages:  r.messages,
		Committed: r.log.toApply(),
		Reads:     r.readStates,
	}
	r.messages, r.readStates = nil, nil
	r.log.handed = max(r.log.handed, r.log.commit)
	r.withholdUnsynced(&rd)
	r.addHard(&rd)
	r.outstanding = true
	return rd
}

// dropOutdated drops promises of an earlier term that were not handed out
// before the term rose. What they promise is not stored as such any more, and
// to the protocol they are lost messages.
func (r *Raft) dropOutdated() {
	if !r.termChanged() {
		return
	}
	r.messages = slices.DeleteFunc(r.messages, func(m Message) bool {
		return m.Promises() && m.Term < r.hard.Term
	})
}

func (r *Raft) termChanged() bool {
	return r.hard.Term != r.saved.Term || r.hard.VotedFor != r.saved.VotedFor
}

// addHard hands out the hard state when term or vote changed, and else only
// when something is stored anyhow: a commit index alone is not worth a sync.
func (r *Raft) addHard(rd *Ready) {
	if !r.termChanged() && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return
	}
	if r.cfg.Rules.SkipVoteSync && len(rd.Messages) > 0 && len(rd.Entries) == 0 {
		return
	}
	r.saved = r.hard
	// The commit index must not count entries of this Ready: should the hard
	// state become durable and the entries not, a restart would take older
	// entries at the same indexes for committed.
	rd.Hard = &HardState{Term: r.hard.Term, VotedFor: r.hard.VotedFor, Commit: min(r.log.commit, r.log.stable)}
}

// withholdUnsynced is the faulty rule SkipAppendSync: messages leave one
// Ready before the entries that they acknowledge are stored.
func (r *Raft) withholdUnsynced(rd *Ready) {
	if r.cfg.Rules.SkipAppendSync && len(rd.Messages) > 0 && r.role == RoleFollower {
		rd.Entries = nil
	}
}

// Advance says that everything in the Ready is done.
func (r *Raft) Advance(rd Ready) {
	r.outstanding = false
	if rd.Snapshot != nil {
		r.log.applied = max(r.log.applied, rd.Snapshot.Meta.Index)
		if r.install == rd.Snapshot {
			r.install = nil
		}
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stableTo(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = max(r.log.applied, rd.Committed[n-1].Index)
	}
	r.countOwnVote(rd.Hard)
	r.advanceCommit()
}
