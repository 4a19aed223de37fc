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

// Bounds of what a message may hold.
const (
	maxMessageBytes = 1 << 20
	maxCounts       = 10_000
	maxSlots        = 1_000_000
)

// ErrStale says that a later request of the borrower came before this one.
var ErrStale = errors.New("lending: request was overtaken by a later one")

// Count is a number of slots at one instance.
type Count struct {
	_        struct{} `cbor:",toarray"`
	Instance model.InstanceID
	Slots    int
}

// Holding is what a borrower has of one instance.
type Holding struct {
	_        struct{} `cbor:",toarray"`
	Instance model.InstanceID
	// Slots counts all that may be in use, Usable those on which new work may
	// start; the others were recalled and come back when their requests end.
	Slots  int
	Usable int
}

// Request is what a borrower says to one lender about one service.
type Request struct {
	Service  model.ServiceID `cbor:"1,keyasint"`
	Borrower model.NodeID    `cbor:"2,keyasint"`
	// Incarnation is of the borrower's process, Number grows with each request.
	Incarnation uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
	// Held is all that the borrower keeps of the lender's slots, in use or not.
	Held []Holding `cbor:"5,keyasint,omitempty"`
	// Wanted is how many more slots it could use, by class.
	Wanted [Classes]int `cbor:"6,keyasint"`
	// OldestMS is how long the oldest request of each class waits, in milliseconds.
	OldestMS [Classes]int64 `cbor:"7,keyasint"`
	// Avoid are instances which it has no use for.
	Avoid []model.InstanceID `cbor:"8,keyasint,omitempty"`
	// RunMS promises that a request on a loan ends within so many milliseconds.
	RunMS int64 `cbor:"9,keyasint"`
	// WaitMS is how long the lender may hold the reply until it has slots.
	WaitMS int64 `cbor:"10,keyasint,omitempty"`
	// Recover asks what the receiver holds of the sender's own slots.
	Recover bool `cbor:"11,keyasint,omitempty"`
	// Handover leaves slots to the receiver; the sender stops and uses none.
	Handover []Count `cbor:"12,keyasint,omitempty"`
	// Receiver is the incarnation of the receiver that the handover is for: a
	// copy that comes late must not reach a later process of it, which knows
	// nothing of what the sender did since.
	Receiver uint64 `cbor:"13,keyasint,omitempty"`
}

// Reply is what a lender answers.
type Reply struct {
	// Loans is all that the borrower may use from now on.
	Loans []Count `cbor:"1,keyasint,omitempty"`
	// LeaseMS counts from when the borrower sent its request, in milliseconds.
	LeaseMS int64 `cbor:"2,keyasint"`
	// Debt answers Recover.
	Debt *Debt `cbor:"3,keyasint,omitempty"`
}

// Debt is what a borrower holds of a lender whose process restarted.
type Debt struct {
	Held []Holding `cbor:"1,keyasint,omitempty"`
	// RunMS is how long a request on it may run.
	RunMS int64 `cbor:"2,keyasint,omitempty"`
	// Incarnation and Number are of the borrower's latest request; the lender
	// must not believe an earlier one which is still on its way.
	Incarnation uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint,omitempty"`
}

// EncodeRequest returns the CBOR form.
func EncodeRequest(r Request) ([]byte, error) { return cbor.Marshal(r) }

// EncodeReply returns the CBOR form.
func EncodeReply(r Reply) ([]byte, error) { return cbor.Marshal(r) }

// DecodeRequest is the inverse of EncodeRequest; it checks all bounds.
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
			return Request{}, errors.New("lending: wanted slots out of bounds")
		}
	}
	return r, errors.Join(checkHoldings(r.Held), checkCounts(r.Handover))
}

// DecodeReply is the inverse of EncodeReply; it checks all bounds.
func DecodeReply(data []byte) (Reply, error) {
	var r Reply
	if err := decode(data, &r); err != nil {
		return Reply{}, err
	}
	if r.Debt != nil {
		return r, errors.Join(checkCounts(r.Loans), checkHoldings(r.Debt.Held))
	}
	return r, checkCounts(r.Loans)
}

func decode(data []byte, into any) error {
	if len(data) > maxMessageBytes {
		return errors.New("lending: message too large")
	}
	return cbor.Unmarshal(data, into)
}

func checkCounts(counts []Count) error {
	if len(counts) > maxCounts {
		return errors.New("lending: too many instances")
	}
	for _, c := range counts {
		if c.Slots < 0 || c.Slots > maxSlots {
			return fmt.Errorf("lending: %d slots at instance %s", c.Slots, c.Instance)
		}
	}
	return nil
}

func checkHoldings(held []Holding) error {
	if len(held) > maxCounts {
		return errors.New("lending: too many instances")
	}
	for _, h := range held {
		if h.Usable < 0 || h.Usable > h.Slots || h.Slots > maxSlots {
			return fmt.Errorf("lending: %d of %d slots at instance %s", h.Usable, h.Slots, h.Instance)
		}
	}
	return nil
}

// maxSpan bounds durations that come from a peer.
const maxSpan = time.Hour

func span(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), int64(maxSpan/time.Millisecond))) * time.Millisecond
}
