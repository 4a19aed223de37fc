package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// action is a fault, a request or a period of time. All its choices are derived
// from its value, so that a run can be repeated and shrunk.
type action uint64

// allActionKinds lists the kinds of actions; frequent kinds occur several times.
var allActionKinds = []func(s *simulation, v *vm){
	func(s *simulation, v *vm) { s.runFor(s.random.Uint64N(4000)) },
	func(s *simulation, v *vm) { s.runFor(s.random.Uint64N(4000)) },
	func(s *simulation, v *vm) { s.propose(1 + s.random.IntN(6)) },
	func(s *simulation, v *vm) { s.propose(1 + s.random.IntN(6)) },
	func(s *simulation, v *vm) { s.startAll() },
	func(s *simulation, v *vm) { s.blockedLinks = [5][5]bool{} },
	func(s *simulation, v *vm) { s.propose(1); s.read() },
	func(s *simulation, v *vm) { s.read() },
	func(s *simulation, v *vm) { s.crash(v) },
	func(s *simulation, v *vm) { s.crashLoop(v) },
	func(s *simulation, v *vm) { s.crashEach(s.leaders()) },
	func(s *simulation, v *vm) { s.crashEach(s.writing()) },
	func(s *simulation, v *vm) { s.runUntil(&s.count.elections); s.crashEach(s.leaders()) },
	func(s *simulation, v *vm) { s.runUntil(&s.count.elections); s.changeVoters(v); s.crash(s.randomVM()) },
	func(s *simulation, v *vm) { s.isolateLeaders(); s.changeVoters(v) },
	func(s *simulation, v *vm) { s.runUntil(&s.count.elections); s.isolateLeaders(); s.propose(1) },
	func(s *simulation, v *vm) { s.runUntil(&s.count.commands); s.isolateLeaders() },
	func(s *simulation, v *vm) { s.split() },
	func(s *simulation, v *vm) { s.startIfDown(v) },
	func(s *simulation, v *vm) { s.cutFromLeaders(v) },
	func(s *simulation, v *vm) { s.runUntil(&s.count.commands); s.crashEach(s.leaders()) },
	func(s *simulation, v *vm) { s.blockedLinks[v.index][s.random.IntN(len(s.vms))] = true },
	func(s *simulation, v *vm) { s.isolate(v, s.random.IntN(3)) },
	func(s *simulation, v *vm) { v.frozenUntil = max(v.frozenUntil, s.now+s.random.Uint64N(3000)) },
	func(s *simulation, v *vm) { s.eachLeader(func(r *Raft) { _ = r.TransferLeadership(v.id) }) },
	func(s *simulation, v *vm) { s.changeVoters(v) },
	func(s *simulation, v *vm) { s.changeVoters(v) },
	func(s *simulation, v *vm) { s.repair() },
	func(s *simulation, v *vm) { s.loseDisk(v) },
	func(s *simulation, v *vm) { s.setRandomFaults() },
	func(s *simulation, v *vm) { s.endFaults() },
}

// alwaysIncluded is the number of kinds, from the first on, that every run uses.
const alwaysIncluded = 6

// chooseActionKinds omits about half or two thirds of the other kinds, since
// many kinds of faults at once mask errors that a few would reveal.
func (s *simulation) chooseActionKinds(shape uint64) {
	random := rand.New(rand.NewPCG(shape, 2))
	oneIn := 2 + random.IntN(2)
	for i, kind := range allActionKinds {
		if i < alwaysIncluded || random.IntN(oneIn) == 0 {
			s.actionKinds = append(s.actionKinds, kind)
		}
	}
}

// perform performs an action and advances time a little.
func (s *simulation) perform(a action) error {
	s.random = rand.New(rand.NewPCG(uint64(a), 1))
	v := s.randomVM()
	s.actionKinds[s.random.IntN(len(s.actionKinds))](s, v)
	s.runFor(s.random.Uint64N(400))
	return s.err
}

func (s *simulation) setRandomFaults() {
	s.lossPercent, s.duplicatePercent, s.delayPercent = s.random.IntN(20), s.random.IntN(20), s.random.IntN(10)
	s.maxWrite = 1 + s.random.Uint64N(300)
	if s.random.IntN(4) == 0 {
		s.lossPercent, s.delayPercent = s.random.IntN(40), s.random.IntN(70)
	}
}

func (s *simulation) crashEach(vms []*vm) {
	for _, v := range vms {
		s.crash(v)
	}
}

// leaders returns the VMs whose voter is in the role of leader; after a
// partition there may be several.
func (s *simulation) leaders() []*vm {
	return s.filter(func(v *vm) bool { return v.raft != nil && v.raft.role == RoleLeader })
}

func (s *simulation) writing() []*vm { return s.filter(func(v *vm) bool { return v.ready != nil }) }

func (s *simulation) filter(matches func(v *vm) bool) []*vm {
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return !matches(v) })
}

// crashLoop crashes a process repeatedly soon after each start.
func (s *simulation) crashLoop(v *vm) {
	for range 8 {
		s.crash(v)
		s.start(v)
		s.runFor(s.random.Uint64N(2 * tickMax))
	}
}

// pollInterval is the interval at which runUntil checks its counter.
const pollInterval = 15

// runUntil advances time until shortly after the count has increased,
// or for a limited time if it does not.
func (s *simulation) runUntil(count *int) {
	before := *count
	for range 6000 / pollInterval {
		s.runFor(pollInterval)
		if *count > before {
			return
		}
	}
}

func (s *simulation) endFaults() {
	s.blockedLinks = [5][5]bool{}
	s.lossPercent, s.duplicatePercent, s.delayPercent, s.maxWrite = 0, 0, 0, 50
	for _, v := range s.vms {
		v.minWrite = 0
	}
	s.startAll()
}

func (s *simulation) startAll() {
	for _, v := range s.vms {
		s.startIfDown(v)
	}
}

func (s *simulation) startIfDown(v *vm) {
	if v.raft == nil {
		s.start(v)
	}
}

// isolate blocks all messages to a VM (direction 0), from it (1), or both (2).
func (s *simulation) isolate(v *vm, direction int) {
	for other := range s.vms {
		s.blockedLinks[v.index][other] = s.blockedLinks[v.index][other] || direction != 0
		s.blockedLinks[other][v.index] = s.blockedLinks[other][v.index] || direction != 1
	}
}

func (s *simulation) randomVM() *vm { return s.vms[s.random.IntN(len(s.vms))] }

// split partitions the VMs into two groups.
func (s *simulation) split() {
	group := s.random.IntN(1 << len(s.vms))
	for a := range s.vms {
		for b := range s.vms {
			s.blockedLinks[a][b] = group>>a&1 != group>>b&1
		}
	}
}

// cutFromLeaders blocks messages from the leaders to one VM. The other VMs
// still receive messages from both.
func (s *simulation) cutFromLeaders(v *vm) {
	for _, l := range s.leaders() {
		s.blockedLinks[l.index][v.index] = l != v
	}
}

func (s *simulation) isolateLeaders() {
	for _, l := range s.leaders() {
		s.isolate(l, 2)
	}
}

// eachLeader calls visit for each leader that is not frozen.
func (s *simulation) eachLeader(visit func(r *Raft)) {
	for _, v := range s.leaders() {
		if v.frozenUntil <= s.now {
			visit(v.raft)
			s.processReady(v)
		}
	}
}

func (s *simulation) propose(n int) {
	s.eachLeader(func(r *Raft) {
		for range n {
			s.seq++
			_, _, _ = r.Propose(fmt.Appendf(nil, "%d", s.seq))
		}
	})
}

func (s *simulation) read() {
	s.eachLeader(func(r *Raft) {
		s.seq++
		s.committedAtRead[s.seq] = s.maxApplied
		_ = r.ReadIndex(s.seq)
	})
}

// changeVoters adds or removes a healthy VM; with ReplaceVoters it replaces one
// VM by another.
func (s *simulation) changeVoters(v *vm) {
	s.eachLeader(func(r *Raft) {
		voters := r.log.voters()
		if slices.ContainsFunc(voters.Members, func(id ID) bool { return !s.diskExists(id) }) {
			return // removing a healthy voter would be a second loss before the repair
		}
		next := voters.With(v.id)
		if voters.Has(v.id) {
			next = voters.Without(v.id)
		}
		if s.faults.ReplaceVoters && !voters.Has(v.id) {
			next = next.Without(voters.Members[s.random.IntN(len(voters.Members))])
		}
		if len(next.Members) > 1 || s.random.IntN(4) == 0 {
			_, _, _ = r.ProposeVoters(next)
		}
	})
}

// repair removes a voter whose disk is lost, or adds a voter to a set of fewer
// than three.
func (s *simulation) repair() {
	s.eachLeader(func(r *Raft) {
		voters := r.log.voters()
		for _, id := range voters.Members {
			if !s.diskExists(id) {
				_, _, _ = r.ProposeVoters(voters.Without(id))
				return
			}
		}
		for _, v := range s.vms {
			if len(voters.Members) < 3 && !voters.Has(v.id) {
				_, _, _ = r.ProposeVoters(voters.With(v.id))
				return
			}
		}
	})
}

// recover ends all faults; the site must then repair itself and make progress.
func (s *simulation) recover() error {
	s.random = rand.New(rand.NewPCG(7, 7))
	s.endFaults()
	goal := uint64(0)
	for range 200 {
		s.runFor(500)
		s.repair()
		if goal == 0 {
			s.propose(1)
			goal = s.recoveryGoal()
		}
		behind := func(id ID) bool { return s.vms[id[0]-'0'].applied < goal }
		if s.err != nil || goal > 0 && !slices.ContainsFunc(s.voters.Members, behind) {
			return s.err
		}
	}
	text := ""
	for _, v := range s.vms {
		text += fmt.Sprintf("\n%+v", v.raft.Status())
	}
	return fmt.Errorf("no progress after all faults ended: goal %d, applied %d, voters %v%s", goal, s.maxApplied, s.voters, text)
}

// recoveryGoal returns the index that all voters must apply, 0 until a leader
// is ready and the set of voters is complete.
func (s *simulation) recoveryGoal() uint64 {
	goal := uint64(0)
	s.eachLeader(func(r *Raft) {
		lost := slices.ContainsFunc(s.voters.Members, func(id ID) bool { return !s.diskExists(id) })
		if status := r.Status(); status.Ready && status.Confirmed && !status.VotersPending && !lost && len(s.voters.Members) >= 3 {
			goal = status.Last
		}
	})
	return goal
}
