package membership

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// DefaultInterval is the time between two beats of a small site.
	DefaultInterval = time.Second
	// intervalPerMember stretches the interval of a large site, so that the
	// leader's share of the traffic stays bounded.
	intervalPerMember = 70 * time.Millisecond
	// fastInterval is the first interval while unconfirmed; it doubles up to
	// the regular one.
	fastInterval = 100 * time.Millisecond
	// ConfirmLimit is how old the last confirmation of a ready process may be.
	ConfirmLimit = 3 * time.Second
	// doubtQuarters is after how many quarters of an interval without a word
	// the leader asks witnesses.
	doubtQuarters = 9
	// downQuarters is after how many quarters of an interval without a sign
	// of readiness a member is taken out.
	downQuarters = 18
	// witnesses is how many processes probe one that the leader does not hear.
	witnesses = 3
	// maxPending bounds the confirmations that wait to be caught up with.
	maxPending = 4
	// maxMembers bounds the members of a view that is adopted.
	maxMembers = 64
	// maxRaises is how often others may know a larger incarnation of this name.
	maxRaises = 16
	// maxBroken bounds the broken invariants that are remembered.
	maxBroken = 32
)

// Config sets up a Core.
type Config struct {
	Self model.NodeID
	// Members are all processes of the site by the settings, Self included.
	Members []model.NodeID
	// Voters are those of Members that vote in the control log.
	Voters []model.NodeID
	// Interval is the time between two beats; 0 chooses by the site's size.
	Interval time.Duration
	// Rules is the zero value in every real process.
	Rules Rules
}

// Rules switches single safety rules off. It exists so that tests can show
// that the randomised runs notice each rule's absence.
type Rules struct {
	// SkipCatchUp confirms a process that has not applied what was committed.
	SkipCatchUp bool
	// SkipAge counts a confirmation from when it arrives.
	SkipAge bool
	// SkipViewOrder adopts any view that comes.
	SkipViewOrder bool
	// SkipLease lets an unconfirmed leader change the view.
	SkipLease bool
	// SkipWitness takes a member out that others hear.
	SkipWitness bool
	// SkipIncarnation takes the word of an earlier process of the same name.
	SkipIncarnation bool
}

// Member is a process that serves.
type Member struct {
	Node        model.NodeID
	Incarnation uint64
}

// View is the set of live members as a confirmed leader determined it. Views
// are ordered by (Term, Version).
type View struct {
	Term    uint64
	Version uint64
	// Live is sorted by name.
	Live []Member
}

// Newer reports whether v comes after o.
func (v View) Newer(o View) bool {
	if v.Term != o.Term {
		return v.Term > o.Term
	}
	return v.Version > o.Version
}

// Has reports whether a process is live.
func (v View) Has(node model.NodeID) bool {
	for _, m := range v.Live {
		if m.Node == node {
			return true
		}
	}
	return false
}

// WitnessReport says when a process was last heard directly.
type WitnessReport struct {
	Node        model.NodeID
	Incarnation uint64
	Age         time.Duration
	Ready       bool
}

// Beat is what one process tells another, as a request or as its answer.
type Beat struct {
	From        model.NodeID
	Incarnation uint64
	// Sequence grows with every beat of an incarnation.
	Sequence uint64
	// Known is the incarnation under which the sender knows the receiver.
	Known   uint64
	Applied uint64
	Ready   bool
	Leaving bool
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	// Commit was committed as a quorum confirmed Age ago, if Confirmed.
	Commit    uint64
	Confirmed bool
	Age       time.Duration
	// View is the sender's; Live is set only when the receiver's is older.
	View           View
	Doubts         []model.NodeID
	WitnessReports []WitnessReport
}

// Local is what this process knows from its own part in the control log.
type Local struct {
	Applied uint64
	// Leader and Term are as a voter sees them; a learner leaves them empty.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads says that this process is the leader, Confirmed that a quorum
	// answered it within its lease.
	Leads     bool
	Confirmed bool
	// Leaving says that this process is on its way to a graceful stop.
	Leaving bool
}

// Standing says how this process stands towards the others.
type Standing struct {
	Ready bool
	// Reason says in words why it is not ready; empty when it is.
	Reason string
	// Age is how old the last confirmation is; 0 when there was none.
	Age time.Duration
	// Behind is for how long this process has known of an index that it has
	// not applied; 0 when it is caught up.
	Behind time.Duration
	// Heard and Unheard divide the other processes by whether they were heard
	// directly within the last turn of beats.
	Heard   int
	Unheard []model.NodeID
}
