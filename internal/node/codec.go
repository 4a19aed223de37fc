package node

import (
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

const (
	// maxItems bounds the elements of one decoded list or map.
	maxItems = 1 << 16
	// maxNesting bounds the depth of decoded values.
	maxNesting = 16
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, oops.In("node").Wrapf(err, "encode")
}

func decodeMessages(data []byte) ([]quorum.Message, error) {
	var messages []quorum.Message
	if len(data) == 0 {
		return nil, nil
	}
	err := decoder.Unmarshal(data, &messages)
	return messages, oops.In("node").Wrapf(err, "decode quorum messages")
}

func decodeEntries(data []byte) ([]quorum.Entry, error) {
	var entries []quorum.Entry
	if len(data) == 0 {
		return nil, nil
	}
	err := decoder.Unmarshal(data, &entries)
	return entries, oops.In("node").Wrapf(err, "decode entries")
}

func decodeMeta(data []byte) (quorum.SnapshotMeta, error) {
	var meta quorum.SnapshotMeta
	err := decoder.Unmarshal(data, &meta)
	return meta, oops.In("node").Wrapf(err, "decode snapshot meta")
}
