package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// rendezvousHash is the rendezvous (highest random weight) hash of a node for a
// key.
func rendezvousHash(node model.NodeID, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}

// Rank orders nodes by their rendezvous hash for a key, highest first. Every
// entry VM computes the same order, and removing a node does not change the
// order of the others.
func Rank(nodes []model.NodeID, key string) []model.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b model.NodeID) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b, key), rendezvousHash(a, key)), cmp.Compare(a, b))
	})
	return ranked
}

// Share returns the part of limit that node may use by itself when each of
// nodes takes an equal part. The remainder goes to the nodes that rank highest
// for the key, so that the shares of all nodes add up to limit exactly.
func Share(limit int, nodes []model.NodeID, node model.NodeID, key string) int {
	if len(nodes) == 0 || !slices.Contains(nodes, node) {
		return 0
	}
	share := limit / len(nodes)
	remainder := limit % len(nodes)
	if remainder > 0 && slices.Index(Rank(nodes, key), node) < remainder {
		share++
	}
	return share
}
