package datafolder

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// FormatVersion is the version of the folder's format that this build writes.
const FormatVersion = 1

// Phase is the progress of a disk in joining the site. It only moves forward. After
// an abandoned founding, the disk starts over under a new disk identity.
type Phase uint8

const (
	// PhaseEmpty means that the disk never took part in a founding or a quorum.
	PhaseEmpty Phase = iota + 1
	// PhaseAdopted means that the disk is bound to one founding and can't adopt
	// another, and does not take part in the quorum yet.
	PhaseAdopted
	// PhaseActive means that the disk may vote and store entries.
	PhaseActive
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case PhaseEmpty:
		return "empty"
	case PhaseAdopted:
		return "adopted"
	case PhaseActive:
		return "active"
	default:
		return fmt.Sprintf("phase %d", uint8(p))
	}
}

// Founding records the disks that found a site together.
type Founding struct {
	// ID is random and identifies this founding.
	ID string `cbor:"1,keyasint"`
	// Voters are the founding voters; empty on a disk that joined later.
	Voters quorum.Voters `cbor:"2,keyasint"`
}

// Identity is the owner of a data folder. It is a value type, encoded as CBOR.
type Identity struct {
	Format int          `cbor:"1,keyasint"`
	Site   string       `cbor:"2,keyasint"`
	Node   model.NodeID `cbor:"3,keyasint"`
	// Disk is random and generated with the folder, so that the replacement of a
	// lost disk never gets the identity that voted before.
	Disk     string   `cbor:"4,keyasint"`
	Phase    Phase    `cbor:"5,keyasint"`
	Founding Founding `cbor:"6,keyasint"`
	// Founders are the nodes that may found the site together. They are recorded
	// with the folder: a process that restarts before the site is founded may
	// still found it, one whose disk was lost may not.
	Founders []model.NodeID `cbor:"7,keyasint,omitempty"`
}

// Voter returns the voter ID of this disk.
func (i Identity) Voter() quorum.ID { return VoterID(i.Node, i.Disk) }

// Encode returns the identity as CBOR.
func (i Identity) Encode() ([]byte, error) { return encoding.Marshal(i) }

// DecodeIdentity decodes an identity that Encode returned.
func DecodeIdentity(data []byte) (Identity, error) {
	var i Identity
	err := cbor.Unmarshal(data, &i)
	return i, err
}

func newIdentity(site string, node model.NodeID, founders []model.NodeID) Identity {
	return Identity{
		Format: FormatVersion,
		Site:   site,
		Node:   node,
		Disk:   uuid.NewString(),
		Phase:  PhaseEmpty,

		Founders: founders,
	}
}

// NewFounding returns a new founding of a site with the given voters.
func NewFounding(voters []quorum.ID) Founding {
	members := slices.Clone(voters)
	slices.Sort(members)
	return Founding{ID: uuid.NewString(), Voters: quorum.Voters{Members: members}}
}

var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()
