package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func newVoter(is *is.I, hard HardState, meta SnapshotMeta, entries []Entry) *Raft {
	zero := func(int) int { return 0 }
	r, err := New(Config{Self: "1#0", ElectionTicks: 10, HeartbeatTicks: 2, Random: zero}, hard, meta, entries)
	is.NoErr(err)
	return r
}

func commands(term uint64, indexes ...uint64) []Entry {
	var entries []Entry
	for _, index := range indexes {
		entries = append(entries, Entry{Index: index, Term: term, Kind: EntryCommand, Data: []byte{byte(term)}})
	}
	return entries
}

// Guards against a voter that applies an uncommitted entry after a restart. A
// leader's entry replaces an old one and is committed at once; the hard state
// becomes durable, the entry does not, and the process ends. The stored commit
// index must not cover entries of the same write (seed 1142).
func TestStoredCommitCountsOnlyStoredEntries(t *testing.T) {
	is := is.New(t)
	meta := FoundingMeta(Voters{Members: []ID{"0#0", "1#0", "2#0"}})
	r := newVoter(is, HardState{Term: 2}, meta, commands(2, 2, 3))
	is.NoErr(r.Step(Message{
		Kind: KindAppend, From: "0#0", To: "1#0", Term: 3, Index: 1, LogTerm: 1, Entries: commands(3, 2), Commit: 2,
	}))
	rd := r.Ready()
	is.Equal(len(rd.Committed), 1)
	is.Equal(rd.Hard.Commit, uint64(1))
	r = newVoter(is, *rd.Hard, meta, commands(2, 2, 3)) // the entry was lost
	is.Equal(r.Status().Commit, uint64(1))
	is.Equal(len(r.Ready().Committed), 0)
}

// Guards against the loss of acknowledged entries at the second restart. A
// received snapshot is saved, and the process ends before it restarts the
// stored log at the snapshot. New entries are then appended after the old
// ones, and the next restart finds that the old ones contradict the snapshot
// and drops them all. New must report to the caller that the stored log does
// not continue from the snapshot, even if both end at the same index (seed
// 15733).
func TestStoredLogBehindSnapshotIsDropped(t *testing.T) {
	is := is.New(t)
	meta := SnapshotMeta{Index: 4, Term: 3, Voters: Voters{Members: []ID{"0#0", "1#0", "2#0"}}}
	for _, stale := range [][]Entry{commands(2, 2, 3, 4), commands(2, 2, 3), commands(2, 3, 4, 5)} {
		r := newVoter(is, HardState{Term: 3}, meta, stale)
		is.True(r.LogDropped())
		is.Equal(r.Status().Last, uint64(4))
	}
	r := newVoter(is, HardState{Term: 3}, meta, commands(3, 4, 5))
	is.True(!r.LogDropped())
	is.Equal(r.Status().Last, uint64(5))
}

// Guards against installing a snapshot with a corrupt byte and against
// restarting a long transfer after a lost message or a change of leader. A
// chunk is damaged or duplicated, or another leader continues the transfer. The
// whole snapshot must have a checksum, and received chunks must be kept when
// the leader changes.
func TestSnapshotChunks(t *testing.T) {
	is := is.New(t)
	r := newVoter(is, HardState{}, SnapshotMeta{}, nil)
	source := newVoter(is, HardState{}, SnapshotMeta{Index: 4, Term: 3}, nil)
	source.SetSnapshot(Snapshot{Meta: SnapshotMeta{Index: 4, Term: 3}, Data: []byte("0123456789")})
	step := func(from ID, term, offset uint64, data string) Message {
		chunk := &Chunk{Meta: source.snapshot.Meta, Total: 10, Sum: source.snapshot.sum, Offset: offset, Data: []byte(data)}
		is.NoErr(r.Step(Message{Kind: KindSnapshot, From: from, To: "1#0", Term: term, Index: 4, Chunk: chunk}))
		rd := r.Ready()
		r.Advance(rd)
		return rd.Messages[len(rd.Messages)-1]
	}
	is.Equal(step("0#0", 3, 0, "01234").Offset, uint64(5))
	is.Equal(step("0#0", 3, 0, "01234").Offset, uint64(5)) // duplicated
	is.Equal(step("2#0", 4, 5, "5x789").Offset, uint64(0)) // damaged: restarts from the beginning
	is.Equal(r.Status().Last, uint64(0))
	is.Equal(step("2#0", 4, 0, "01234").Offset, uint64(5))
	is.Equal(step("0#0", 5, 5, "56789").Kind, KindAppendReply) // another leader continues
	is.Equal(r.Status().Commit, uint64(4))
	big := &Chunk{Meta: SnapshotMeta{Index: 9, Term: 5}, Total: 1 << 40}
	is.True(r.Step(Message{Kind: KindSnapshot, From: "0#0", To: "1#0", Term: 5, Index: 9, Chunk: big}) != nil)
}

// Guards against unvalidated input: a voter must refuse messages that no correct
// voter sends, and messages for the ID that it had before its disk was lost.
func TestBadMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	r := newVoter(is, HardState{Term: 3}, SnapshotMeta{Index: 4, Term: 3}, nil)
	good := Message{Kind: KindAppend, From: "0#0", To: "1#0", Term: 3, Index: 4, LogTerm: 3}
	bad := []func(m *Message){
		func(m *Message) { m.To = "1#1" },
		func(m *Message) { m.From = "1#0" },
		func(m *Message) { m.Kind = kindEnd },
		func(m *Message) { m.Term = 0 },
		func(m *Message) { m.Entries = commands(3, 6) },
		func(m *Message) { m.Entries = commands(4, 5) },
		func(m *Message) { m.Kind = KindSnapshot },
		func(m *Message) { m.Entries = []Entry{{Index: 5, Term: 3, Kind: EntryVoters, Data: []byte("x")}} },
	}
	for _, change := range bad {
		m := good
		change(&m)
		is.True(r.Step(m) != nil)
		is.Equal(r.Status().Last, uint64(4))
	}
	is.NoErr(r.Step(good))
	_, err := New(r.cfg, HardState{Term: 3}, SnapshotMeta{Index: 4, Term: 3}, commands(3, 6)) // a gap
	is.True(err != nil)
}

// Guards against two leaders of one term. The only voter of a set campaigns,
// its process ends before its vote is stored, and after the restart it votes for
// another candidate of the same term. A voter's own vote must count only once it
// is stored (seed 3204).
func TestOwnVoteCountsOnceStored(t *testing.T) {
	is := is.New(t)
	r := newVoter(is, HardState{}, FoundingMeta(Voters{Members: []ID{"1#0"}}), nil)
	for range 10 {
		r.Tick()
	}
	rd := r.Ready()
	is.Equal(rd.Hard.VotedFor, ID("1#0"))
	is.Equal(r.Status().Role, RoleCandidate)
	r.Advance(rd)
	is.Equal(r.Status().Role, RoleLeader)
}

// Guards against a message and a sync per proposal, and against unbounded memory
// of a leader that no quorum answers. 1,000 proposals between two Readys must
// form one batch, and one more must exceed the limit.
func TestBatchesAndBounds(t *testing.T) {
	is := is.New(t)
	r := newVoter(is, HardState{}, FoundingMeta(Voters{Members: []ID{"1#0"}}), nil)
	r.cfg.MaxUncommittedBytes = 1000 * (entryOverhead + 1)
	for range 10 {
		r.Tick()
	}
	r.Advance(r.Ready())
	r.Advance(r.Ready())
	for range 1000 {
		_, _, err := r.Propose([]byte("x"))
		is.NoErr(err)
	}
	_, _, err := r.Propose([]byte("x"))
	is.Equal(err, ErrBusy)
	rd := r.Ready()
	is.Equal(len(rd.Entries), 1000)
	r.Advance(rd)
	is.Equal(len(r.Ready().Committed), 1000)
}

// Guards against sending a vote that is not stored, which the durability check
// detects and then stops the voter. A voter votes, and votes again in a later
// term, before either vote is stored. Both replies were sent together once the
// later vote was stored (seed 1011).
func TestOnlyLatestVoteIsSent(t *testing.T) {
	is := is.New(t)
	r := newVoter(is, HardState{}, SnapshotMeta{}, nil)
	for term, from := range []ID{"0#0", "2#0"} {
		is.NoErr(r.Step(Message{Kind: KindVote, From: from, To: "1#0", Term: uint64(term + 1), Forced: true}))
	}
	rd := r.Ready()
	is.Equal(len(rd.Messages), 1)
	is.Equal(rd.Messages[0].To, rd.Hard.VotedFor)
}

// Guards against a leader of many voters that spends its CPU time on messages
// without entries. Entries are committed one after the other. By default each
// commit index is sent to every follower in a message of its own; with
// PiggybackCommit it must be sent with the next entry or heartbeat.
func TestCommitIndexIsPiggybacked(t *testing.T) {
	for _, piggyback := range []bool{false, true} {
		is := is.New(t)
		r := newVoter(is, HardState{}, FoundingMeta(Voters{Members: []ID{"1#0", "2#0"}}), nil)
		r.cfg.PiggybackCommit = piggyback
		makeLeader(is, r)
		index, _, err := r.Propose([]byte("x"))
		is.NoErr(err)
		is.Equal(len(appendsTo(r, "2#0")), 1)
		is.NoErr(r.Step(Message{Kind: KindAppendReply, From: "2#0", To: "1#0", Term: r.Status().Term, Index: index}))
		is.Equal(r.Status().Commit, index)
		notices := appendsTo(r, "2#0")
		is.Equal(len(notices), map[bool]int{false: 1, true: 0}[piggyback])
		_, _, err = r.Propose([]byte("y"))
		is.NoErr(err)
		is.Equal(appendsTo(r, "2#0")[0].Commit, index)
	}
}

// makeLeader makes a voter of a set of two the leader.
func makeLeader(is *is.I, r *Raft) {
	for r.Status().Role != RoleLeader {
		r.Tick()
		for _, m := range drain(r) {
			switch m.Kind {
			case KindPreVote:
				is.NoErr(r.Step(Message{Kind: KindPreVoteReply, From: m.To, To: m.From, Term: m.Term}))
			case KindVote:
				is.NoErr(r.Step(Message{Kind: KindVoteReply, From: m.To, To: m.From, Term: m.Term}))
			}
		}
	}
	for _, m := range drain(r) {
		if m.Kind == KindAppend {
			is.NoErr(r.Step(Message{Kind: KindAppendReply, From: m.To, To: m.From, Term: m.Term, Index: r.Status().Last}))
		}
	}
	drain(r)
}

// drain processes the Readys of a voter and returns its messages.
func drain(r *Raft) []Message {
	var all []Message
	for r.HasReady() {
		rd := r.Ready()
		all = append(all, rd.Messages...)
		r.Advance(rd)
	}
	return all
}

func appendsTo(r *Raft, to ID) []Message {
	var appends []Message
	for _, m := range drain(r) {
		if m.Kind == KindAppend && m.To == to {
			appends = append(appends, m)
		}
	}
	return appends
}

// electionsOnSlowDisks simulates sites whose voters all sync to one slow storage:
// each write takes nine to sixteen ticks, the minimum election timeout is ten.
func electionsOnSlowDisks(reportSyncTicks bool) (elections, commands int) {
	for seed := range uint64(20) {
		s := newSim(Faults{}, uint32(seed))
		s.random = rand.New(rand.NewPCG(seed, 3))
		s.runFor(40 * tickMax)
		before := *s.count
		s.reportSyncTicks, s.maxWrite = reportSyncTicks, 7*tickMax
		for _, v := range s.vms {
			v.minWrite = 9 * tickMax
		}
		for range 40 {
			s.propose(1)
			s.runFor(10 * tickMax)
		}
		elections += s.count.elections - before.elections
		commands += s.count.commands - before.commands
	}
	return elections, commands
}

// Guards against frequent elections on slow storage: 126 to 333 changes of leader
// in 35 s were seen, with requests refused as not run. All voters sync to one
// busy storage, and a sync takes longer than an election timeout. The leader
// sends nothing meanwhile, another voter campaigns, and all voters sync its
// vote. A voter took the duration of the leader's sync for an unresponsive
// leader, although its own syncs took as long.
func TestSlowDisksElectFewLeaders(t *testing.T) {
	is := is.New(t)
	_, withoutReports := electionsOnSlowDisks(false)
	elections, withReports := electionsOnSlowDisks(true)
	t.Logf("commands committed %d > %d, %d elections", withoutReports, withReports, elections)
	is.True(10*withoutReports < withReports)
	is.True(elections <= 4*20) // 20 sites, 400 ticks each
}
