package wal

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// segmentHeader opens a segment. It repeats what older segments said, so that
// those can be removed.
type segmentHeader struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Hard     quorum.HardState `cbor:"2,keyasint"`
	// Last is the index before the first entry that may follow.
	Last uint64 `cbor:"3,keyasint"`
}

// batch is one append. Restart drops all entries and lets the log go on after
// that index, which a snapshot covers.
type batch struct {
	Hard    *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	Restart *uint64           `cbor:"3,keyasint,omitempty"`
}

// maxElements bounds arrays when decoding; a batch is bounded by maxPayload.
const maxElements = 1 << 24

var encoder = func() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()
