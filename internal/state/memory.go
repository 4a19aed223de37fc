package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// dedupEntry is a command ID with its first result.
type dedupEntry struct {
	ID     model.CommandID `cbor:"1,keyasint"`
	Result Result          `cbor:"2,keyasint"`
}

// dedupTable holds the newest command IDs with their results, bounded in number
// and in the refusals of the results. It lets a resend get the first result.
// Resending a command after its ID was evicted is safe too, since each command
// checks the state by itself.
type dedupTable struct {
	byID map[model.CommandID]*Result
	// order holds the IDs from the oldest to the newest.
	order []model.CommandID
	// refusals counts the refusals in all results.
	refusals int
	sum      uint64
}

func newDedupTable() dedupTable {
	return dedupTable{byID: map[model.CommandID]*Result{}}
}

func (t *dedupTable) lookup(id model.CommandID) (*Result, bool) {
	r, known := t.byID[id]
	return r, known
}

func (t *dedupTable) add(h *rowHasher, id model.CommandID, r *Result) {
	if _, known := t.byID[id]; known {
		return
	}
	t.byID[id] = r
	t.order = append(t.order, id)
	t.refusals += len(r.Actions)
	t.sum += commandHash(h, id)
	for len(t.order) > MaxDedupEntries || t.refusals > MaxDedupRefusals {
		t.evictOldest(h)
	}
}

func (t *dedupTable) evictOldest(h *rowHasher) {
	oldest := t.order[0]
	t.order = t.order[1:]
	t.refusals -= len(t.byID[oldest].Actions)
	t.sum -= commandHash(h, oldest)
	delete(t.byID, oldest)
}

// entries returns the entries from the oldest to the newest.
func (t *dedupTable) entries() []dedupEntry {
	all := make([]dedupEntry, 0, len(t.order))
	for _, id := range t.order {
		all = append(all, dedupEntry{id, *t.byID[id]})
	}
	return all
}

func commandHash(h *rowHasher, id model.CommandID) uint64 { return h.sum(saltCommand, id) }

// withoutExistingClaim returns the result without the existing claim, whose stored
// answer may be large and which can be looked up again.
func withoutExistingClaim(r Result) *Result {
	if r.Claim != nil && r.Claim.Existing != nil {
		r.Claim = &ClaimResult{Granted: r.Claim.Granted}
	}
	return &r
}

// duplicateResult returns the result of a command that was applied before: the
// first result, with the existing claim looked up again.
func (c *core) duplicateResult(command *Command, first *Result) Result {
	result := *first
	claim := command.ClaimRequest
	if claim != nil && result.Claim != nil && !result.Claim.Granted {
		result.Claim = &ClaimResult{Existing: c.claims.get(claim.Claim.Key)}
	}
	return result
}
