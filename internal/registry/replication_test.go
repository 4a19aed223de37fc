package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	simVMs       = 3
	simInstances = 4
)

// simulation runs the registries of several entry VMs over a network that loses,
// duplicates, delays and reorders messages, and compares them with the expected
// state of the instances.
type simulation struct {
	now        model.Instant
	registries []*Registry
	// skew is the offset of each entry VM's clock from the true time.
	skew     []time.Duration
	acked    [simVMs][simVMs]uint64
	inFlight []message
	expected [simInstances]expectedInstance
	// leavingSeen is the latest leaving or withdrawn incarnation that was
	// announced at each entry VM.
	leavingSeen [simVMs][simInstances]uint64
}

type expectedInstance struct {
	incarnation uint64
	sequence    uint64
	leaving     bool
	withdrawn   bool
	// announced is set after the first announcement.
	announced bool
}

type message struct {
	to    int
	batch Batch
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: 1_000_000}
	for vm := range simVMs {
		sim.registries = append(sim.registries, New(Options{}))
		sim.skew = append(sim.skew, time.Duration(rapid.IntRange(-100_000, 100_000).Draw(t, fmt.Sprint("skew", vm)))*time.Millisecond)
	}
	for i := range sim.expected {
		sim.expected[i].incarnation = 1
	}
	return sim
}

func (sim *simulation) at(vm int) model.Instant { return sim.now.Add(sim.skew[vm]) }

func anyVM(t *rapid.T) int { return rapid.IntRange(0, simVMs-1).Draw(t, "vm") }

func instanceName(i int) string { return fmt.Sprint("i", i) }

// Announce sends the next announcement of an instance to any entry VM.
func (sim *simulation) Announce(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, simInstances-1).Draw(t, "instance")
	sim.announce(t, vm, i, rapid.IntRange(0, 9).Draw(t, "leave") == 0)
}

func (sim *simulation) announce(t *rapid.T, vm, i int, leave bool) {
	expected := &sim.expected[i]
	if expected.withdrawn {
		return
	}
	expected.sequence++
	expected.leaving = expected.leaving || leave
	u := announced(instanceName(i), expected.incarnation, expected.sequence)
	u.Leaving = leave // A later announcement may lack the flag; leaving is sticky.
	_, err := sim.registries[vm].Announce(u, sim.at(vm))
	if err != nil {
		t.Fatalf("announcement in order was refused: %v", err)
	}
	expected.announced = true
	if leave {
		sim.leavingSeen[vm][i] = expected.incarnation
	}
}

// AnnounceLate delivers a copy of an earlier announcement.
func (sim *simulation) AnnounceLate(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, simInstances-1).Draw(t, "instance")
	expected := sim.expected[i]
	incarnation := rapid.Uint64Range(1, expected.incarnation).Draw(t, "incarnation")
	if incarnation < expected.incarnation || expected.sequence > 1 {
		u := announced(instanceName(i), incarnation, 1)
		_, _ = sim.registries[vm].Announce(u, sim.at(vm))
	}
}

// Restart gives an instance a new incarnation, so that it serves again.
func (sim *simulation) Restart(t *rapid.T) {
	i := rapid.IntRange(0, simInstances-1).Draw(t, "instance")
	sim.expected[i] = expectedInstance{incarnation: sim.expected[i].incarnation + 1}
}

// Withdraw withdraws an instance at any entry VM.
func (sim *simulation) Withdraw(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, simInstances-1).Draw(t, "instance")
	expected := &sim.expected[i]
	if !expected.announced {
		return
	}
	if err := sim.registries[vm].Withdraw("drafts", model.InstanceID(instanceName(i)), expected.incarnation, sim.at(vm)); err == nil {
		expected.withdrawn = true
		sim.leavingSeen[vm][i] = expected.incarnation
	}
}

// SendDeltas sends the deltas of one entry VM to another, or loses them.
func (sim *simulation) SendDeltas(t *rapid.T) {
	from, to := anyVM(t), anyVM(t)
	b := sim.registries[from].Deltas(sim.acked[from][to], rapid.IntRange(1, 3).Draw(t, "limit"), sim.at(from))
	if rapid.Bool().Draw(t, "arrives") {
		sim.inFlight = append(sim.inFlight, message{to, b})
		sim.acked[from][to] = b.UpToVersion
	}
}

// Deliver delivers any message in flight; it may be delivered again later.
func (sim *simulation) Deliver(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
	sim.registries[sim.inFlight[n].to].Merge(sim.inFlight[n].batch, sim.at(sim.inFlight[n].to))
	if rapid.Bool().Draw(t, "last") {
		sim.inFlight = slices.Delete(sim.inFlight, n, n+1)
	}
}

// ExchangeDigests repairs one entry VM by a digest exchange with another.
func (sim *simulation) ExchangeDigests(t *rapid.T) { sim.exchange(anyVM(t), anyVM(t)) }

func (sim *simulation) exchange(a, b int) {
	sim.registries[a].Merge(sim.registries[b].Difference(sim.registries[a].Digest(), 100, sim.at(b)), sim.at(a))
}

// AdvanceTime lets up to two seconds pass.
func (sim *simulation) AdvanceTime(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	for vm, r := range sim.registries {
		r.Tick(sim.at(vm))
	}
}

// Check verifies the invariants after each step.
func (sim *simulation) Check(t *rapid.T) {
	for vm, r := range sim.registries {
		if violations := r.Violations(); len(violations) > 0 {
			t.Fatal(violations)
		}
		for _, u := range r.Serving("drafts") {
			var i int
			_, _ = fmt.Sscanf(string(u.Instance), "i%d", &i)
			if u.Incarnation <= sim.leavingSeen[vm][i] {
				t.Fatalf("entry VM %d lists %s as serving, though its leaving was announced there", vm, u.Instance)
			}
		}
	}
}

// checkConvergence exchanges digests between all entry VMs and compares them with
// the expected state. Each instance renews once before: at the end of a lease the
// entry VMs may differ for as long as its last renewal was in flight.
func (sim *simulation) checkConvergence(t *rapid.T) {
	for i := range sim.expected {
		sim.announce(t, 0, i, false)
	}
	for range 2 {
		for a := range simVMs {
			for b := range simVMs {
				sim.exchange(a, b)
			}
		}
	}
	sim.Check(t)
	for vm, r := range sim.registries {
		if r.Digest() != sim.registries[0].Digest() {
			t.Fatalf("entry VM %d differs after the exchange", vm)
		}
		for i, expected := range sim.expected {
			u, listed := r.Get("drafts", model.InstanceID(instanceName(i)))
			if !expected.withdrawn && (!listed || u.Incarnation != expected.incarnation || u.Leaving != expected.leaving) {
				t.Fatalf("entry VM %d has %+v of instance %d, which is %+v", vm, u, i, expected)
			}
			if expected.withdrawn && listed {
				t.Fatalf("entry VM %d lists instance %d, which was withdrawn", vm, i)
			}
		}
	}
}

// Entry VMs must agree on which instances serve, and a leaving instance must get
// no new work, under any order of announcements, restarts and withdrawals, with
// messages lost, duplicated, delayed and reordered. Both fail if a merge depends
// on the order of its inputs.
func TestSpreadConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": sim.Announce, "late": sim.AnnounceLate, "restart": sim.Restart, "withdraw": sim.Withdraw,
			"push": sim.SendDeltas, "arrive": sim.Deliver, "repair": sim.ExchangeDigests, "pass": sim.AdvanceTime, "": sim.Check,
		})
		sim.checkConvergence(t)
	})
}

func TestBoundsAndBadInput(t *testing.T) {
	is := is.New(t)
	r := New(Options{PerService: 2, Total: 3})
	for _, bad := range []func(u *model.Upstream){
		func(u *model.Upstream) { u.Address = "localhost:80" },
		func(u *model.Upstream) { u.Slots = 0 },
		func(u *model.Upstream) { u.Connections = MaxConnections + 1 },
		func(u *model.Upstream) { u.Instance = "" },
		func(u *model.Upstream) { u.Sequence = 0 },
	} {
		u := announced("a", 1, 1)
		bad(&u)
		_, err := r.Announce(u, 0)
		_, ok := err.(*InvalidError)
		is.True(ok)
	}
	for _, instance := range []string{"a", "b"} {
		_, err := r.Announce(announced(instance, 1, 1), 0)
		is.NoErr(err)
	}
	_, err := r.Announce(announced("c", 1, 1), 0)
	is.Equal(err, ErrFull)
	_, err = r.Announce(announced("b", 1, 2), 10) // A known instance can still renew.
	is.NoErr(err)
	is.Equal(len(r.All()), 2)
}

// BenchmarkAnnounce measures the cost of renewals by number of instances: CPU time
// and bytes on the wire for one renewal, and the size of a full repair.
func BenchmarkAnnounce(b *testing.B) {
	for _, size := range []int{50, 200, 800, 1300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, peer := New(Options{}), New(Options{})
			for n := range size {
				_, _ = r.Announce(announced(fmt.Sprint("region/worker-", n), 1_764_700_000_000, 1), 0)
			}
			peer.Merge(r.Difference(Digest{}, size, 0), 0)
			b.ReportAllocs()
			since, bytes, sequence := r.Version(), 0, uint64(1)
			b.ResetTimer()
			for n := range b.N {
				if n%size == 0 {
					sequence++
				}
				_, _ = r.Announce(announced(fmt.Sprint("region/worker-", n%size), 1_764_700_000_000, sequence), 1000)
				if n%10 == 9 {
					batch := r.Deltas(since, 10, 1000)
					since = batch.UpToVersion
					data, _ := batch.Encode()
					bytes += len(data)
					decoded, _ := DecodeBatch(data)
					peer.Merge(decoded, 1000)
				}
			}
			b.StopTimer()
			whole, _ := r.Difference(Digest{}, size, 1000).Encode()
			digest, _ := r.Digest().Encode()
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/renewal")
			b.ReportMetric(float64(len(whole))/float64(size), "wire-B/record")
			b.ReportMetric(float64(len(digest)), "digest-B")
			b.ReportMetric(float64(r.leaseDuration())/1e9, "lease-s")
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{50, 200, 800, 1300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := New(Options{})
			for n := range size {
				_, _ = r.Announce(announced(fmt.Sprint("region/worker-", n), 1, 1), 0)
			}
			for b.Loop() {
				r.Tick(1)
			}
		})
	}
}

// FuzzMerge checks that any input from a peer is refused or merged without
// violating an invariant.
func FuzzMerge(f *testing.F) {
	r := New(Options{})
	_, _ = r.Announce(announced("a", 1, 1), 0)
	seed, _ := r.Deltas(0, 10, 0).Encode()
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New(Options{PerService: 3, Total: 4})
		if b, err := DecodeBatch(data); err == nil {
			r.Merge(b, 0)
		}
		if d, err := DecodeDigest(data); err == nil {
			r.Difference(d, 10, 0)
		}
		if violations := r.Violations(); violations != nil {
			t.Fatal(violations)
		}
	})
}
