package quorum

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// maxSeeds limits the search for a seed that detects a faulty variant.
const maxSeeds = 40_000

// unsafeVariants are the variants that violate safety, each with one rule
// disabled. from is a seed that detects the variant. If COMFREYLOOM_STEPS is
// set, the search starts at seed 0, as for the table in docs/design/quorum.md.
var unsafeVariants = []struct {
	name    string
	faults  Faults
	reuseID bool
	from    int
}{
	{name: "vote before it is stored", faults: Faults{SkipVoteSync: true}, from: 19066},
	{name: "acknowledge before it is stored", faults: Faults{SkipAppendSync: true}, from: 112},
	{name: "two votes in a term", faults: Faults{SkipVotedFor: true}, from: 105},
	{name: "vote for a log that is behind", faults: Faults{SkipLogUpToDate: true}, from: 2},
	{name: "commit entries of an old term", faults: Faults{CommitOldTerm: true}, from: 15053},
	{name: "lease without a quorum", faults: Faults{SkipLease: true}, from: 85},
	{name: "vote although a leader was heard", faults: Faults{SkipVoteHold: true}, from: 123},
	{name: "vote right after a restart", faults: Faults{SkipRestartHold: true}, from: 9638},
	{name: "lease after a handover", faults: Faults{LeaseAfterTransfer: true}, from: 433},
	{name: "read without a quorum", faults: Faults{ReadWithoutQuorum: true}, from: 326},
	{name: "read before an own entry", faults: Faults{ReadBeforeOwnTerm: true}, from: 391},
	{name: "two voter changes pending", faults: Faults{AllowTwoPendingVoters: true}, from: 387},
	{name: "voter change before an own entry", faults: Faults{VotersBeforeOwnTerm: true}, from: 23195},
	{name: "two voters differ at a time", faults: Faults{ReplaceVoters: true}, from: 148},
	{name: "messages of an old term", faults: Faults{SkipTermCheck: true}, from: 491},
	{name: "append without comparing", faults: Faults{SkipPreviousCheck: true}, from: 8},
	{name: "lost disk under the old ID", reuseID: true, from: 12},
}

// Guards against randomized runs that pass although a safety rule is missing. Each
// rule is disabled alone, and runs over fixed seeds must detect its absence: a
// check that cannot fail proves nothing.
func TestEverySafetyRuleIsNeeded(t *testing.T) {
	_, search := os.LookupEnv("COMFREYLOOM_STEPS")
	for _, variant := range unsafeVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			steps, seed := 0, variant.from
			if search {
				seed = 0
			}
			for ; seed < maxSeeds; seed++ {
				r := scenarios.Example(seed)
				s := newSim(variant.faults, r.shape)
				s.reuseID = variant.reuseID
				n, _ := r.run(s)
				steps += n
				if s.err != nil { // lack of progress alone does not count
					t.Logf("%s: found after %d steps, seed %d: %v", variant.name, steps, seed, s.err)
					return
				}
			}
			t.Fatalf("not found in %d steps", steps)
		})
	}
}

// simulationWithLeader returns a site of three voters with a leader and the given
// rules disabled.
func simulationWithLeader(faults Faults) *simulation {
	s := newSim(Faults{}, 0)
	waitForLeader(s)
	s.faults = faults
	for _, v := range s.vms {
		v.raft.cfg.Faults = faults
	}
	return s
}

// waitForLeader advances time until a leader is ready, and returns it.
func waitForLeader(s *simulation) *vm {
	for range 100 {
		s.runFor(500)
		for _, v := range s.vms {
			if v.raft != nil && v.raft.Status().Ready {
				return v
			}
		}
	}
	return nil
}

// Guards against a site that makes no progress, or changes its leader, although
// a quorum is available. Each case must pass with all rules and fail with its
// rule disabled, without a violation of safety.
func TestEveryLivenessRuleIsNeeded(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		succeeds func(s *simulation) bool
	}{
		// A partitioned voter reconnects after it raised its term alone.
		{"pre-vote", Faults{SkipPreVote: true}, func(s *simulation) bool {
			leader := waitForLeader(s)
			term := leader.raft.hard.Term
			s.isolate(s.vms[(leader.index+1)%3], 2)
			s.runFor(20_000)
			s.endFaults()
			s.runFor(5_000)
			return leader.raft.role == RoleLeader && leader.raft.hard.Term == term
		}},
		// A leader can send but not receive, so that no other voter campaigns.
		{"check-quorum", Faults{SkipCheckQuorum: true}, func(s *simulation) bool {
			cutOff := waitForLeader(s)
			s.isolate(cutOff, 0)
			s.runFor(8_000)
			s.propose(1)
			before := s.maxApplied
			s.runFor(1_000)
			return cutOff.raft.role != RoleLeader && s.maxApplied > before
		}},
		// A voter is lost, and then a healthy one is removed by mistake.
		{"new voters answer", Faults{SkipNewQuorumCheck: true}, func(s *simulation) bool {
			leader := waitForLeader(s)
			lost, healthy := s.vms[(leader.index+1)%3], s.vms[(leader.index+2)%3]
			s.runFor(2_000)
			s.loseDisk(lost)
			s.runFor(2_000)
			_, _, _ = leader.raft.ProposeVoters(s.voters.Without(healthy.id))
			return s.recover() == nil
		}},
		// A second voter is lost right after a repair, before the repaired one
		// has received the entry that makes it a voter.
		{"vote of the new voter", Faults{VoteOnlyAsVoter: true}, func(s *simulation) bool {
			first := waitForLeader(s)
			s.runFor(2_000)
			repaired := s.vms[(first.index+1)%3]
			s.loseDisk(repaired)
			for !s.voters.Has(repaired.id) {
				s.isolate(repaired, 2)
				s.runFor(500)
				s.repair()
			}
			s.runFor(2_000)
			s.loseDisk(first)
			return s.count.disks == 2 && s.recover() == nil
		}},
		// The leader of two voters removes itself, stores the removal and restarts.
		{"leaver campaigns", Faults{SkipRemovedCampaign: true}, func(s *simulation) bool {
			leader := waitForLeader(s)
			_, _, _ = leader.raft.ProposeVoters(s.voters.Without(s.vms[(leader.index+1)%3].id))
			s.runFor(2_000)
			leader = waitForLeader(s)
			_, _, err := leader.raft.ProposeVoters(s.voters.Without(leader.id))
			s.isolate(leader, 2)
			s.processReady(leader)
			s.runFor(1_000)
			s.crash(leader)
			return err == nil && len(s.voters.Members) == 2 && s.recover() == nil
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := simulationWithLeader(Faults{})
			is.True(c.succeeds(s))
			is.NoErr(s.err)
			s = simulationWithLeader(c.faults)
			is.True(!c.succeeds(s))
			is.NoErr(s.err) // safety holds nevertheless
		})
	}
}
