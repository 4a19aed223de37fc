package workload

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// ErrStaleSnapshot is returned for a snapshot that is older than the applied state.
var ErrStaleSnapshot = errors.New("workload: snapshot is older than the applied state")

// Machine is the replicated state machine. It guards the tables: one goroutine
// applies commands, any number read.
type Machine struct {
	mu      sync.RWMutex
	index   uint64
	tables  *Tables
	applied chan struct{}
	// clock is monotonic; nil when the times of orders are not needed.
	clock func() time.Duration
}

// NewMachine returns an empty machine at index 0.
func NewMachine() *Machine {
	return &Machine{tables: newTables(), applied: make(chan struct{})}
}

// SetClock makes the machine record in OrderAppliedAt when it applies commands that
// announce orders to the platform. It must be called before anything is applied.
func (m *Machine) SetClock(steady func() time.Duration) { m.clock = steady }

// Apply applies the command at an index of the log. A command that cannot be
// decoded is refused, in the same way on every VM.
func (m *Machine) Apply(index uint64, data []byte) state.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notifyChanged()
	m.index = index
	if len(data) == 0 {
		return state.Result{Index: index}
	}
	command, err := Decode(data)
	if err != nil {
		return state.Result{Index: index, Refused: state.Refusal(err.Error())}
	}
	refused := m.tables.apply(index, command)
	if refused == "" {
		m.recordOrderTimes(command.Ordered)
	}
	return state.Result{Index: index, Refused: state.Refusal(refused)}
}

func (m *Machine) recordOrderTimes(ordered []VMID) {
	if m.clock == nil || len(ordered) == 0 {
		return
	}
	now := m.clock()
	for _, id := range ordered {
		m.tables.OrderAppliedAt[id] = now
	}
}

func (m *Machine) notifyChanged() {
	close(m.applied)
	m.applied = make(chan struct{})
}

// Applied returns the index of the last command applied.
func (m *Machine) Applied() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Changed returns a channel that is closed when the next command or snapshot is
// applied.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.applied
}

// Wait waits until an index is applied. It returns the error of ctx if that ends
// first.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.RLock()
		reached, changed := m.index >= index, m.applied
		m.mu.RUnlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Read calls f with the tables, which f must neither modify nor retain.
func (m *Machine) Read(f func(t *Tables)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.tables)
}

// snapshotVersion is the format that this build writes; it reads version 1 as well.
const snapshotVersion = 2

// snapshot is the encoded form of the whole state, each list in a fixed order. Its
// fields are stored by position.
type snapshot struct {
	_        struct{} `cbor:",toarray"`
	Version  int
	Index    uint64
	Term     uint64
	Config   *Config
	Queues   []*Queue
	Jobs     []*Job
	Workers  []*Worker
	Waves    []*Wave
	Ordered  map[VMID]int64
	Losses   []Loss
	Suspects []*Suspect
	// Sequences is Tables.Sequences.
	Sequences map[WorkerID]uint64
}

// snapshotV1 is the format of version 1, which this build still reads.
type snapshotV1 struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Index   uint64
	Term    uint64
	Config  *Config
	Queues  []*Queue
	Jobs    []*Job
	Workers []*Worker
	Waves   []*Wave
	Ordered map[VMID]int64
}

func (p *snapshotV1) upgrade() snapshot {
	return snapshot{
		Version: snapshotVersion, Index: p.Index, Term: p.Term, Config: p.Config, Queues: p.Queues,
		Jobs: p.Jobs, Workers: p.Workers, Waves: p.Waves, Ordered: p.Ordered,
	}
}

// Snapshot encodes the whole state as of Applied.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables
	snap := snapshot{Version: snapshotVersion, Index: m.index, Term: t.Term, Config: t.Config, Jobs: t.sortedJobs(), Ordered: t.Ordered}
	for _, id := range slices.SortedFunc(maps.Keys(t.Queues), compareQueues) {
		snap.Queues = append(snap.Queues, t.Queues[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Workers)) {
		snap.Workers = append(snap.Workers, t.Workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Waves)) {
		snap.Waves = append(snap.Waves, t.Waves[id])
	}
	snap.Sequences = t.Sequences
	snap.Losses, snap.Suspects = t.sortedLosses(), t.sortedSuspects()
	return codec.Marshal(snap)
}

func compareQueues(a, b QueueID) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
}

// Restore replaces the state by a snapshot; on an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	snap, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	restored := snap.tables()
	m.mu.Lock()
	defer m.mu.Unlock()
	if snap.Index < m.index {
		return ErrStaleSnapshot
	}
	previous := m.tables
	m.index, m.tables = snap.Index, restored
	for id, atMS := range restored.Ordered {
		if appliedAt, known := previous.OrderAppliedAt[id]; known && previous.Ordered[id] == atMS {
			restored.OrderAppliedAt[id] = appliedAt
			continue
		}
		m.recordOrderTimes([]VMID{id})
	}
	m.notifyChanged()
	return nil
}

func decodeSnapshot(data []byte) (snapshot, error) {
	var old snapshotV1
	if codec.Unmarshal(data, &old) == nil && old.Version == 1 {
		return old.upgrade(), nil
	}
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return snapshot{}, fmt.Errorf("workload: decode snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return snapshot{}, fmt.Errorf("workload: snapshot has version %d; this build reads 1 and %d", snap.Version, snapshotVersion)
	}
	return snap, nil
}

func (p *snapshot) tables() *Tables {
	t := newTables()
	t.Term, t.Config = p.Term, p.Config
	for _, q := range p.Queues {
		t.Queues[q.ID] = q
	}
	for _, j := range p.Jobs {
		t.Jobs[j.ID] = j
	}
	for _, w := range p.Workers {
		t.Workers[w.ID] = w
	}
	for _, w := range p.Waves {
		t.Waves[w.ID] = w
	}
	if p.Ordered != nil {
		t.Ordered = p.Ordered
	}
	for _, loss := range p.Losses {
		t.Losses[loss.Worker] = append(t.Losses[loss.Worker], loss)
		t.unconfirmedLosses[loss.Run.Task]++
	}
	if p.Sequences != nil {
		t.Sequences = p.Sequences
	}
	for _, s := range p.Suspects {
		t.Suspects[s.Task] = s
	}
	t.rebuildDerived()
	return t
}
