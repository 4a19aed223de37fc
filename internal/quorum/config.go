package quorum

import "fmt"

// Defaults for the optional fields of Config.
const (
	defaultMaxBatchBytes    = 256 << 10
	defaultMaxInflight      = 16
	defaultSnapshotChunk    = 256 << 10
	defaultMaxUncommitted   = 8 << 20
	defaultMaxSnapshotBytes = 256 << 20
	defaultKeepEntries      = 256
	// maxPendingReads bounds the read requests that wait for a quorum.
	maxPendingReads = 4096
)

// Config sets up a voter. Fields other than Self, ElectionTicks,
// HeartbeatTicks and Random may be zero and then take a default.
type Config struct {
	// Self is this voter's name and disk.
	Self ID
	// ElectionTicks is for how long a voter that heard from a leader refuses
	// to vote, and the shortest time until it campaigns.
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats of the leader.
	HeartbeatTicks int
	// LeaseTicks is for how long an answered heartbeat keeps the leader
	// Confirmed, counted from when it was sent; three quarters of
	// ElectionTicks by default. Two leaders are never Confirmed at once while
	// the tick rates of two voters differ by less than the factor
	// (ElectionTicks-1)/LeaseTicks.
	LeaseTicks int
	// Random returns a number in [0, n).
	Random func(n int) int
	// MaxBatchBytes bounds the entries of one message (one is always sent).
	MaxBatchBytes int
	// MaxInflight bounds the batches on their way to one voter.
	MaxInflight int
	// SnapshotChunk is the number of bytes of a snapshot in one message.
	SnapshotChunk int
	// MaxSnapshotBytes bounds a snapshot that is received.
	MaxSnapshotBytes int
	// MaxUncommittedBytes bounds what Propose takes before a quorum has stored it.
	MaxUncommittedBytes int
	// CommitsWithNext lets followers learn of a commit with the next entry or
	// heartbeat. Otherwise each commit costs a message of its own to every
	// follower, so that they apply at once: for sites that read at followers.
	CommitsWithNext bool
	// KeepEntries is how many entries before the snapshot stay in memory, so
	// that a voter which lags a little needs no snapshot. Negative keeps none.
	KeepEntries int
	// Rules is the zero value in every real process.
	Rules Rules
}

// Rules switches single rules off. It exists so that tests can show that the
// randomised runs notice each rule's absence.
type Rules struct {
	// SkipPreVote campaigns without asking first whether it could succeed.
	SkipPreVote bool
	// SkipVoteSync lets a vote leave before term and vote are stored.
	SkipVoteSync bool
	// SkipAppendSync acknowledges entries before they are stored.
	SkipAppendSync bool
	// SkipVotedFor votes for every candidate of a term.
	SkipVotedFor bool
	// SkipLogUpToDate votes for a candidate whose log is behind.
	SkipLogUpToDate bool
	// CommitOldTerm commits entries of earlier terms by counting.
	CommitOldTerm bool
	// SkipCheckQuorum keeps a leader that no quorum answers.
	SkipCheckQuorum bool
	// SkipLease calls a leader Confirmed without asking for a quorum.
	SkipLease bool
	// SkipVoteHold votes although a leader was heard a moment ago.
	SkipVoteHold bool
	// SkipRestartHold votes at once after a restart.
	SkipRestartHold bool
	// LeaseAfterTransfer stays Confirmed after the successor was told to campaign.
	LeaseAfterTransfer bool
	// ReadWithoutQuorum answers a read without asking a quorum.
	ReadWithoutQuorum bool
	// ReadBeforeOwnTerm answers a read before an entry of the term is committed.
	ReadBeforeOwnTerm bool
	// AllowTwoPendingVoters starts a voter change while one is pending.
	AllowTwoPendingVoters bool
	// VotersBeforeOwnTerm starts a voter change before an entry of the term is committed.
	VotersBeforeOwnTerm bool
	// ReplaceVoters lets two members differ at a time.
	ReplaceVoters bool
	// VoteOnlyAsVoter refuses to vote while the own log does not name this voter.
	VoteOnlyAsVoter bool
	// SkipLeaverCampaign does not campaign once the own removal is appended.
	SkipLeaverCampaign bool
	// SkipVotersAnswer changes to a set of which no quorum answers.
	SkipVotersAnswer bool
	// SkipTermCheck takes messages of earlier terms.
	SkipTermCheck bool
	// SkipPreviousCheck appends without comparing the entry before.
	SkipPreviousCheck bool
}

func (c *Config) complete() error {
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
