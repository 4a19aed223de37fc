package quorum

// campaign starts a pre-vote, which asks whether an election would succeed, so
// that a voter that was partitioned does not raise the term and depose a
// working leader when it reconnects.
func (r *Raft) campaign() {
	if r.cfg.Faults.SkipPreVote {
		r.startElection(false)
		return
	}
	r.role = RolePreCandidate
	r.leader = ""
	r.resetElectionTimer()
	if r.recordVote(r.cfg.Self) {
		r.startElection(false)
		return
	}
	r.requestVotes(Message{Kind: KindPreVote, Term: r.hard.Term + 1})
}

// startElection raises the term and requests votes. forced marks an election
// that the leader requested for a leadership transfer.
func (r *Raft) startElection(forced bool) {
	r.hard = HardState{Term: r.hard.Term + 1, VotedFor: r.cfg.Self}
	r.role = RoleCandidate
	r.leader = ""
	r.votes = nil
	r.resetElectionTimer()
	r.requestVotes(Message{Kind: KindVote, Forced: forced})
}

// recordOwnVote counts this voter's own vote once it is stored. Otherwise a
// voter that needs no other vote would become leader before that, and after a
// crash it could vote for another candidate of the same term.
func (r *Raft) recordOwnVote(stored *HardState) {
	if r.role != RoleCandidate || stored == nil || stored.Term != r.hard.Term || stored.VotedFor != r.cfg.Self {
		return
	}
	if r.recordVote(r.cfg.Self) {
		r.becomeLeader()
	}
}

func (r *Raft) requestVotes(m Message) {
	m.Index, m.LogTerm = r.log.last(), r.log.lastTerm()
	for _, id := range r.log.voters().Members {
		if id != r.cfg.Self {
			m.To = id
			r.send(m)
		}
	}
}

// recordVote records a granted vote and reports whether a quorum has granted
// its votes.
func (r *Raft) recordVote(id ID) bool {
	if r.votes == nil {
		r.votes = map[ID]bool{}
	}
	r.votes[id] = true
	granted := 0
	members := r.log.voters()
	for _, member := range members.Members {
		if r.votes[member] {
			granted++
		}
	}
	return granted >= members.Quorum()
}

// withholdsVote reports whether this voter must not vote, because a leader
// contacted it so recently that this leader may still be Confirmed.
func (r *Raft) withholdsVote() bool {
	if r.cfg.Faults.SkipVoteHold {
		return false
	}
	if r.cfg.Faults.VoteOnlyAsVoter && !r.isVoter() {
		return true
	}
	return r.voteHold > 0 || r.role == RoleLeader
}

// upToDate reports whether a log that ends with the given entry contains every
// entry that this voter may have helped to commit.
func (r *Raft) upToDate(index, term uint64) bool {
	if r.cfg.Faults.SkipLogUpToDate {
		return true
	}
	ownTerm := r.log.lastTerm()
	return term > ownTerm || term == ownTerm && index >= r.log.last()
}

// handlePreVote answers without changing this voter's state. A voter answers
// even if its own log does not list it as a voter: the candidate's log may be
// newer. Otherwise the candidate would lack the vote of a voter that was just
// added, and with it the quorum if another voter is lost right after a repair.
func (r *Raft) handlePreVote(m Message) {
	granted := m.Term > r.hard.Term && !r.withholdsVote() && r.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	r.send(reply)
}

func (r *Raft) handleVote(m Message) {
	if !m.Forced && r.withholdsVote() {
		return
	}
	canVote := r.hard.VotedFor == "" && r.leader == "" || r.hard.VotedFor == m.From
	if r.cfg.Faults.SkipVotedFor {
		canVote = true
	}
	granted := canVote && r.role == RoleFollower && r.upToDate(m.Index, m.LogTerm)
	if granted {
		r.hard.VotedFor = m.From
		r.resetElectionTimer()
	}
	r.send(Message{Kind: KindVoteReply, To: m.From, Reject: !granted})
}

func (r *Raft) handleVoteReply(m Message) {
	if m.Reject {
		return
	}
	switch {
	case m.Kind == KindPreVoteReply && r.role == RolePreCandidate && m.Term == r.hard.Term+1:
		if r.recordVote(m.From) {
			r.startElection(false)
		}
	case m.Kind == KindVoteReply && r.role == RoleCandidate && m.Term == r.hard.Term:
		if r.recordVote(m.From) {
			r.becomeLeader()
		}
	}
}

func (r *Raft) becomeLeader() {
	r.role = RoleLeader
	r.leader = r.cfg.Self
	r.votes = nil
	r.peers = map[ID]*progress{}
	r.transfer = leadershipTransfer{}
	r.updatePeers()
	r.termStart = r.log.last() + 1
	r.uncommitted = 0
	r.heartbeatDue = true
	// Entries of earlier terms count as committed only once an entry of this
	// term is committed, and the next proposal may be a long time away.
	_, _, _ = r.appendAsLeader(EntryNoop, nil)
}

// ownTermCommitted reports whether the leader has committed an entry of its
// own term.
func (r *Raft) ownTermCommitted() bool {
	return r.log.commit >= r.termStart
}

// leadershipTransfer is a requested transfer of leadership.
type leadershipTransfer struct {
	to       ID
	deadline uint64 // tick
	sent     bool
}

// TransferLeadership transfers leadership to another voter. Proposals are
// refused until the transferee has caught up, campaigned and won, or until an
// election timeout passes. Once the transferee was told to campaign, this
// leader is no longer Confirmed, because the forced election overrides the
// other voters' refusal to vote.
//
// Errors: ErrNotLeader, ErrUnknownVoter, ErrTransferring.
func (r *Raft) TransferLeadership(to ID) error {
	switch {
	case r.role != RoleLeader:
		return ErrNotLeader
	case to == r.cfg.Self || !r.log.voters().Has(to):
		return ErrUnknownVoter
	case r.transfer.to != "":
		return ErrTransferring
	}
	r.transfer = leadershipTransfer{to: to, deadline: r.now + uint64(r.cfg.ElectionTicks)}
	r.appendDue = true
	r.continueTransfer()
	return nil
}

// continueTransfer tells the transferee to campaign once it has the whole log.
func (r *Raft) continueTransfer() {
	p := r.peers[r.transfer.to]
	if r.transfer.sent || p == nil || p.match != r.log.last() {
		return
	}
	r.transfer.sent = true
	r.send(Message{Kind: KindCampaignNow, To: r.transfer.to})
}

// tickTransfer ends a leadership transfer that exceeds its deadline. If the
// transferee was told to campaign, that message may still arrive at any time,
// so this leader steps down instead of resuming its lease.
func (r *Raft) tickTransfer() {
	if r.transfer.to == "" || r.now < r.transfer.deadline && r.peers[r.transfer.to] != nil {
		return
	}
	if r.transfer.sent {
		r.becomeFollower(r.hard.Term, "")
		return
	}
	r.transfer = leadershipTransfer{}
}

func (r *Raft) handleCampaignNow() {
	if r.role != RoleLeader && r.mayCampaign() {
		r.startElection(true)
	}
}
