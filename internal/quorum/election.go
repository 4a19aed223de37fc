package quorum

// campaign starts an election. It first asks whether it would succeed
// (pre-vote), so that a voter that was cut off does not raise the term and
// depose a working leader when it comes back.
func (r *Raft) campaign() {
	if r.cfg.Rules.SkipPreVote {
		r.elect(false)
		return
	}
	r.role = RolePreCandidate
	r.leader = ""
	r.resetElectionTimer()
	if r.countVote(r.cfg.Self) {
		r.elect(false)
		return
	}
	r.askVotes(Message{Kind: KindPreVote, Term: r.hard.Term + 1})
}

// elect raises the term and asks for votes. Forced marks a campaign that the
// leader asked for.
func (r *Raft) elect(forced bool) {
	r.hard = HardState{Term: r.hard.Term + 1, VotedFor: r.cfg.Self}
	r.role = RoleCandidate
	r.leader = ""
	r.votes = nil
	r.resetElectionTimer()
	r.askVotes(Message{Kind: KindVote, Forced: forced})
}

// countOwnVote counts the own vote once it is stored. A voter that needs no
// other vote would else lead before that, and after a crash could vote for
// another candidate of the same term.
func (r *Raft) countOwnVote(stored *HardState) {
	if r.role != RoleCandidate || stored == nil || stored.Term != r.hard.Term || stored.VotedFor != r.cfg.Self {
		return
	}
	if r.countVote(r.cfg.Self) {
		r.becomeLeader()
	}
}

func (r *Raft) askVotes(m Message) {
	m.Index, m.LogTerm = r.log.last(), r.log.lastTerm()
	for _, id := range r.log.voters().Members {
		if id != r.cfg.Self {
			m.To = id
			r.send(m)
		}
	}
}

// countVote adds a granted vote and says whether a quorum granted theirs.
func (r *Raft) countVote(id ID) bool {
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

// holdsVote says whether a leader was heard so lately that it may still be
// Confirmed.
func (r *Raft) holdsVote() bool {
	if r.cfg.Rules.SkipVoteHold {
		return false
	}
	if r.cfg.Rules.VoteOnlyAsVoter && !r.isVoter() {
		return true
	}
	return r.hold > 0 || r.role == RoleLeader
}

// upToDate says whether a log that ends with the given entry holds all that
// this one may have helped to commit.
func (r *Raft) upToDate(index, term uint64) bool {
	if r.cfg.Rules.SkipLogUpToDate {
		return true
	}
	ownTerm := r.log.lastTerm()
	return term > ownTerm || term == ownTerm && index >= r.log.last()
}

// handlePreVote answers without a change of its own state. A voter answers
// even when its own log does not name it as a voter: the candidate's log may
// be newer, and a voter just added would otherwise leave the candidate short
// of a quorum when another voter is lost right after the repair.
func (r *Raft) handlePreVote(m Message) {
	granted := m.Term > r.hard.Term && !r.holdsVote() && r.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	r.send(reply)
}

func (r *Raft) handleVote(m Message) {
	if !m.Forced && r.holdsVote() {
		return
	}
	free := r.hard.VotedFor == "" && r.leader == "" || r.hard.VotedFor == m.From
	if r.cfg.Rules.SkipVotedFor {
		free = true
	}
	granted := free && r.role == RoleFollower && r.upToDate(m.Index, m.LogTerm)
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
		if r.countVote(m.From) {
			r.elect(false)
		}
	case m.Kind == KindVoteReply && r.role == RoleCandidate && m.Term == r.hard.Term:
		if r.countVote(m.From) {
			r.becomeLeader()
		}
	}
}

func (r *Raft) becomeLeader() {
	r.role = RoleLeader
	r.leader = r.cfg.Self
	r.votes = nil
	r.peers = map[ID]*progress{}
	r.transfer = transfer{}
	r.votersChanged()
	r.termStart = r.log.last() + 1
	r.uncommitted = 0
	r.beatDue = true
	// An entry of the own term must be committed before entries of earlier
	// terms count as committed, and nobody may propose one for a long time.
	_, _, _ = r.appendOwn(EntryNoop, nil)
}

// ownTermCommitted says whether the leader has committed its first entry.
func (r *Raft) ownTermCommitted() bool {
	return r.log.commit >= r.termStart
}

// transfer is a handover of leadership that was asked for.
type transfer struct {
	to       ID
	deadline uint64 // tick
	sent     bool
}

// TransferLeadership hands leadership to another voter: proposals are refused
// until it has caught up, campaigns and wins, or an election timeout passes.
// Once the successor was told to campaign this leader is not Confirmed any
// more, since the successor's campaign overrides the others' refusal to vote.
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
	r.transfer = transfer{to: to, deadline: r.now + uint64(r.cfg.ElectionTicks)}
	r.sendDue = true
	r.continueTransfer()
	return nil
}

// continueTransfer tells the successor to campaign once it has the whole log.
func (r *Raft) continueTransfer() {
	p := r.peers[r.transfer.to]
	if r.transfer.sent || p == nil || p.match != r.log.last() {
		return
	}
	r.transfer.sent = true
	r.send(Message{Kind: KindCampaignNow, To: r.transfer.to})
}

// tickTransfer ends a handover that takes too long. When the successor was
// told to campaign the message may still arrive at any time, so this leader
// does not take its lease up again but steps down.
func (r *Raft) tickTransfer() {
	if r.transfer.to == "" || r.now < r.transfer.deadline && r.peers[r.transfer.to] != nil {
		return
	}
	if r.transfer.sent {
		r.becomeFollower(r.hard.Term, "")
		return
	}
	r.transfer = transfer{}
}

func (r *Raft) handleCampaignNow() {
	if r.role != RoleLeader && r.mayCampaign() {
		r.elect(true)
	}
}
