package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// remembered is a command ID with its first result.
type remembered struct {
	ID     model.CommandID `cbor:"1,keyasint"`
	Result Result          `cbor:"2,keyasint"`
}

// commandMemory keeps the newest command IDs with their results, bounded in
// number and in the refusals they hold. Each command is also harmless by
// itself when it comes after its ID was forgotten; the memory gives the resend
// the first answer.
type commandMemory struct {
	byID map[model.CommandID]*Result
	// order holds the IDs from the oldest to the newest.
	order []model.CommandID
	// actions counts the refusals in all results.
	actions int
	sum     uint64
}

func newCommandMemory() commandMemory {
	return commandMemory{byID: map[model.CommandID]*Result{}}
}

func (m *commandMemory) find(id model.CommandID) (*Result, bool) {
	r, known := m.byID[id]
	return r, known
}

func (m *commandMemory) remember(h *rowHasher, id model.CommandID, r *Result) {
	if _, known := m.byID[id]; known {
		return
	}
	m.byID[id] = r
	m.order = append(m.order, id)
	m.actions += len(r.Actions)
	m.sum += memoryHash(h, id)
	for len(m.order) > CommandMemory || m.actions > MemoryActions {
		m.forgetOldest(h)
	}
}

func (m *commandMemory) forgetOldest(h *rowHasher) {
	oldest := m.order[0]
	m.order = m.order[1:]
	m.actions -= len(m.byID[oldest].Actions)
	m.sum -= memoryHash(h, oldest)
	delete(m.byID, oldest)
}

// inOrder returns the memory from the oldest to the newest.
func (m *commandMemory) inOrder() []remembered {
	all := make([]remembered, 0, len(m.order))
	for _, id := range m.order {
		all = append(all, remembered{id, *m.byID[id]})
	}
	return all
}

func memoryHash(h *rowHasher, id model.CommandID) uint64 { return h.sum(kindCommand, id) }

// forMemory returns the result without what is large and can be looked up
// again: the bodies of kept answers.
func forMemory(r Result) *Result {
	if r.Claim != nil && r.Claim.Existing != nil {
		r.Claim = &ClaimResult{Granted: r.Claim.Granted}
	}
	return &r
}

// again answers a command that was applied before.
func (c *core) again(command *Command, first *Result) Result {
	result := *first
	claim := command.ClaimRequest
	if claim != nil && result.Claim != nil && !result.Claim.Granted {
		result.Claim = &ClaimResult{Existing: c.claims.get(claim.Claim.Key)}
	}
	return result
}
