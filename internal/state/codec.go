package state

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// One codec serves log entries, snapshots and digests: CBOR in its core
// deterministic form, so that equal values encode to equal bytes on every VM.
var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// maxElements bounds the rows of one table in a snapshot and the items of one
// list in a command.
const maxElements = 1 << 20

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecoder refuses unknown fields: a VM with an older build that skipped a
// field would silently apply another change than the rest of the site.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8DecodeInvalid,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the bytes of a command as they go into the control log.
func Encode(c Command) ([]byte, error) { return encoder.Marshal(c) }

// Decode is the inverse of Encode. It refuses unknown fields.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := decoder.Unmarshal(data, &c); err != nil {
		return Command{}, err
	}
	return c, nil
}

// EncodeResult returns the bytes of a result as it travels between VMs.
func EncodeResult(r Result) ([]byte, error) { return encoder.Marshal(r) }

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Result{}, err
	}
	return r, nil
}

// rowHasher hashes rows through one buffer that it keeps.
type rowHasher struct{ buffer bytes.Buffer }

// sum hashes the encoded row, salted with its table so that equal rows of two
// tables differ. All rows are of our own types, so encoding cannot fail.
func (h *rowHasher) sum(table byte, row any) uint64 {
	h.buffer.Reset()
	h.buffer.WriteByte(table)
	if err := encoder.MarshalToBuffer(row, &h.buffer); err != nil {
		panic(err)
	}
	return xxhash.Sum64(h.buffer.Bytes())
}
