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
	machineVMs       = 3
	machineInstances = 4
)

// machine runs registries of several entry VMs over a network that loses,
// doubles, delays and reorders, against what the instances really are.
type machine struct {
	now        model.Instant
	registries []*Registry
	// skew is how far each entry VM's clock is from the true time.
	skew     []time.Duration
	acked    [machineVMs][machineVMs]uint64
	inFlight []message
	truth    [machineInstances]instanceTruth
	// told is the latest leaving incarnation that each entry VM was told of.
	told [machineVMs][machineInstances]uint64
}

type instanceTruth struct {
	incarnation uint64
	sequence    uint64
	leaving     bool
	gone        bool
	// announced says that it announced itself at all.
	announced bool
}

type message struct {
	to    int
	batch Batch
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: 1_000_000}
	for vm := range machineVMs {
		m.registries = append(m.registries, New(Options{}))
		m.skew = append(m.skew, time.Duration(rapid.IntRange(-100_000, 100_000).Draw(t, fmt.Sprint("skew", vm)))*time.Millisecond)
	}
	for i := range m.truth {
		m.truth[i].incarnation = 1
	}
	return m
}

func (m *machine) at(vm int) model.Instant { return m.now.Add(m.skew[vm]) }

func anyVM(t *rapid.T) int { return rapid.IntRange(0, machineVMs-1).Draw(t, "vm") }

func instanceName(i int) string { return fmt.Sprint("i", i) }

// Announce is the next word of an instance, to any entry VM.
func (m *machine) Announce(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.announce(t, vm, i, rapid.IntRange(0, 9).Draw(t, "leave") == 0)
}

func (m *machine) announce(t *rapid.T, vm, i int, leave bool) {
	truth := &m.truth[i]
	if truth.gone {
		return
	}
	truth.sequence++
	truth.leaving = truth.leaving || leave
	u := announced(instanceName(i), truth.incarnation, truth.sequence)
	u.Leaving = leave // One that takes its leaving back is held to it.
	_, err := m.registries[vm].Announce(u, m.at(vm))
	if err != nil {
		t.Fatalf("announcement in order was refused: %v", err)
	}
	truth.announced = true
	if leave {
		m.told[vm][i] = truth.incarnation
	}
}

// Late is a copy of an earlier word.
func (m *machine) Late(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	truth := m.truth[i]
	incarnation := rapid.Uint64Range(1, truth.incarnation).Draw(t, "incarnation")
	if incarnation < truth.incarnation || truth.sequence > 1 {
		u := announced(instanceName(i), incarnation, 1)
		_, _ = m.registries[vm].Announce(u, m.at(vm))
	}
}

// Restart gives an instance a new incarnation; it serves again.
func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	m.truth[i] = instanceTruth{incarnation: m.truth[i].incarnation + 1}
}

// Withdraw is the last word of an instance.
func (m *machine) Withdraw(t *rapid.T) {
	vm, i := anyVM(t), rapid.IntRange(0, machineInstances-1).Draw(t, "instance")
	truth := &m.truth[i]
	if !truth.announced {
		return
	}
	if err := m.registries[vm].Withdraw("drafts", model.InstanceID(instanceName(i)), truth.incarnation, m.at(vm)); err == nil {
		truth.gone = true
		m.told[vm][i] = truth.incarnation
	}
}

// Push sends deltas; Arrive delivers any message, and it may come again.
func (m *machine) Push(t *rapid.T) {
	from, to := anyVM(t), anyVM(t)
	b := m.registries[from].Deltas(m.acked[from][to], rapid.IntRange(1, 3).Draw(t, "limit"), m.at(from))
	if rapid.Bool().Draw(t, "arrives") {
		m.inFlight = append(m.inFlight, message{to, b})
		m.acked[from][to] = b.Upto
	}
}

func (m *machine) Arrive(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
	m.registries[m.inFlight[n].to].Merge(m.inFlight[n].batch, m.at(m.inFlight[n].to))
	if rapid.Bool().Draw(t, "last") {
		m.inFlight = slices.Delete(m.inFlight, n, n+1)
	}
}

// Repair is a digest exchange.
func (m *machine) Repair(t *rapid.T) { m.exchange(anyVM(t), anyVM(t)) }

func (m *machine) exchange(a, b int) {
	m.registries[a].Merge(m.registries[b].Difference(m.registries[a].Digest(), 100, m.at(b)), m.at(a))
}

// Pass lets time pass.
func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	for vm, r := range m.registries {
		r.Tick(m.at(vm))
	}
}

// Check is asserted after each step.
func (m *machine) Check(t *rapid.T) {
	for vm, r := range m.registries {
		if broken := r.Check(); len(broken) > 0 {
			t.Fatal(broken)
		}
		for _, u := range r.Serving("drafts") {
			var i int
			_, _ = fmt.Sscanf(string(u.Instance), "i%d", &i)
			if u.Incarnation <= m.told[vm][i] {
				t.Fatalf("entry VM %d lists %s as serving, though it was told of its leaving", vm, u.Instance)
			}
		}
	}
}

// converged exchanges digests in full and compares with the truth. Each
// instance renews once before: at the end of a lease the entry VMs may differ
// for the time that its last renewal travelled.
func (m *machine) converged(t *rapid.T) {
	for i := range m.truth {
		m.announce(t, 0, i, false)
	}
	for range 2 {
		for a := range machineVMs {
			for b := range machineVMs {
				m.exchange(a, b)
			}
		}
	}
	m.Check(t)
	for vm, r := range m.registries {
		if r.Digest() != m.registries[0].Digest() {
			t.Fatalf("entry VM %d differs after the exchange", vm)
		}
		for i, truth := range m.truth {
			u, listed := r.Get("drafts", model.InstanceID(instanceName(i)))
			if !truth.gone && (!listed || u.Incarnation != truth.incarnation || u.Leaving != truth.leaving) {
				t.Fatalf("entry VM %d has %+v of instance %d, which is %+v", vm, u, i, truth)
			}
			if truth.gone && listed {
				t.Fatalf("entry VM %d lists instance %d, which was withdrawn", vm, i)
			}
		}
	}
}

// Symptom: entry VMs disagree for long about which instances serve, or one
// that leaves gets work again. Sequence: any order of announcements, restarts
// and withdrawals, with messages lost, doubled, late and out of order. Cause:
// a merge that depends on the order of what it merges.
func TestSpreadConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.Announce, "late": m.Late, "restart": m.Restart, "withdraw": m.Withdraw,
			"push": m.Push, "arrive": m.Arrive, "repair": m.Repair, "pass": m.Pass, "": m.Check,
		})
		m.converged(t)
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
	_, err = r.Announce(announced("b", 1, 2), 10) // A known one goes on.
	is.NoErr(err)
	is.Equal(len(r.All()), 2)
}

// BenchmarkAnnounce gives the cost of renewals at growing sizes: processor time
// and bytes on the wire for one renewal, and the size of a whole repair.
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
					since = batch.Upto
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
			b.ReportMetric(float64(r.leaseTime())/1e9, "lease-s")
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

// FuzzMerge: whatever a peer sends is refused or merged without breaking an invariant.
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
		if broken := r.Check(); broken != nil {
			t.Fatal(broken)
		}
	})
}
