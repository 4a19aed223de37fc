package membership

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// DefaultInterval is the time between two beats of a small site.
	DefaultInterval = time.Second
	// intervalPerMember lengthens the interval of a large site, so that the
	// traffic of the leader stays bounded.
	intervalPerMember = 70 * time.Millisecond
	// initialInterval is the first interval while unconfirmed; it doubles up
	// to the regular one.
	initialInterval = 100 * time.Millisecond
	// ConfirmLimit is the largest age of the last confirmation of a ready
	// process.
	ConfirmLimit = 3 * time.Second
	// suspectQuarters is the time without contact, in quarters of an interval,
	// after which the leader suspects a process and asks witnesses.
	suspectQuarters = 9
	// downQuarters is the time without a ready Beat, in quarters of an
	// interval, after which a member is removed from the view.
	downQuarters = 18
	// witnessCount is the number of processes that probe a suspect of the
	// leader.
	witnessCount = 3
	// maxPendingConfirmations bounds the confirmations whose index is not yet
	// applied here.
	maxPendingConfirmations = 4
	// maxMembers bounds the members of an adopted view.
	maxMembers = 64
	// maxIncarnationAdvances is how often this process may have to advance its
	// incarnation before that is reported as a violation.
	maxIncarnationAdvances = 16
	// maxViolations bounds the stored violations of invariants.
	maxViolations = 32
)

// Config configures a Core.
type Config struct {
	Self model.NodeID
	// Members are all processes of the site according to the settings,
	// including Self.
	Members []model.NodeID
	// Voters are those of Members that vote in the control log.
	Voters []model.NodeID
	// Interval is the time between two beats; 0 derives it from the number of
	// members.
	Interval time.Duration
	// Rules is the zero value outside of tests.
	Rules Rules
}

// Rules disables single safety rules, so that tests can show that the
// randomized runs detect the absence of each rule.
type Rules struct {
	// SkipCatchUp confirms a process that has not applied the committed index.
	SkipCatchUp bool
	// SkipAge dates a confirmation to its arrival.
	SkipAge bool
	// SkipViewOrder adopts any received view, also an older one.
	SkipViewOrder bool
	// SkipLease lets an unconfirmed leader change the view.
	SkipLease bool
	// SkipWitness ignores the reports of witnesses.
	SkipWitness bool
	// SkipIncarnation accepts beats of an earlier incarnation.
	SkipIncarnation bool
}

// Member is a live process.
type Member struct {
	Node        model.NodeID
	Incarnation uint64
}

// View is the set of live members, determined by a confirmed leader. Views are
// ordered by (Term, Version).
type View struct {
	Term    uint64
	Version uint64
	// Live is sorted by name.
	Live []Member
}

// Newer reports whether v is newer than o.
func (v View) Newer(o View) bool {
	if v.Term != o.Term {
		return v.Term > o.Term
	}
	return v.Version > o.Version
}

// Has reports whether a process is a live member.
func (v View) Has(node model.NodeID) bool {
	for _, m := range v.Live {
		if m.Node == node {
			return true
		}
	}
	return false
}

// WitnessReport is the time since a witness last received a Beat directly from
// a process.
type WitnessReport struct {
	Node        model.NodeID
	Incarnation uint64
	Age         time.Duration
	Ready       bool
}

// Beat is the heartbeat message, used as request and as reply.
type Beat struct {
	From        model.NodeID
	Incarnation uint64
	// Sequence grows with every beat of an incarnation.
	Sequence uint64
	// KnownIncarnation is the largest incarnation of the receiver that the
	// sender has seen.
	KnownIncarnation uint64
	Applied          uint64
	Ready            bool
	Leaving          bool
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	// Commit is the committed index that a quorum confirmed ConfirmationAge ago.
	// It is valid only if Confirmed is set.
	Commit          uint64
	Confirmed       bool
	ConfirmationAge time.Duration
	// View is the sender's view; Live is set only when the receiver's view is
	// older.
	View View
	// Suspects are those of the leader, which witnesses should probe.
	Suspects       []model.NodeID
	WitnessReports []WitnessReport
}

// Local is the state of this process's own part in the control log.
type Local struct {
	Applied uint64
	// Leader and Term are those of the local voter; in a process without one they
	// are the last known ones.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads is set when this process is the leader, Confirmed when a quorum
	// also replied to it within its lease.
	Leads     bool
	Confirmed bool
	// Leaving is set when this process is stopping gracefully.
	Leaving bool
}

// Status describes the readiness of this process and its contact to the others.
type Status struct {
	Ready bool
	// Reason describes why the process is not ready; empty when it is ready.
	Reason string
	// ConfirmationAge is the age of the last confirmation; 0 when there was none.
	ConfirmationAge time.Duration
	// BehindFor is the time since a quorum confirmed an index that this process
	// has not applied; 0 when there is no such index.
	BehindFor time.Duration
	// Responsive counts the other processes from which a Beat was received
	// directly within the last cycle of beats; Unresponsive lists those from
	// which none was.
	Responsive   int
	Unresponsive []model.NodeID
}
