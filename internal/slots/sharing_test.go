package slots

import (
	"slices"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// Sizes of a benchmark run.
const (
	benchVMs       = 7
	benchInstances = 10
	benchSlots     = 8
	benchWork      = 50 * time.Millisecond
	// lossAt is when an entry VM is lost, after half of the run.
	lossAt = 6 * time.Second
)

// figures are the results of a run.
type figures struct {
	waits map[model.Priority][]time.Duration
	// wasted is the mean number of slots that were free while requests waited,
	// before and after an entry VM was lost.
	wasted [2]float64
	served int
}

func percentile(waits []time.Duration, p float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	at := min(int(p*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(scaled(time.Millisecond))
}

// traffic generates a skewed load: two fifths of the requests go to entry VM 1,
// the rest to a random entry VM. The load is 70 % of the capacity for four
// seconds, then 200 % for four and 70 % for four. Entry VM 0 is lost in the
// middle of the overload.
func (s *sim) traffic(arrive func(vm int, r *simRequest), kill func()) *figures {
	f := &figures{waits: map[model.Priority][]time.Duration{}}
	begin := s.now
	capacity := float64(benchInstances*benchSlots) / benchWork.Seconds()
	phases := []struct {
		until time.Duration
		load  float64
	}{{4 * time.Second, 0.7}, {8 * time.Second, 2}, {12 * time.Second, 0.7}}
	s.onStart = func(r *simRequest) {
		f.waits[r.priority] = append(f.waits[r.priority], s.now.Sub(r.arrived))
		f.served++
	}
	var next func()
	next = func() {
		at := s.now.Sub(begin)
		for _, p := range phases {
			if at >= scaled(p.until) {
				continue
			}
			arrive(s.pickVM(), s.newRequest())
			gap := s.random.ExpFloat64() / (capacity * p.load)
			s.after(scaled(time.Duration(gap*float64(time.Second))), next)
			return
		}
	}
	s.after(0, next)
	s.after(scaled(lossAt), kill)
	var sample func()
	sample = func() {
		half := 0
		if s.now.Sub(begin) > scaled(lossAt) {
			half = 1
		}
		f.wasted[half] += float64(min(s.freeSlots(), s.waiting())) / (lossAt.Seconds() * 1000)
		s.after(scaled(time.Millisecond), sample)
	}
	s.after(0, sample)
	s.runUntil(begin.Add(scaled(2 * lossAt)))
	return f
}

func (s *sim) pickVM() int {
	for {
		vm := 1
		if s.random.IntN(10) >= 4 {
			vm = s.random.IntN(benchVMs)
		}
		if s.alive[vm] {
			return vm
		}
	}
}

func (s *sim) newRequest() *simRequest {
	r := &simRequest{priority: model.Normal, work: scaled(time.Duration(s.random.ExpFloat64() * float64(benchWork)))}
	timeout := 2 * time.Second
	switch n := s.random.IntN(10); {
	case n == 0:
		r.priority = model.Urgent
	case n < 4:
		r.priority = model.Batch
		timeout = 8 * time.Second
	}
	r.arrived = s.now
	r.deadline = s.now.Add(scaled(timeout))
	return r
}

func (s *sim) freeSlots() int {
	free := 0
	for _, i := range s.instances {
		free += max(0, s.limit-i.running)
	}
	return free
}

func (s *sim) waiting() int {
	n := 0
	for _, vm := range s.vms {
		if vm.alive {
			n += vm.core.queue.Len()
		}
	}
	return n
}

// runShared simulates a method in which every entry VM has a core of its own.
func runShared(seed uint64, lend bool, share func(s *sim, n int) []model.NodeID) (*sim, *figures) {
	s := newSim(seed, benchVMs, benchInstances, benchSlots)
	s.countBytes = true
	s.start(lend, func(n int) []model.NodeID { return share(s, n) })
	f := s.traffic(func(vm int, r *simRequest) { s.arrive(s.vms[vm], r) }, func() { s.vms[0].alive, s.alive[0] = false, false })
	return s, f
}

// runOwner simulates the method with one owner of all slots, where each request
// and each release goes to the owner over the network. The owner is entry VM 0,
// which is lost, or another one. Slots that a lost entry VM had in use become
// free after loanEndDelay. If the owner itself is lost, it is detected after a
// second, and a successor takes over. Until loanEndDelay has passed, the
// successor uses no more slots than the others report to have in use.
func runOwner(seed uint64, ownerLost bool) (*sim, *figures) {
	s := newSim(seed, benchVMs, benchInstances, benchSlots)
	s.coreDelay = s.delay
	owner := &simVM{inUse: map[*simRequest]bool{}}
	s.vms = append(s.vms, owner)
	s.boot(owner, false, s.nodes[:1])
	var resumeAt model.Instant
	arrive := func(vm int, r *simRequest) {
		s.messages += 3
		r.origin = vm
		s.after(s.delay()+max(0, resumeAt.Sub(s.now)), func() {
			arrived := r.arrived
			s.arrive(owner, r)
			r.arrived = arrived
		})
	}
	s.orphaned = func(release func()) { s.after(scaled(loanEndDelay), release) }
	kill := func() {
		s.alive[0] = false
		for r, t := range owner.queued {
			if r.origin == 0 {
				owner.core.cancel(t)
			}
		}
		if ownerLost {
			owner.alive = false
			resumeAt = s.now.Add(scaled(time.Second))
			known := map[model.InstanceID]int{}
			for r := range owner.inUse {
				if r.origin != 0 {
					known[r.use.Instance.Upstream.Instance]++
				}
			}
			s.after(scaled(time.Second), func() { s.startSuccessor(owner, known) })
		}
	}
	return s, s.traffic(arrive, kill)
}

// startSuccessor starts the successor of a lost owner; known holds the slots
// that the other entry VMs had in use.
func (s *sim) startSuccessor(owner *simVM, known map[model.InstanceID]int) {
	s.boot(owner, false, s.nodes[:1])
	for id := range s.instances {
		owner.core.shares[id] = known[id]
	}
	owner.core.updateAllAllowed()
	s.after(scaled(loanEndDelay), func() { s.step(owner, func() { owner.core.update(s.service, s.upstreams, s.now) }) })
}

// loanEndDelay is the lease of a loan plus the longest run on it.
const loanEndDelay = lending.DefaultLease + 8*time.Second

// BenchmarkSlotSharing compares methods of sharing the slots of instances
// between entry VMs, all with the same traffic: static shares, each entry VM
// using all slots without regard to the others (blind), one owner of all slots,
// the same with the owner lost, and static shares that are lent.
func BenchmarkSlotSharing(b *testing.B) {
	everyone := func(s *sim, _ int) []model.NodeID { return s.nodes }
	alone := func(s *sim, n int) []model.NodeID { return s.nodes[n : n+1] }
	methods := []struct {
		name string
		run  func(seed uint64) (*sim, *figures)
	}{
		{"static", func(seed uint64) (*sim, *figures) { return runShared(seed, false, everyone) }},
		{"blind", func(seed uint64) (*sim, *figures) { return runShared(seed, false, alone) }},
		{"owner", func(seed uint64) (*sim, *figures) { return runOwner(seed, false) }},
		{"owner-lost", func(seed uint64) (*sim, *figures) { return runOwner(seed, true) }},
		{"lent", func(seed uint64) (*sim, *figures) { return runShared(seed, true, everyone) }},
	}
	for _, method := range methods {
		b.Run(method.name, func(b *testing.B) {
			for range b.N {
				s, f := method.run(1)
				b.ReportMetric(100*f.wasted[0]/float64(benchInstances*benchSlots), "%wasted-before")
				b.ReportMetric(100*f.wasted[1]/float64(benchInstances*benchSlots), "%wasted-after")
				b.ReportMetric(float64(s.overruns), "overruns")
				b.ReportMetric(float64(f.served), "served")
				b.ReportMetric(percentile(f.waits[model.Urgent], 0.5), "urgent-p50-ms")
				b.ReportMetric(percentile(f.waits[model.Urgent], 0.99), "urgent-p99-ms")
				b.ReportMetric(percentile(f.waits[model.Normal], 0.99), "normal-p99-ms")
				seconds := 2 * lossAt.Seconds()
				b.ReportMetric(float64(s.messages)/seconds, "messages/s")
				b.ReportMetric(float64(s.bytes)/seconds, "request-B/s")
			}
		})
	}
}
