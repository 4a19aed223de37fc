package registry

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Buckets is the number of buckets that a digest compares separately.
const Buckets = 32

// Digest summarises the live records of a registry without their sequences and
// leases: two registries with the same live records have equal digests.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Count is the number of live records.
	Count int
	// BucketHashes holds, for each bucket, the XOR of its content hashes.
	BucketHashes [Buckets]uint64
}

// Digest returns the digest of the live records.
func (r *Registry) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Digest{Count: r.live, BucketHashes: r.buckets}
}

// Difference returns the records of all buckets that differ from a peer's
// digest, at most limit. It includes tombstones, so that a peer which missed a
// withdrawal or a leaving instance is updated. For an equal digest the batch is
// empty.
func (r *Registry) Difference(peer Digest, limit int, now model.Instant) Batch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var batch Batch
	if peer.BucketHashes == r.buckets {
		return batch
	}
	for _, e := range r.entries {
		if len(batch.Records) >= limit {
			break
		}
		if peer.BucketHashes[e.bucket] != r.buckets[e.bucket] {
			batch.Records = append(batch.Records, newRecord(e, now))
		}
	}
	return batch
}

// Encode returns the CBOR form of a batch.
func (b Batch) Encode() ([]byte, error) { return cbor.Marshal(b) }

// DecodeBatch is the inverse of Batch.Encode.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := cbor.Unmarshal(data, &b)
	return b, err
}

// Encode returns the CBOR form of a digest.
func (d Digest) Encode() ([]byte, error) { return cbor.Marshal(d) }

// DecodeDigest is the inverse of Digest.Encode.
func DecodeDigest(data []byte) (Digest, error) {
	var d Digest
	err := cbor.Unmarshal(data, &d)
	return d, err
}
