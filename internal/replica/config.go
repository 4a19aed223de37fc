package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

const (
	defaultTickInterval     = 100 * time.Millisecond
	defaultElectionTicks    = 8
	defaultHeartbeatTicks   = 2
	defaultReviewTicks      = 50
	defaultIdentifyTimeout  = time.Second
	defaultSnapshotEntries  = 10_000
	defaultSnapshotBytes    = 8 << 20
	defaultKeepEntries      = 1_000
	defaultKeepBytes        = 16 << 20
	defaultMessageRingSize  = 256
	defaultProposalRingSize = 4_096
	defaultMaxProposalBytes = 8 << 20
	defaultMaxPendingBytes  = 16 << 20
)

// Config configures a voter. Fields with a default may be left zero.
type Config struct {
	// Folder is the path of the data folder, Site the name of the site and Self
	// the ID of this node.
	Folder string
	Site   string
	Self   model.NodeID
	// Members are the nodes that vote, including this one. When Candidates is
	// set they are the nodes that may found the site together: empty on a
	// process that must not found a site, and without this node when it may only
	// join.
	Members []model.NodeID
	// Candidates returns the nodes that may hold a disk, as far as this process
	// currently knows; nil when Members lists all voters. When it is set, a
	// leader adds every candidate as a voter and removes voters that stay
	// unresponsive.
	Candidates func() []model.NodeID

	// LostDisks is how many voters may lose their disks at once without the loss
	// of a committed command. When Candidates is set, a site is founded by, and
	// keeps, as many voters as that takes.
	LostDisks int

	StateMachine StateMachine
	Transport    Transport
	Bootstrapper Bootstrapper

	// Disk is the file system; the operating system's by default.
	Disk datafolder.FS
	// Clock returns the time since a fixed instant. It is monotonic and keeps
	// counting while the process is suspended. The system's clock by default.
	Clock func() time.Duration
	// Random returns a number in [0, n); a seeded generator by default.
	Random func(n int) int

	// TickInterval is the duration of a tick; 100 ms by default.
	TickInterval time.Duration
	// ElectionTicks is the shortest time without a leader after which a voter
	// starts an election; 8 by default.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats of an idle leader; 2 by
	// default.
	HeartbeatTicks int
	// ReviewTicks is the interval between two reviews of the voters' disks; 50
	// by default.
	ReviewTicks int
	// IdentifyTimeout is the timeout of one query to another voter; 1 s by
	// default.
	IdentifyTimeout time.Duration

	// SnapshotEntries and SnapshotBytes are the number and size of applied
	// commands after which a snapshot is taken; 10,000 and 8 MiB by default.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries is the number of entries before the snapshot that are kept for
	// followers; 1,000 by default.
	KeepEntries int
	// KeepBytes bounds the size of these entries; 16 MiB by default.
	KeepBytes int
	// SegmentBytes is the size of a log segment; 0 selects the log's default.
	SegmentBytes int

	// MessageRingSize is the number of message batches that may wait for the
	// driver, 256 by default; ProposalRingSize that of commands, 4,096 by
	// default.
	MessageRingSize  int
	ProposalRingSize int
	// MaxProposalBytes limits the size of one command, 8 MiB by default;
	// MaxPendingBytes that of all waiting commands, 16 MiB by default. Commands
	// above a limit are refused as not proposed.
	MaxProposalBytes int
	MaxPendingBytes  int

	Log     log.Interface
	Metrics metrics.Registry

	// PiggybackCommit makes a leader send a new commit index only with the next
	// entry or heartbeat; see quorum.Config.PiggybackCommit.
	PiggybackCommit bool

	// dynamicVoters is set when voters are discovered at run time (Candidates).
	dynamicVoters bool
}

func (c *Config) complete() error {
	switch {
	case c.Folder == "" || c.Self == "" || c.Site == "":
		return errors.New("replica: config: Folder, Site and Self are required")
	case c.Candidates == nil && !slices.Contains(c.Members, c.Self):
		return fmt.Errorf("replica: config: node %s is not among the voters %v", c.Self, c.Members)
	case c.StateMachine == nil || c.Transport == nil || c.Bootstrapper == nil:
		return errors.New("replica: config: StateMachine, Transport and Bootstrapper are required")
	}
	orDefault(&c.TickInterval, defaultTickInterval)
	orDefault(&c.IdentifyTimeout, defaultIdentifyTimeout)
	orDefault(&c.ElectionTicks, defaultElectionTicks)
	orDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	orDefault(&c.ReviewTicks, defaultReviewTicks)
	orDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	orDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	orDefault(&c.KeepBytes, defaultKeepBytes)
	orDefault(&c.KeepEntries, defaultKeepEntries)
	orDefault(&c.MessageRingSize, defaultMessageRingSize)
	orDefault(&c.ProposalRingSize, defaultProposalRingSize)
	orDefault(&c.MaxProposalBytes, defaultMaxProposalBytes)
	orDefault(&c.MaxPendingBytes, defaultMaxPendingBytes)
	c.completeEnvironment()
	return nil
}

func (c *Config) completeEnvironment() {
	if c.Disk == nil {
		c.Disk = datafolder.Disk{}
	}
	if c.Clock == nil {
		c.Clock = steady.Now
	}
	if c.Candidates == nil {
		c.Candidates = func() []model.NodeID { return c.Members }
	} else {
		c.dynamicVoters = true
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.Log == nil {
		c.Log = log.Log
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

func orDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
