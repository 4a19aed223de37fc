package datafolder

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// FormatVersion is the version of the folder's layout that this build writes.
const FormatVersion = 1

// Phase says how far a disk has come on its way into the site. It only moves
// forward, but for a founding that was abandoned, which starts over under a
// new disk identity.
type Phase uint8

const (
	// PhaseEmpty: the disk never took part in anything.
	PhaseEmpty Phase = iota + 1
	// PhaseAdopted: the disk promised to belong to one founding and to no
	// other, and takes no part in the quorum yet.
	PhaseAdopted
	// PhaseActive: the disk may vote and store entries.
	PhaseActive
)

// String names the phase.
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

// Founding is the record of the disks that found a site together.
type Founding struct {
	// ID is random and names this founding.
	ID string `cbor:"1,keyasint"`
	// Voters are the founding voters; empty on a disk that joined later.
	Voters quorum.Voters `cbor:"2,keyasint"`
}

// Identity says who owns a data folder. It is a value and encodes as CBOR.
type Identity struct {
	Format int          `cbor:"1,keyasint"`
	Site   string       `cbor:"2,keyasint"`
	Node   model.NodeID `cbor:"3,keyasint"`
	// Disk is random and made with the folder, so that a lost disk never
	// comes back under the identity that voted before.
	Disk     string   `cbor:"4,keyasint"`
	Phase    Phase    `cbor:"5,keyasint"`
	Founding Founding `cbor:"6,keyasint"`
}

// Voter is the identity under which this disk votes.
func (i Identity) Voter() quorum.ID { return VoterID(i.Node, i.Disk) }

// Encode returns the identity as CBOR.
func (i Identity) Encode() ([]byte, error) { return encoding.Marshal(i) }

// DecodeIdentity is the inverse of Encode.
func DecodeIdentity(data []byte) (Identity, error) {
	var i Identity
	err := cbor.Unmarshal(data, &i)
	return i, err
}

func newIdentity(site string, node model.NodeID) Identity {
	return Identity{
		Format: FormatVersion,
		Site:   site,
		Node:   node,
		Disk:   uuid.NewString(),
		Phase:  PhaseEmpty,
	}
}

// NewFounding returns the founding of a site with the given voters.
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
