package quorum

import "fmt"

// Defaults of the optional fields of Config; all sizes are in bytes.
const (
	defaultMaxBatchBytes    = 256 << 10
	defaultMaxInflight      = 16
	defaultSnapshotChunk    = 256 << 10
	defaultMaxUncommitted   = 8 << 20
	defaultMaxSnapshotBytes = 256 << 20
	defaultKeepEntries      = 256
	defaultKeepBytes        = 16 << 20
	// maxPendingReads is the maximum number of reads that wait for a quorum.
	maxPendingReads = 4096
)

// Config configures a voter. Self, ElectionTicks, HeartbeatTicks and Random
// are required; the other fields have defaults.
type Config struct {
	// Self is the ID of this voter.
	Self ID
	// ElectionTicks is the minimum election timeout. A voter that received a
	// message from a leader also refuses to vote for this long.
	ElectionTicks int
	// HeartbeatTicks is the interval of the leader's heartbeats.
	HeartbeatTicks int
	// LeaseTicks is the duration of the leader's lease: the leader is
	// Confirmed for this long after it sent a heartbeat that a quorum
	// answered. The default is three quarters of ElectionTicks. Two leaders
	// are never Confirmed at the same time as long as the tick rates of two
	// voters differ by less than the factor (ElectionTicks-1)/LeaseTicks.
	LeaseTicks int
	// Random returns a number in [0, n).
	Random func(n int) int
	// MaxBatchBytes limits the entries of one message; at least one entry is
	// always sent.
	MaxBatchBytes int
	// MaxInflight is the maximum number of unacknowledged batches to one voter.
	MaxInflight int
	// SnapshotChunk is the maximum number of snapshot bytes in one message.
	SnapshotChunk int
	// MaxSnapshotBytes is the maximum size of a received snapshot.
	MaxSnapshotBytes int
	// MaxUncommittedBytes limits the proposals that are not committed yet.
	MaxUncommittedBytes int
	// PiggybackCommit makes the leader send a new commit index only with the
	// next entry or heartbeat. Otherwise it sends each commit index to every
	// follower in a message of its own, so that followers apply without delay;
	// this suits sites that read at followers.
	PiggybackCommit bool
	// KeepEntries is the number of entries before the snapshot that stay in
	// memory, so that a voter that lags slightly needs no snapshot. A negative
	// value keeps none.
	KeepEntries int
	// KeepBytes bounds the size of these entries; 16 MiB by default.
	KeepBytes int
	// Faults is set only in tests.
	Faults Faults
}

// Faults disables single rules of the protocol, so that tests can show that the
// randomized runs detect the absence of each rule.
type Faults struct {
	// SkipPreVote starts an election without a pre-vote.
	SkipPreVote bool
	// SkipVoteSync sends a vote before term and vote are stored.
	SkipVoteSync bool
	// SkipAppendSync acknowledges entries before they are stored.
	SkipAppendSync bool
	// SkipVotedFor votes for more than one candidate in a term.
	SkipVotedFor bool
	// SkipLogUpToDate votes for candidates whose log is not up to date.
	SkipLogUpToDate bool
	// CommitOldTerm commits entries of earlier terms by counting replicas.
	CommitOldTerm bool
	// SkipCheckQuorum keeps leading although no quorum answers.
	SkipCheckQuorum bool
	// SkipLease reports a leader as Confirmed without a quorum.
	SkipLease bool
	// SkipVoteHold votes even shortly after a message from a leader.
	SkipVoteHold bool
	// SkipRestartHold votes immediately after a restart.
	SkipRestartHold bool
	// LeaseAfterTransfer stays Confirmed after the transferee was told to campaign.
	LeaseAfterTransfer bool
	// ReadWithoutQuorum answers a read without confirmation by a quorum.
	ReadWithoutQuorum bool
	// ReadBeforeOwnTerm answers a read before an entry of the current term is
	// committed.
	ReadBeforeOwnTerm bool
	// AllowTwoPendingVoters starts a voter change while one is pending.
	AllowTwoPendingVoters bool
	// VotersBeforeOwnTerm starts a voter change before an entry of the current
	// term is committed.
	VotersBeforeOwnTerm bool
	// ReplaceVoters allows a voter change in which two members differ.
	ReplaceVoters bool
	// VoteOnlyAsVoter refuses to vote while the voter's own log does not list it.
	VoteOnlyAsVoter bool
	// SkipRemovedCampaign does not campaign once the voter's own removal is
	// appended.
	SkipRemovedCampaign bool
	// SkipNewQuorumCheck allows a change to a set of which no quorum answers.
	SkipNewQuorumCheck bool
	// SkipTermCheck accepts messages of earlier terms.
	SkipTermCheck bool
	// SkipPreviousCheck appends without comparing the preceding entry.
	SkipPreviousCheck bool
}

func (c *Config) applyDefaults() error {
	switch {
	case c.Self == "":
		return fmt.Errorf("quorum: config: Self is empty")
	case c.Random == nil:
		return fmt.Errorf("quorum: config: Random is nil")
	case c.HeartbeatTicks < 1:
		return fmt.Errorf("quorum: config: HeartbeatTicks must be at least 1")
	case c.ElectionTicks < 3*c.HeartbeatTicks:
		return fmt.Errorf("quorum: config: ElectionTicks must be at least three times HeartbeatTicks")
	}
	orDefault(&c.LeaseTicks, c.ElectionTicks*3/4)
	orDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	orDefault(&c.MaxInflight, defaultMaxInflight)
	orDefault(&c.SnapshotChunk, defaultSnapshotChunk)
	orDefault(&c.MaxSnapshotBytes, defaultMaxSnapshotBytes)
	orDefault(&c.MaxUncommittedBytes, defaultMaxUncommitted)
	orDefault(&c.KeepBytes, defaultKeepBytes)
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	if c.LeaseTicks >= c.ElectionTicks {
		return fmt.Errorf("quorum: config: LeaseTicks must be below ElectionTicks")
	}
	return nil
}

func orDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
