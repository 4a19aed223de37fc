// Package codec is the one encoding of what is replicated: commands, rows,
// snapshots and digests, as CBOR in its core deterministic form, so that equal
// values encode to equal bytes on every VM.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds the rows of one table in a snapshot and the items of one
// list in a command.
const maxElements = 1 << 20

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// MarshalToBuffer encodes a value behind what the buffer holds.
func MarshalToBuffer(v any, to *bytes.Buffer) error { return encoder.MarshalToBuffer(v, to) }

// Unmarshal decodes a value. It refuses unknown fields, repeated keys, tags and
// lists of open length: a VM with an older build that skipped a field would
// silently apply another change than the rest of the site. Text need not be
// UTF-8, since some of it is what callers sent.
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
