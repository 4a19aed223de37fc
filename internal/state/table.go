package state

import (
	"cmp"
	"maps"
	"slices"
)

// table holds the rows of one kind. Rows are immutable: a change puts another
// record. The map is copied at the first change after a view took it, so a
// view costs nothing when its table did not change.
//
// The sum of the row hashes is kept up to date with every change; it makes the
// digest of the state independent of its size.
type table[K cmp.Ordered, V any] struct {
	kind   byte
	hasher *rowHasher
	rows   map[K]*V
	hashes map[K]uint64
	sum    uint64
	shared bool
}

func newTable[K cmp.Ordered, V any](kind byte, h *rowHasher) *table[K, V] {
	return &table[K, V]{
		kind:   kind,
		hasher: h,
		rows:   map[K]*V{},
		hashes: map[K]uint64{},
	}
}

func (t *table[K, V]) get(key K) *V { return t.rows[key] }

func (t *table[K, V]) len() int { return len(t.rows) }

func (t *table[K, V]) put(key K, row *V) {
	t.own()
	hash := t.hasher.sum(t.kind, row)
	t.sum += hash - t.hashes[key]
	t.rows[key] = row
	t.hashes[key] = hash
}

func (t *table[K, V]) remove(key K) {
	if t.rows[key] == nil {
		return
	}
	t.own()
	t.sum -= t.hashes[key]
	delete(t.rows, key)
	delete(t.hashes, key)
}

// own makes sure that no view holds the map which is about to change.
func (t *table[K, V]) own() {
	if !t.shared {
		return
	}
	t.rows = maps.Clone(t.rows)
	t.shared = false
}

// share returns the map for a view.
func (t *table[K, V]) share() map[K]*V {
	t.shared = true
	return t.rows
}

// sorted returns the rows in the order of their keys.
func (t *table[K, V]) sorted() []*V { return sortedRows(t.rows) }

func sortedRows[K cmp.Ordered, V any](rows map[K]*V) []*V {
	sorted := make([]*V, 0, len(rows))
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[key])
	}
	return sorted
}
