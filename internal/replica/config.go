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
	defaultTickEvery        = 100 * time.Millisecond
	defaultElectionTicks    = 8
	defaultHeartbeatTicks   = 2
	defaultReviewTicks      = 50
	defaultIdentifyTimeout  = time.Second
	defaultSnapshotEntries  = 10_000
	defaultSnapshotBytes    = 8 << 20
	defaultKeepEntries      = 1_000
	defaultMessageRing      = 256
	defaultProposalRing     = 4_096
	defaultMaxProposalBytes = 8 << 20
	defaultMaxPendingBytes  = 16 << 20
)

// Config sets up a voter. Fields with a default may be left zero.
type Config struct {
	// Folder is the data folder, Site the name of the site, Self this node.
	Folder string
	Site   string
	Self   model.NodeID
	// Members are the nodes that vote, this one included. With Candidates set
	// they are the nodes that may found the site together: empty on a process
	// that must not, and without this node when it only joins.
	Members []model.NodeID
	// Candidates lists the nodes that may hold a disk, as far as this process
	// knows now; nil when Members are all the voters there are. A leader then
	// lets every candidate vote and removes voters that stay silent.
	Candidates func() []model.NodeID

	Machine      Machine
	Transport    Transport
	Bootstrapper Bootstrapper

	// Disk is the file system; that of the operating system by default.
	Disk datafolder.FS
	// Clock is the time since some instant that never goes back; it counts
	// while the process is stopped. The system's clock by default.
	Clock func() time.Duration
	// Random returns a number in [0, n); a seeded generator by default.
	Random func(n int) int

	// TickEvery is the unit of all ticks; 100 ms by default.
	TickEvery time.Duration
	// ElectionTicks is the shortest silence after which a voter campaigns; 8.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats of an idle leader; 2.
	HeartbeatTicks int
	// ReviewTicks is the time between two reviews of the voters' disks; 50.
	ReviewTicks int
	// IdentifyTimeout bounds one question to another voter; 1 s.
	IdentifyTimeout time.Duration

	// SnapshotEntries and SnapshotBytes of commands after which a snapshot is
	// taken; 10,000 and 8 MiB.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries before the snapshot are kept for followers; 1,000.
	KeepEntries int
	// SegmentBytes is the size of a log segment; the log's default when 0.
	SegmentBytes int

	// MessageRing bounds the batches of messages that wait for the duty, 256;
	// ProposalRing the commands, 4,096.
	MessageRing  int
	ProposalRing int
	// MaxProposalBytes bounds one command, 8 MiB; MaxPendingBytes all that
	// wait, 16 MiB. What is above is refused as not proposed.
	MaxProposalBytes int
	MaxPendingBytes  int

	Log     log.Interface
	Metrics metrics.Registry

	// CommitsWithNext is passed to the quorum core: followers learn of a commit
	// with the next entry or heartbeat.
	CommitsWithNext bool

	// growing says that the voters are found while running (Candidates).
	growing bool
}

func (c *Config) complete() error {
	switch {
	case c.Folder == "" || c.Self == "" || c.Site == "":
		return errors.New("replica: config: Folder, Site and Self are needed")
	case c.Candidates == nil && !slices.Contains(c.Members, c.Self):
		return fmt.Errorf("replica: config: node %s is not among the voters %v", c.Self, c.Members)
	case c.Machine == nil || c.Transport == nil || c.Bootstrapper == nil:
		return errors.New("replica: config: Machine, Transport and Bootstrapper are needed")
	}
	orDefault(&c.TickEvery, defaultTickEvery)
	orDefault(&c.IdentifyTimeout, defaultIdentifyTimeout)
	orDefault(&c.ElectionTicks, defaultElectionTicks)
	orDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	orDefault(&c.ReviewTicks, defaultReviewTicks)
	orDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	orDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	orDefault(&c.KeepEntries, defaultKeepEntries)
	orDefault(&c.MessageRing, defaultMessageRing)
	orDefault(&c.ProposalRing, defaultProposalRing)
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
		c.growing = true
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
