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

// ErrStepBack says that a snapshot is older than what was applied.
var ErrStepBack = errors.New("workload: snapshot is older than the applied state")

// Machine guards the tables: one applier, any number of readers.
type Machine struct {
	mu      sync.RWMutex
	index   uint64
	tables  *Tables
	applied chan struct{}
	// clock is steady; nil where nobody asks when an order was learnt of.
	clock func() time.Duration
}

// NewMachine returns an empty machine at index 0.
func NewMachine() *Machine {
	return &Machine{tables: newTables(), applied: make(chan struct{})}
}

// SetClock has the machine note when it learns of orders to the platform. It is
// called before anything is applied.
func (m *Machine) SetClock(steady func() time.Duration) { m.clock = steady }

// Apply applies the command at an index of the log. A command that cannot be
// decoded is refused, on every VM alike.
func (m *Machine) Apply(index uint64, data []byte) state.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed()
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
		m.learn(command.Ordered)
	}
	return state.Result{Index: index, Refused: state.Refusal(refused)}
}

func (m *Machine) learn(ordered []MachineID) {
	if m.clock == nil || len(ordered) == 0 {
		return
	}
	now := m.clock()
	for _, machine := range ordered {
		m.tables.Learnt[machine] = now
	}
}

func (m *Machine) changed() {
	close(m.applied)
	m.applied = make(chan struct{})
}

// Applied returns the last index applied.
func (m *Machine) Applied() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Changed returns a channel that is closed at the next change.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.applied
}

// Wait returns once an index was applied, or with the error of ctx.
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

// Read calls f with the tables, which f must neither change nor keep.
func (m *Machine) Read(f func(t *Tables)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.tables)
}

// snapshotVersion is the format that this build writes and reads.
const snapshotVersion = 2

// image is the encoded form of the whole state, each list in a fixed order.
type image struct {
	_        struct{} `cbor:",toarray"`
	Version  int
	Index    uint64
	Term     uint64
	Config   *Config
	Queues   []*Queue
	Jobs     []*Job
	Workers  []*Worker
	Waves    []*Wave
	Ordered  map[MachineID]int64
	Losses   []Loss
	Suspects []*Suspect
	// Sequences is Tables.Sequences.
	Sequences map[WorkerID]uint64
}

// imageV1 is version 1, which this build reads as well.
type imageV1 struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Index   uint64
	Term    uint64
	Config  *Config
	Queues  []*Queue
	Jobs    []*Job
	Workers []*Worker
	Waves   []*Wave
	Ordered map[MachineID]int64
}

func (p *imageV1) upgrade() image {
	return image{
		Version: snapshotVersion, Index: p.Index, Term: p.Term, Config: p.Config, Queues: p.Queues,
		Jobs: p.Jobs, Workers: p.Workers, Waves: p.Waves, Ordered: p.Ordered,
	}
}

// Snapshot encodes the whole state as of Applied.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tables
	picture := image{Version: snapshotVersion, Index: m.index, Term: t.Term, Config: t.Config, Jobs: t.sortedJobs(), Ordered: t.Ordered}
	for _, id := range slices.SortedFunc(maps.Keys(t.Queues), compareQueues) {
		picture.Queues = append(picture.Queues, t.Queues[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Workers)) {
		picture.Workers = append(picture.Workers, t.Workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Waves)) {
		picture.Waves = append(picture.Waves, t.Waves[id])
	}
	picture.Sequences = t.Sequences
	picture.Losses, picture.Suspects = t.sortedLosses(), t.sortedSuspects()
	return codec.Marshal(picture)
}

func compareQueues(a, b QueueID) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
}

// Restore replaces the state by a snapshot, wholly or not at all.
func (m *Machine) Restore(data []byte) error {
	picture, err := decodeImage(data)
	if err != nil {
		return err
	}
	restored := picture.tables()
	m.mu.Lock()
	defer m.mu.Unlock()
	if picture.Index < m.index {
		return ErrStepBack
	}
	before := m.tables
	m.index, m.tables = picture.Index, restored
	for machine, atMS := range restored.Ordered {
		if learnt, known := before.Learnt[machine]; known && before.Ordered[machine] == atMS {
			restored.Learnt[machine] = learnt
			continue
		}
		m.learn([]MachineID{machine})
	}
	m.changed()
	return nil
}

func decodeImage(data []byte) (image, error) {
	var old imageV1
	if codec.Unmarshal(data, &old) == nil && old.Version == 1 {
		return old.upgrade(), nil
	}
	var picture image
	if err := codec.Unmarshal(data, &picture); err != nil {
		return image{}, fmt.Errorf("workload: decode snapshot: %w", err)
	}
	if picture.Version != snapshotVersion {
		return image{}, fmt.Errorf("workload: snapshot has version %d; this build reads 1 and %d", picture.Version, snapshotVersion)
	}
	return picture, nil
}

func (p *image) tables() *Tables {
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
		t.missing[loss.Run.Task]++
	}
	if p.Sequences != nil {
		t.Sequences = p.Sequences
	}
	for _, s := range p.Suspects {
		t.Suspects[s.Task] = s
	}
	t.derive()
	return t
}
