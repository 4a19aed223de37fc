package quorum

// Status is the protocol state of a voter.
type Status struct {
	Self   ID
	Role   Role
	Term   uint64
	Leader ID // empty if unknown
	// Commit, Applied, First and Last are indexes of the log. Applied is the
	// last applied index that Advance reported; First is the oldest entry in
	// memory.
	Commit  uint64
	Applied uint64
	First   uint64
	Last    uint64
	// Voters is the set in force; VotersPending reports that it is not
	// committed yet.
	Voters        Voters
	VotersPending bool
	// Ready reports that this leader has committed an entry of its own term, so
	// that it serves reads and accepts voter changes.
	Ready bool
	// Confirmed reports that this leader holds a valid lease: a quorum answered
	// it recently.
	Confirmed bool
	// Transferring reports that a leadership transfer is in progress.
	Transferring bool
	// Granted is the number of voters, itself included, that granted this
	// candidate their vote or pre-vote; 0 in other roles.
	Granted int
}

// PeerStatus is the replication state of another voter as the leader sees it.
type PeerStatus struct {
	ID    ID
	Match uint64
	// UnresponsiveTicks is the number of ticks since the latest message that it
	// answered was sent, or since it was added.
	UnresponsiveTicks uint64
	// Snapshot reports that a snapshot is being sent to it.
	Snapshot bool
	// SyncTicks is the duration of its recent syncs, 0 while its disk is fast.
	SyncTicks int
}

// Status returns the current state of the voter.
func (r *Raft) Status() Status {
	return Status{
		Self: r.cfg.Self, Role: r.role, Term: r.hard.Term, Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied, First: r.log.baseIndex + 1, Last: r.log.last(),
		Voters: r.log.voters(), VotersPending: r.voterChangePending(),
		Ready:     r.role == RoleLeader && r.ownTermCommitted(),
		Confirmed: r.confirmed(), Transferring: r.transfer.to != "",
		Granted: len(r.votes),
	}
}

// Peers returns the other voters as the leader sees them, nil if this voter
// does not lead.
func (r *Raft) Peers() []PeerStatus {
	if r.role != RoleLeader {
		return nil
	}
	var peers []PeerStatus
	for _, id := range r.log.voters().Members {
		p := r.peers[id]
		if p == nil {
			continue
		}
		unresponsive := r.now - r.ackedOrAddedTick(id)
		peers = append(peers, PeerStatus{ID: id, Match: p.match, UnresponsiveTicks: unresponsive, Snapshot: p.state == stateSnapshot, SyncTicks: p.syncTicks})
	}
	return peers
}

// Entries returns committed entries from an index on, limited to maxBytes but
// at least one, for followers that do not vote.
//
// Errors: ErrUnknownIndex if the index is compacted and a snapshot is needed.
func (r *Raft) Entries(from uint64, maxBytes int) ([]Entry, error) {
	if from <= r.log.baseIndex {
		return nil, ErrUnknownIndex
	}
	all := r.log.slice(from, r.log.commit)
	size := 0
	for i := range all {
		size += entrySize(&all[i])
		if size > maxBytes && i > 0 {
			return all[:i:i], nil
		}
	}
	return all, nil
}
