package state

import (
	"cmp"
	"maps"
	"slices"
)

// table holds the rows of one type by key. Rows are immutable: a change stores a
// new row. The map is copied on the first change after a view has shared it, so a
// view costs nothing for tables that do not change.
//
// The sum of the row hashes is updated with every change, so that the cost of the
// state's digest does not depend on the size of the state.
type table[K cmp.Ordered, V any] struct {
	salt   byte
	hasher *rowHasher
	rows   map[K]*V
	hashes map[K]uint64
	sum    uint64
	shared bool
}

func newTable[K cmp.Ordered, V any](salt byte, h *rowHasher) *table[K, V] {
	return &table[K, V]{
		salt:   salt,
		hasher: h,
		rows:   map[K]*V{},
		hashes: map[K]uint64{},
	}
}

func (t *table[K, V]) get(key K) *V { return t.rows[key] }

func (t *table[K, V]) len() int { return len(t.rows) }

func (t *table[K, V]) put(key K, row *V) {
	t.copyIfShared()
	hash := t.hasher.sum(t.salt, row)
	t.sum += hash - t.hashes[key]
	t.rows[key] = row
	t.hashes[key] = hash
}

func (t *table[K, V]) remove(key K) {
	if t.rows[key] == nil {
		return
	}
	t.copyIfShared()
	t.sum -= t.hashes[key]
	delete(t.rows, key)
	delete(t.hashes, key)
}

// copyIfShared copies the map before a change if a view may hold it.
func (t *table[K, V]) copyIfShared() {
	if !t.shared {
		return
	}
	t.rows = maps.Clone(t.rows)
	t.shared = false
}

// share returns the map for a view and marks it as shared.
func (t *table[K, V]) share() map[K]*V {
	t.shared = true
	return t.rows
}

// sorted returns the rows sorted by key.
func (t *table[K, V]) sorted() []*V { return sortedRows(t.rows) }

func sortedRows[K cmp.Ordered, V any](rows map[K]*V) []*V {
	sorted := make([]*V, 0, len(rows))
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[key])
	}
	return sorted
}
