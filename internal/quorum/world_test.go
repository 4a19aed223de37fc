package quorum

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// tickMin and tickMax bound the duration of a tick, in units of simulated time,
// so that the drift of two clocks stays within the bound of Config.LeaseTicks.
const (
	tickMin       = 100
	tickMax       = 128
	electionTicks = 10
)

// event is a tick, the arrival of a message or the end of a write at one VM.
type event struct {
	at, seq     uint64
	vm          *vm
	incarnation int
	message     *Message
	writeDone   bool
}

type events []*event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// vm runs one voter, which restarts under a new ID after its disk is lost.
type vm struct {
	index, diskGeneration, incarnation int
	id                                 ID
	disk                               disk
	raft                               *Raft  // nil while it is down
	ready                              *Ready // being stored
	tickPeriod, nextTick, frozenUntil  uint64
	writeStarted, minWrite             uint64 // start of the current write, shortest duration of a write
	applied, digest                    uint64 // the state machine: applied index and digest of all commands
}

// simulation is a site with a faulty network, faulty disks and drifting clocks.
type simulation struct {
	faults           Faults
	reuseID          bool // fault: a lost disk is replaced under the old ID
	actionKinds      []func(s *simulation, v *vm)
	random           *rand.Rand
	now              uint64
	seq              uint64
	queue            events
	vms              []*vm
	blockedLinks     [5][5]bool
	lossPercent      int
	duplicatePercent int
	delayPercent     int
	maxWrite         uint64 // longest duration of a write
	// reportSyncTicks passes the duration of each write to SetSyncTicks.
	reportSyncTicks bool
	piggybackCommit bool // see Config.PiggybackCommit
	keepEntries     int
	checker         *InvariantChecker
	digests         map[uint64]uint64 // digest of the state by applied index
	committedAtRead map[uint64]uint64 // highest committed index when a read was requested, by token
	maxApplied      uint64            // highest index that any VM applied
	voters          Voters            // the set in force at maxApplied
	count           *counts
	err             error
}

// counts counts the events of a run.
type counts struct{ ticks, messages, commands, elections, crashes, reads, voters, disks, snapshots int }

func newSim(faults Faults, shape uint32) *simulation { return newSimWith(faults, shape, false) }

func newSimWith(faults Faults, shape uint32, piggybackCommit bool) *simulation {
	voters := 3 + int(shape%3)
	s := &simulation{
		faults: faults, piggybackCommit: piggybackCommit, maxWrite: 50, keepEntries: 8, checker: NewInvariantChecker(), count: &counts{},
		digests: map[uint64]uint64{}, committedAtRead: map[uint64]uint64{}, random: rand.New(rand.NewPCG(0, 0)),
	}
	s.chooseActionKinds(uint64(shape))
	for i := range s.blockedLinks {
		s.vms = append(s.vms, &vm{index: i, id: ID(fmt.Sprintf("%d#0", i))})
	}
	for _, v := range s.vms[:voters] {
		s.voters = s.voters.With(v.id)
	}
	s.vms[0].disk.snapshot = Snapshot{Meta: FoundingMeta(s.voters), Data: snapshotData(0)}
	s.maxApplied = foundingIndex
	for _, v := range s.vms {
		s.start(v)
	}
	return s
}

// snapshotData returns data long enough for several chunks.
func snapshotData(sum uint64) []byte {
	return fmt.Appendf(nil, "%020d%020d", sum, sum)
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *simulation) restoreStateMachine(v *vm) {
	v.applied, v.digest = v.disk.snapshot.Meta.Index, 0
	if v.applied == 0 {
		return
	}
	_, _ = fmt.Sscanf(string(v.disk.snapshot.Data[:20]), "%d", &v.digest)
	s.checkState(v)
}

func (s *simulation) checkState(v *vm) {
	if known, ok := s.digests[v.applied]; ok && known != v.digest {
		s.fail("%s has another state at %d", v.id, v.applied)
	}
	s.digests[v.applied] = v.digest
}

func (s *simulation) schedule(e *event) {
	s.seq++
	e.seq, e.incarnation = s.seq, e.vm.incarnation
	heap.Push(&s.queue, e)
}

// runFor processes the events of the given duration.
func (s *simulation) runFor(duration uint64) {
	end := s.now + duration
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(*event)
		s.now = max(s.now, e.at)
		s.handle(e)
	}
	s.now = end
}

func (s *simulation) handle(e *event) {
	v := e.vm
	if v.raft == nil || e.incarnation != v.incarnation && e.message == nil {
		return
	}
	// A partition also drops half of the messages in flight.
	if e.message != nil && s.blockedLinks[e.message.From[0]-'0'][v.index] && s.random.IntN(2) == 0 {
		return
	}
	if v.frozenUntil > s.now {
		// Missed ticks are delivered before messages that waited.
		at := v.frozenUntil
		if e.message != nil || e.writeDone {
			at++
		}
		again := *e
		again.at = at
		s.schedule(&again)
		return
	}
	switch {
	case e.message != nil:
		s.count.messages++
		s.checker.CheckMessage(e.message)
		if err := v.raft.Step(*e.message); err != nil && !errors.Is(err, ErrWrongAddressee) {
			s.fail("%s: %w", v.id, err)
		}
	case e.writeDone:
		if s.reportSyncTicks {
			v.raft.SetSyncTicks(int((s.now - v.writeStarted) / v.tickPeriod))
		}
		s.finishWrite(v)
	default:
		s.tick(v)
	}
	s.processReady(v)
}

func (s *simulation) tick(v *vm) {
	for v.nextTick <= s.now {
		s.count.ticks++
		v.raft.Tick()
		v.nextTick += v.tickPeriod
	}
	s.schedule(&event{at: v.nextTick, vm: v})
}

// processReady starts the work of the next Ready. Messages that do not depend on
// stored state are sent at once.
func (s *simulation) processReady(v *vm) {
	for s.err == nil {
		s.checkInvariants(v)
		if v.ready != nil || !v.raft.HasReady() {
			return
		}
		rd := v.raft.Ready()
		v.ready = &rd
		s.send(v, false)
		if rd.Hard != nil || rd.Snapshot != nil || len(rd.Entries) > 0 {
			v.writeStarted = s.now
			s.schedule(&event{at: s.now + v.minWrite + s.random.Uint64N(s.maxWrite), vm: v, writeDone: true})
			return
		}
		s.finishWrite(v)
	}
}

// finishWrite completes the Ready of a voter after its state is stored.
func (s *simulation) finishWrite(v *vm) {
	rd := v.ready
	v.disk.store(rd, 4+len(rd.Entries))
	s.send(v, true)
	s.checker.CheckReady(v.id, rd)
	if rd.Snapshot != nil {
		s.count.snapshots++
		s.restoreStateMachine(v)
	}
	for i := range rd.Committed {
		s.apply(v, &rd.Committed[i])
	}
	for _, read := range rd.Reads {
		s.count.reads++
		s.checker.CheckRead(v.id, s.committedAtRead[read.Token], read.Index)
		delete(s.committedAtRead, read.Token)
	}
	v.ready = nil
	v.raft.Advance(*rd)
	s.takeSnapshot(v)
}

func (s *simulation) apply(v *vm, e *Entry) {
	if e.Index != v.applied+1 {
		s.fail("%s applies %d after %d", v.id, e.Index, v.applied)
	}
	v.applied = e.Index
	v.digest = xxhash.Sum64(fmt.Appendf(nil, "%d %s", v.digest, e.Data))
	s.checkState(v)
	if e.Index <= s.maxApplied {
		return
	}
	s.maxApplied = e.Index
	if e.Kind == EntryCommand {
		s.count.commands++
	}
	if e.Kind == EntryVoters {
		s.count.voters++
		s.voters, _ = DecodeVoters(e.Data)
	}
}

func (s *simulation) send(v *vm, afterSync bool) {
	for _, m := range v.ready.Messages {
		if m.RequiresSync() != afterSync {
			continue
		}
		// With a rule disabled, the run must detect the consequences, not merely
		// that the rule is disabled.
		if s.faults == (Faults{}) {
			s.checker.CheckDurable(&m, v.disk.hard, v.disk.last())
		}
		s.transmit(v, m)
		if s.random.IntN(100) < s.duplicatePercent {
			s.transmit(v, m)
		}
	}
}

func (s *simulation) transmit(v *vm, m Message) {
	to := s.vms[m.To[0]-'0']
	if s.blockedLinks[v.index][to.index] || s.random.IntN(100) < s.lossPercent {
		return
	}
	delay := 1 + s.random.Uint64N(30)
	if s.random.IntN(100) < s.delayPercent {
		delay = s.random.Uint64N(6000)
	}
	s.schedule(&event{at: s.now + delay, vm: to, message: &m})
}

// checkInvariants checks the invariants after a voter processed an event.
func (s *simulation) checkInvariants(v *vm) {
	term := s.checker.maxLeaderTerm
	s.checker.CheckVoter(v.raft)
	if s.checker.maxLeaderTerm != term {
		s.count.elections++
		for _, other := range s.vms {
			// A frozen process cannot use its lease: it processes the missed
			// ticks first.
			if other.raft != nil && other.nextTick > s.now {
				status := other.raft.Status()
				s.checker.CheckLease(&status)
			}
		}
	}
	if n, violations := s.checker.Violations(); n > 0 {
		s.fail("%s", violations[0])
	}
}
