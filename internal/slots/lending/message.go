package lending

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Classes is the number of priorities: batch, normal, urgent.
const Classes = 3

// Limits of a message.
const (
	maxMessageBytes = 1 << 20
	maxInstances    = 10_000
	maxSlots        = 1_000_000
)

// ErrStaleRequest is returned for a request that arrives after a later one of
// the same borrower.
var ErrStaleRequest = errors.New("lending: stale request: a later one of the borrower was already received")

// SlotCount is a number of slots at one instance.
type SlotCount struct {
	_        struct{} `cbor:",toarray"`
	Instance model.InstanceID
	Slots    int
}

// Holding is the number of borrowed slots that a borrower holds at one instance.
type Holding struct {
	_        struct{} `cbor:",toarray"`
	Instance model.InstanceID
	// Slots counts all that may be in use, Usable those on which new requests may
	// start. The others were recalled and come back when their requests end.
	Slots  int
	Usable int
}

// Request is sent by a borrower to one lender, about one service.
type Request struct {
	Service  model.ServiceID `cbor:"1,keyasint"`
	Borrower model.NodeID    `cbor:"2,keyasint"`
	// Incarnation identifies the borrower's process; Number grows with each
	// request.
	Incarnation uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
	// Held lists all slots of the lender that the borrower holds, in use or not.
	Held []Holding `cbor:"5,keyasint,omitempty"`
	// Wanted is how many more slots the borrower could use, by class.
	Wanted [Classes]int `cbor:"6,keyasint"`
	// OldestMS is how long the oldest request of each class has waited, in
	// milliseconds.
	OldestMS [Classes]int64 `cbor:"7,keyasint"`
	// Avoid lists instances whose slots the borrower can't use.
	Avoid []model.InstanceID `cbor:"8,keyasint,omitempty"`
	// RunMS promises that a request on a loan ends within this time, in
	// milliseconds.
	RunMS int64 `cbor:"9,keyasint"`
	// WaitMS is how long the lender may hold the reply until it has slots, in
	// milliseconds.
	WaitMS int64 `cbor:"10,keyasint,omitempty"`
	// Recover asks which of the sender's own slots the receiver holds.
	Recover bool `cbor:"11,keyasint,omitempty"`
	// Handover hands slots over to the receiver; the sender stops and uses none
	// of them.
	Handover []SlotCount `cbor:"12,keyasint,omitempty"`
	// Receiver is the incarnation of the receiver that the handover is for. A
	// late copy must not be applied by a later process of the receiver, which
	// doesn't know what the sender has done since.
	Receiver uint64 `cbor:"13,keyasint,omitempty"`
}

// Reply is a lender's reply to a Request.
type Reply struct {
	// Loans lists all slots that the borrower may use from now on.
	Loans []SlotCount `cbor:"1,keyasint,omitempty"`
	// LeaseMS is the length of the lease in milliseconds, counted from when the
	// borrower sent its request.
	LeaseMS int64 `cbor:"2,keyasint"`
	// Recovery is the reply to Request.Recover.
	Recovery *Recovery `cbor:"3,keyasint,omitempty"`
}

// Recovery lists the slots that a borrower holds of a lender whose process
// restarted.
type Recovery struct {
	Held []Holding `cbor:"1,keyasint,omitempty"`
	// RunMS is how long a request on these slots may run, in milliseconds.
	RunMS int64 `cbor:"2,keyasint,omitempty"`
	// Incarnation and Number are those of the borrower's latest request. The
	// lender must not accept an earlier request that is still in flight.
	Incarnation uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint,omitempty"`
}

// EncodeRequest encodes a request as CBOR.
func EncodeRequest(r Request) ([]byte, error) { return cbor.Marshal(r) }

// EncodeReply encodes a reply as CBOR.
func EncodeReply(r Reply) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRequest decodes what EncodeRequest encoded and checks all bounds.
func DecodeRequest(data []byte) (Request, error) {
	var r Request
	if err := decode(data, &r); err != nil {
		return Request{}, err
	}
	if r.Borrower == "" || r.Service == "" {
		return Request{}, errors.New("lending: request without service or borrower")
	}
	for _, wanted := range r.Wanted {
		if wanted < 0 || wanted > maxSlots {
			return Request{}, errors.New("lending: number of wanted slots is out of bounds")
		}
	}
	return r, errors.Join(checkHoldings(r.Held), checkCounts(r.Handover))
}

// DecodeReply decodes what EncodeReply encoded and checks all bounds.
func DecodeReply(data []byte) (Reply, error) {
	var r Reply
	if err := decode(data, &r); err != nil {
		return Reply{}, err
	}
	if r.Recovery != nil {
		return r, errors.Join(checkCounts(r.Loans), checkHoldings(r.Recovery.Held))
	}
	return r, checkCounts(r.Loans)
}

func decode(data []byte, into any) error {
	if len(data) > maxMessageBytes {
		return errors.New("lending: message is too large")
	}
	return cbor.Unmarshal(data, into)
}

func checkCounts(counts []SlotCount) error {
	if len(counts) > maxInstances {
		return errors.New("lending: message lists too many instances")
	}
	for _, c := range counts {
		if c.Slots < 0 || c.Slots > maxSlots {
			return fmt.Errorf("lending: number of slots is out of bounds: %d at instance %s", c.Slots, c.Instance)
		}
	}
	return nil
}

func checkHoldings(held []Holding) error {
	if len(held) > maxInstances {
		return errors.New("lending: message lists too many instances")
	}
	for _, h := range held {
		if h.Usable < 0 || h.Usable > h.Slots || h.Slots > maxSlots {
			return fmt.Errorf("lending: number of slots is out of bounds: %d usable of %d at instance %s", h.Usable, h.Slots, h.Instance)
		}
	}
	return nil
}

// maxDuration bounds durations that come from a peer.
const maxDuration = time.Hour

// durationOf converts milliseconds from a peer, bounded to 0..maxDuration.
func durationOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), int64(maxDuration/time.Millisecond))) * time.Millisecond
}
