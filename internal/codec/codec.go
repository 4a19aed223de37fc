// Package codec encodes everything that is replicated: commands, rows,
// snapshots and digests. It uses the core deterministic form of CBOR, so that
// equal values encode to equal bytes on every VM.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// maxElements limits the rows of one table in a snapshot and the items of one
// list in a command.
const maxElements = 1 << 20

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// MarshalToBuffer appends the encoding of a value to a buffer.
func MarshalToBuffer(v any, to *bytes.Buffer) error { return encoder.MarshalToBuffer(v, to) }

// Unmarshal decodes a value. It rejects unknown fields, duplicate keys, tags
// and lists of indefinite length: a VM with an older build that skipped a field
// would silently apply another change than the rest of the site. Text need not
// be UTF-8, since some of it is what callers sent.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

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
		panic(err) // the options are constant
	}
	return mode
}
