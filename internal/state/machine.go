package state

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ErrStaleSnapshot means that a snapshot is older than the applied index.
// Installing it would remove accepted changes from this VM.
var ErrStaleSnapshot = errors.New("state: snapshot is older than the applied state")

// Options configures a Machine. Production code uses the zero value.
type Options struct {
	// Rules switches off safety rules in tests.
	Rules Rules
}

// Machine is the state machine of one VM, for one applier and any number of
// concurrent readers.
type Machine struct {
	mu      sync.RWMutex
	core    *core
	options Options
	// view caches the last View; it is nil after a change until the next call of
	// View.
	view atomic.Pointer[View]
	// applied is closed and replaced after each change.
	applied chan struct{}
}

// NewMachine returns an empty machine at index 0.
func NewMachine(o Options) *Machine {
	return &Machine{core: newCore(o.Rules), options: o, applied: make(chan struct{})}
}

// Apply applies the log entry at index. Empty data only advances the index. A
// command that can't be decoded or was applied before is refused, on every VM
// alike.
func (m *Machine) Apply(index uint64, data []byte) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.core.applyEntry(index, data)
	m.notifyChange()
	return result
}

// notifyChange drops the cached view and wakes the callers of Wait.
func (m *Machine) notifyChange() {
	m.view.Store(nil)
	close(m.applied)
	m.applied = make(chan struct{})
}

// Applied returns the last index applied.
func (m *Machine) Applied() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.core.index
}

// View returns the tables as of the last index. It is built on demand and cached
// until the next change.
func (m *Machine) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.viewLocked()
}

func (m *Machine) viewLocked() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	v := m.core.view()
	m.view.Store(v)
	return v
}

// Claim returns the claim of a key, nil if there is none.
func (m *Machine) Claim(key model.RequestKey) *model.Claim {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.core.claims.get(key)
}

// Claims returns all claims, sorted by key.
func (m *Machine) Claims() []*model.Claim {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.core.claims.sorted()
}

// Audit returns at most limit of the stored audit records with a sequence of at
// least from.
func (m *Machine) Audit(from uint64, limit int) []model.AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.core.audit.read(from, limit)
}

// Violations returns the invariants that applied changes have violated since the
// machine was created or restored, at most MaxViolations of them. It is empty
// unless the program has a fault.
func (m *Machine) Violations() []Violation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]Violation(nil), m.core.violations...)
}

// Check checks every invariant of the tables; it reads all rows.
func (m *Machine) Check() []Violation {
	view := m.View()
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append(Check(view), m.core.check()...)
}

// Wait returns once index is applied, or with the error of ctx.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.RLock()
		reached := m.core.index >= index
		applied := m.applied
		m.mu.RUnlock()
		if reached {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Snapshot encodes the whole state. The applier is blocked only while the tables
// are marked as shared, not while they are encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	state := m.core.freeze(m.viewLocked())
	m.mu.Unlock()
	return state.encode()
}

// Restore replaces the state with a snapshot, atomically. A snapshot older than
// the applied index is refused with ErrStaleSnapshot.
func (m *Machine) Restore(data []byte) error {
	restored, err := restoreCore(data, m.options.Rules)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if restored.index < m.core.index && !m.options.Rules.SkipIndexOrder {
		return ErrStaleSnapshot
	}
	m.core = restored
	m.notifyChange()
	return nil
}
