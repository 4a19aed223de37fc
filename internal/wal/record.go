package wal

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// segmentHeader is the first record of a segment. It repeats the state that
// older segments led to, so that those can be removed.
type segmentHeader struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Hard     quorum.HardState `cbor:"2,keyasint"`
	// Last is the index before the first entry that may follow.
	Last uint64 `cbor:"3,keyasint"`
}

// batch is the content of one record. ResetTo drops all entries and lets the
// log continue after that index, which a snapshot covers.
type batch struct {
	Hard    *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	ResetTo *uint64           `cbor:"3,keyasint,omitempty"`
}

// maxElements limits the length of decoded arrays; the size of a batch is
// limited by maxPayload.
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
