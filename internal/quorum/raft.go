package quorum

import "fmt"

// Role is the role of a voter in its current term.
type Role uint8

const (
	// RoleFollower stores the entries that a leader sends.
	RoleFollower Role = iota
	// RolePreCandidate asks for pre-votes: whether it would win an election.
	RolePreCandidate
	// RoleCandidate asks for votes.
	RoleCandidate
	// RoleLeader appends entries and replicates them.
	RoleLeader
)

// String returns the name of the role in logs and in the status.
func (r Role) String() string {
	switch r {
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	default:
		return "follower"
	}
}

// Raft is the protocol state of one voter. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	role Role
	// hard is the current term and vote; prevHard is the one last handed out
	// to be stored. Their Commit is unused: log.commit is the commit index.
	hard     HardState
	prevHard HardState
	leader   ID
	log      *entryLog

	now             uint64 // ticks; starts above 0, so that tick 0 is long past
	electionElapsed int    // ticks since the election timer was reset
	electionTimeout int    // election timeout in ticks, randomized
	voteHold        int    // remaining ticks during which this voter refuses to vote

	votes map[ID]bool // granted votes or pre-votes
	// syncTicks is the duration of recent local syncs, 0 while the disk is fast.
	syncTicks int

	// Leader state.
	peers         map[ID]*progress
	termStart     uint64 // index of the first entry of the term
	heartbeatIn   int    // ticks until the next heartbeat
	heartbeatDue  bool
	appendDue     bool
	uncommitted   int // bytes
	transfer      leadershipTransfer
	readRound     uint64
	pendingReads  []pendingRead
	deferredReads []uint64 // read tokens that wait for the commit of an entry of this term

	// snapshot is the local snapshot to send, incoming the one being received,
	// and toInstall the received one that the caller must install.
	snapshot  *outgoingSnapshot
	incoming  *incomingSnapshot
	toInstall *Snapshot

	messages        []Message
	readStates      []ReadState
	awaitingAdvance bool // Ready was called and Advance was not called since
	violations      []string
	scratch         []uint64 // buffer reused by quorumValue
}

// New returns a voter that continues from the stored state: the hard state,
// the metadata of the latest snapshot and the entries of the log, which may
// begin before the snapshot's index. It returns ErrCorrupt if the stored state
// is inconsistent.
func New(cfg Config, hard HardState, meta SnapshotMeta, entries []Entry) (*Raft, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	log, err := newLog(meta, entries, hard.Commit)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > max(hard.Term, meta.Term) {
		return nil, fmt.Errorf("%w: last entry is of term %d, the stored term is %d", ErrCorrupt, log.lastTerm(), hard.Term)
	}
	log.applied = meta.Index
	hard.Commit = 0
	r := &Raft{cfg: cfg, hard: hard, prevHard: hard, log: log, now: uint64(2 * cfg.ElectionTicks)}
	if r.hard.Term < meta.Term {
		r.hard = HardState{Term: meta.Term}
	}
	// This voter may have answered a heartbeat just before it stopped. The
	// leader's lease relies on that answer, so this voter grants no vote until
	// the lease has expired. Otherwise a quick restart would allow a second
	// leader to be elected while the first is still Confirmed.
	if !cfg.Faults.SkipRestartHold {
		r.voteHold = cfg.ElectionTicks
	}
	r.resetElectionTimer()
	return r, nil
}

// LogDropped reports whether New dropped entries that the snapshot replaces,
// because the process crashed after it saved a received snapshot and before it
// restarted the stored log at the snapshot. The caller must restart the stored
// log at the snapshot's index before it stores anything else. Otherwise new
// entries would follow the old ones, and the next restart would find that the
// old ones contradict the snapshot and drop the new ones as well, although
// they were acknowledged.
func (r *Raft) LogDropped() bool {
	return r.log.dropped
}

// Tick advances the logical clock by one tick. The caller uses a monotonic
// clock that continues while the process is suspended, and delivers all missed
// ticks before it calls Step or uses Status.
func (r *Raft) Tick() {
	r.now++
	if r.voteHold > 0 {
		r.voteHold--
	}
	r.electionElapsed++
	if r.role == RoleLeader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout+r.slowSyncAllowance() && r.mayCampaign() {
		r.campaign()
	}
}

func (r *Raft) tickLeader() {
	if r.noQuorumWithin(r.cfg.ElectionTicks+r.slowSyncAllowance()) && !r.cfg.Faults.SkipCheckQuorum {
		// Check quorum: a leader that can send but not receive would otherwise
		// keep the other voters from electing a new one.
		r.becomeFollower(r.hard.Term, "")
		return
	}
	r.tickTransfer()
	if r.role != RoleLeader {
		return
	}
	r.heartbeatIn--
	if r.heartbeatIn <= 0 {
		r.heartbeatDue = true
	}
}

// SetSyncTicks sets the duration of this voter's recent syncs, 0 while its
// disk is fast. Replies report it to the leader.
func (r *Raft) SetSyncTicks(ticks int) {
	r.syncTicks = max(ticks, 0)
}

// maxSlowSyncAllowance limits the allowance of a voter with a slow disk, in
// election timeouts. If only its disk is slow, the other voters replace a lost
// leader, but where few voters are left this voter may be needed for that.
const maxSlowSyncAllowance = 2

// slowSyncAllowance returns the additional ticks that a voter waits for a
// leader, and a leader for its followers, while the voter's own disk is slow.
//
// If all voters sync to one slow storage, a leader sends nothing while it
// syncs, and its followers do not answer heartbeats while they sync. Each
// election costs every voter another sync, and the next leader is no faster.
// The symptoms are several changes of leader per second and requests that are
// refused as not run throughout. A reply takes one sync of the leader and one
// of the follower, hence twice the sync time. The allowance applies only to
// campaigns and to a leader's check quorum: leases and the time during which
// votes are withheld are unchanged, so two leaders still cannot be Confirmed
// at the same time.
func (r *Raft) slowSyncAllowance() int {
	return min(2*r.syncTicks, maxSlowSyncAllowance*r.cfg.ElectionTicks)
}

func (r *Raft) resetElectionTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.cfg.ElectionTicks + r.cfg.Random(r.cfg.ElectionTicks)
}

func (r *Raft) isVoter() bool {
	return r.log.voters().Has(r.cfg.Self)
}

// mayCampaign reports whether this voter may start an election. A voter whose
// removal is appended but not committed may: it may be the only one that
// stores the removal. The others then need its vote but cannot get it, because
// their logs are not up to date, and no leader could be elected.
func (r *Raft) mayCampaign() bool {
	return r.isVoter() || !r.cfg.Faults.SkipRemovedCampaign && r.voterChangePending() && r.log.votersAt(r.log.votersIndex()-1).Has(r.cfg.Self)
}

// Step processes a message from another voter. ErrWrongAddressee and
// ErrBadMessage mean that it was dropped; after ErrDiverged the caller must
// stop this voter.
func (r *Raft) Step(m Message) error {
	if m.To != r.cfg.Self {
		return ErrWrongAddressee
	}
	if err := m.validate(); err != nil {
		return err
	}
	if m.Term < r.hard.Term && !r.cfg.Faults.SkipTermCheck {
		r.replyStale(m)
		return nil
	}
	if m.Term > r.hard.Term && !r.enterHigherTerm(m) {
		return nil
	}
	return r.dispatch(m)
}

// enterHigherTerm handles the higher term of a message. It returns false if
// the message must be ignored.
func (r *Raft) enterHigherTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote:
		return true
	case KindPreVoteReply:
		if !m.Reject {
			return true
		}
	case KindVote:
		if !m.Forced && r.withholdsVote() {
			return false
		}
	}
	r.becomeFollower(m.Term, "")
	return true
}

// replyStale answers a message of an earlier term, so that a leader or
// candidate that was partitioned learns of the current term.
func (r *Raft) replyStale(m Message) {
	switch m.Kind {
	case KindAppend, KindHeartbeat, KindSnapshot:
		r.send(Message{Kind: KindStale, To: m.From})
	case KindPreVote:
		r.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	case KindVote:
		r.send(Message{Kind: KindVoteReply, To: m.From, Reject: true})
	}
}

func (r *Raft) dispatch(m Message) error {
	if m.fromLeader() && !r.acceptLeader(m) {
		return nil
	}
	switch m.Kind {
	case KindPreVote:
		r.handlePreVote(m)
	case KindVote:
		r.handleVote(m)
	case KindPreVoteReply, KindVoteReply:
		r.handleVoteReply(m)
	case KindAppend:
		return r.handleAppend(m)
	case KindHeartbeat:
		return r.handleHeartbeat(m)
	case KindSnapshot:
		return r.handleSnapshot(m)
	case KindAppendReply:
		r.handleAppendReply(m)
	case KindHeartbeatReply:
		r.handleHeartbeatReply(m)
	case KindSnapshotReply:
		r.handleSnapshotReply(m)
	case KindCampaignNow:
		r.handleCampaignNow()
	}
	return nil
}

// acceptLeader records the sender as leader of this term. It returns false if
// the term has another leader.
func (r *Raft) acceptLeader(m Message) bool {
	if m.Term == r.hard.Term && r.leader != "" && r.leader != m.From {
		r.recordViolation("one leader a term: %q and %q both lead term %d", r.leader, m.From, r.hard.Term)
		return false
	}
	if r.role != RoleFollower {
		r.becomeFollower(r.hard.Term, m.From)
	}
	if m.Term < r.hard.Term {
		return true // only with SkipTermCheck
	}
	r.leader = m.From
	r.electionElapsed = 0
	r.voteHold = r.cfg.ElectionTicks
	return true
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
	}
	r.role = RoleFollower
	r.leader = leader
	r.votes = nil
	r.clearLeaderState()
	r.resetElectionTimer()
}

func (r *Raft) clearLeaderState() {
	r.peers = nil
	r.transfer = leadershipTransfer{}
	r.pendingReads, r.deferredReads = nil, nil
	r.heartbeatDue, r.appendDue = false, false
	r.uncommitted = 0
}

// send queues a message. It sets the current term if the message has no term.
func (r *Raft) send(m Message) {
	m.From = r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) recordViolation(format string, args ...any) {
	const maxRecorded = 16
	if len(r.violations) < maxRecorded {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}
