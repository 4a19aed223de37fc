package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	simNodes  = 7
	simVoters = 3
	simLease  = 700 * time.Millisecond
	simTick   = 50 * time.Millisecond
)

// action is one event of a run: a fault, a commit, an election or the passing
// of time. It is the seed of all random choices of the event.
type action uint32

// simNode is one process of the simulated site.
type simNode struct {
	core   *Core
	name   model.NodeID
	up     bool
	frozen bool
	// stalled nodes exchange beats but receive no log entries.
	stalled bool
	leads   bool
	term    uint64
	applied uint64
	// served is the highest applied index at which this process or a
	// predecessor was ready.
	served    uint64
	nextRound model.Instant
	lastView  View
}

type message struct {
	at      model.Instant
	to      int
	deliver func(n *simNode)
}

// simulation is a site with faulty links and a control log that follows the
// rules of package quorum: one confirmed leader at a time, under a lease.
type simulation struct {
	rules    Rules
	now      model.Instant
	nodes    []*simNode
	cut      [simNodes][simNodes]bool
	inFlight []message
	random   *rand.Rand

	leader     int
	term       uint64
	leaseUntil model.Instant
	commit     uint64
	// history records when each index was committed.
	history     []commitPoint
	viewMembers map[[2]uint64][]Member
	faultFree   bool
}

func newSimulation(rules Rules) *simulation {
	sim := &simulation{rules: rules, now: 1_000_000, leader: -1, viewMembers: map[[2]uint64][]Member{}}
	for i := range simNodes {
		sim.nodes = append(sim.nodes, &simNode{name: model.NodeID(fmt.Sprintf("n%d", i))})
		sim.restart(i, 0)
	}
	sim.random = rand.New(rand.NewPCG(0, 1))
	sim.elect(0)
	return sim
}

func (sim *simulation) restart(i int, incarnation uint64) {
	n := sim.nodes[i]
	if incarnation == 0 {
		incarnation = uint64(sim.now)
	}
	var members []model.NodeID
	for _, other := range sim.nodes {
		members = append(members, other.name)
	}
	for j := len(members); j < simNodes; j++ {
		members = append(members, model.NodeID(fmt.Sprintf("n%d", j)))
	}
	n.core = New(Config{Self: n.name, Members: members, Voters: members[:simVoters], Rules: sim.rules}, incarnation)
	n.up, n.frozen, n.leads, n.lastView, n.nextRound = true, false, false, View{}, sim.now
	if i >= simVoters {
		n.applied = 0
	}
	if sim.leader == i {
		sim.leader = -1
	}
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(m message) bool { return m.to == i })
}

func (sim *simulation) twoWay(a, b int) bool {
	return sim.nodes[a].up && sim.nodes[b].up && !sim.nodes[a].frozen && !sim.nodes[b].frozen && !sim.cut[a][b] && !sim.cut[b][a]
}

func (sim *simulation) hasQuorum(i int) bool {
	reached := 0
	for v := range simVoters {
		if v == i || sim.twoWay(i, v) {
			reached++
		}
	}
	return reached > simVoters/2 && sim.nodes[i].up && !sim.nodes[i].frozen
}

func (sim *simulation) confirmed() bool { return sim.leader >= 0 && sim.now < sim.leaseUntil }

func (sim *simulation) elect(i int) {
	if i >= simVoters || sim.confirmed() || !sim.hasQuorum(i) {
		return
	}
	sim.term++
	sim.leader, sim.leaseUntil = i, sim.now.Add(simLease)
	sim.nodes[i].leads, sim.nodes[i].term, sim.nodes[i].applied = true, sim.term, sim.commit
}

// perform performs one action and then checks the invariants.
func (sim *simulation) perform(a action) error {
	sim.random = rand.New(rand.NewPCG(uint64(a), 1))
	kind, i, j := sim.random.IntN(24), sim.random.IntN(simNodes), sim.random.IntN(simNodes)
	n := sim.nodes[i]
	switch kind {
	case 0, 1:
		sim.cut[i][j] = i != j
	case 2:
		sim.split(1 << i)
	case 3:
		sim.split(sim.random.IntN(1 << simNodes))
	case 4, 5:
		sim.cut = [simNodes][simNodes]bool{}
	case 6:
		n.up = false
	case 7:
		// The clock of a restarted VM may have gone back.
		sim.restart(i, uint64(sim.now)-uint64(sim.random.IntN(10_000)))
	case 8:
		n.frozen = !n.frozen
	case 9:
		n.stalled = !n.stalled
	case 10, 11, 12:
		sim.elect(i)
	case 13, 14, 15:
		if sim.confirmed() && sim.hasQuorum(sim.leader) {
			sim.commit++
			sim.nodes[sim.leader].applied = sim.commit
			sim.history = append(sim.history, commitPoint{sim.commit, sim.now})
		}
	default:
		return sim.run(time.Duration(sim.random.IntN(4000)) * time.Millisecond)
	}
	return sim.check()
}

// split separates the nodes in the bit set from the others, in both directions.
func (sim *simulation) split(set int) {
	for i := range simNodes {
		for j := range simNodes {
			sim.cut[i][j] = set>>i&1 != set>>j&1
		}
	}
}

func (sim *simulation) run(d time.Duration) error {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(simTick)
		sim.tick()
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) tick() {
	if sim.leader >= 0 && sim.hasQuorum(sim.leader) && sim.confirmed() {
		sim.leaseUntil = sim.now.Add(simLease)
	}
	for i, n := range sim.nodes {
		if n.leads && n.term < sim.term && sim.leader >= 0 && sim.twoWay(i, sim.leader) {
			n.leads = false
		}
		for v := range simVoters {
			if !n.stalled && sim.twoWay(i, v) && sim.random.IntN(3) > 0 {
				n.applied = max(n.applied, sim.nodes[v].applied)
			}
		}
	}
	sim.deliver()
	for i, n := range sim.nodes {
		if n.up && !n.frozen && (n.nextRound <= sim.now || n.core.NeedsImmediateRound()) {
			sim.round(i, n)
		}
	}
}

func (sim *simulation) updateLocal(n *simNode) {
	l := Local{Applied: n.applied}
	if n.leads {
		l.Leader, l.Term, l.Leads, l.Commit = n.name, n.term, true, n.applied
		l.Confirmed = n.term == sim.term && sim.confirmed()
	}
	n.core.Update(sim.now, l)
}

func (sim *simulation) round(i int, n *simNode) {
	sim.updateLocal(n)
	r := n.core.Round(sim.now)
	n.nextRound = sim.now.Add(r.Next)
	sent, core := sim.now, n.core
	for _, target := range r.Targets {
		beat := n.core.Beat(sim.now, target)
		j := slices.IndexFunc(sim.nodes, func(o *simNode) bool { return o.name == target })
		sim.send(i, j, func(to *simNode) {
			sim.updateLocal(to)
			reply := to.core.Receive(sim.now, beat)
			sim.send(j, i, func(back *simNode) {
				if back.core == core {
					sim.updateLocal(back)
					back.core.ReceiveReply(sim.now, sent, reply)
				}
			})
		})
	}
}

// send loses, delays, reorders and duplicates messages unless the simulation is
// free of faults.
func (sim *simulation) send(from, to int, deliver func(*simNode)) {
	if sim.cut[from][to] {
		return
	}
	copies, delay := 1, 0
	if !sim.faultFree {
		switch sim.random.IntN(10) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		case 2:
			delay = sim.random.IntN(8000)
		}
	}
	for range copies {
		sim.inFlight = append(sim.inFlight, message{sim.now.Add(time.Duration(delay) * time.Millisecond), to, deliver})
	}
}

func (sim *simulation) deliver() {
	messages := sim.inFlight
	sim.inFlight = nil
	for _, m := range messages {
		n := sim.nodes[m.to]
		switch {
		case !n.up:
		case n.frozen || m.at > sim.now:
			sim.inFlight = append(sim.inFlight, m)
		default:
			m.deliver(n)
		}
	}
}

// check compares the state of the processes with the state of the simulation.
func (sim *simulation) check() error {
	required := uint64(0)
	for _, m := range sim.history {
		if m.at <= sim.now.Add(-ConfirmLimit) {
			required = m.index
		}
	}
	for _, n := range sim.nodes {
		if !n.up || n.frozen {
			continue
		}
		sim.updateLocal(n)
		if violations := n.core.Violations(sim.now); len(violations) > 0 {
			return fmt.Errorf("%s: %s", n.name, violations[0])
		}
		if n.core.Status(sim.now).Ready && n.applied < required {
			return fmt.Errorf("%s is ready at index %d; %d was committed %v ago", n.name, n.applied, required, ConfirmLimit)
		}
		if n.core.Status(sim.now).Ready {
			if n.applied < n.served {
				return fmt.Errorf("%s is ready at index %d; its predecessor served index %d", n.name, n.applied, n.served)
			}
			n.served = n.applied
		}
		if err := sim.checkView(n); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) checkView(n *simNode) error {
	v := n.core.View()
	if n.lastView.Newer(v) {
		return fmt.Errorf("%s replaced view %v by the older view %v", n.name, n.lastView, v)
	}
	n.lastView = v
	key := [2]uint64{v.Term, v.Version}
	if other, seen := sim.viewMembers[key]; seen && !slices.Equal(other, v.Live) {
		return fmt.Errorf("view %v has different members: %v and %v", key, other, v.Live)
	}
	sim.viewMembers[key] = v.Live
	return nil
}

// checkRecovery ends all faults and expects every process to be ready and up to
// date, with all processes live in its view and no view newer than the first's.
func (sim *simulation) checkRecovery() error {
	sim.cut, sim.faultFree = [simNodes][simNodes]bool{}, true
	for i, n := range sim.nodes {
		n.frozen, n.stalled = false, false
		if !n.up {
			sim.restart(i, 0)
		}
	}
	if err := sim.run(time.Second); err != nil {
		return err
	}
	sim.elect(0)
	if err := sim.run(20 * time.Second); err != nil {
		return err
	}
	view := sim.nodes[0].core.View()
	for _, n := range sim.nodes {
		s := n.core.Status(sim.now)
		behind := n.core.Behind(sim.commit)
		if !s.Ready || len(behind) > 0 || len(n.core.View().Live) != simNodes || n.core.View().Newer(view) {
			return fmt.Errorf("%s after all faults ended: %+v, behind %v, view %v", n.name, s, behind, n.core.View())
		}
	}
	return nil
}
