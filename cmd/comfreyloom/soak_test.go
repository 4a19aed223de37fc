package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
	"github.com/comfreyloom/comfreyloom/platform/standin"
)

const (
	// soakSeeds are played in a normal run; COMFREYLOOM_SOAK=FIRST:COUNT plays others.
	soakSeeds = 2
	// soakFor is how long trouble lasts; callers go on meanwhile.
	soakFor = 12 * time.Second
	// soakOffset is between the IP where a process listens and its relay's.
	soakOffset  = 50
	soakWorkers = 3
)

// ledger is what the workers have seen of every task.
type ledger struct {
	mu     sync.Mutex
	active map[string]map[string]bool
	acked  map[string]bool
	jobs   map[string]bool
	broken []string
}

func newLedger() *ledger {
	return &ledger{active: map[string]map[string]bool{}, acked: map[string]bool{}, jobs: map[string]bool{}}
}

func (l *ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Started implements standin.Watcher.
func (l *ledger) Started(worker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[task] == nil {
		l.active[task] = map[string]bool{}
	}
	l.active[task][worker] = true
	l.jobs[task[:16]] = true
	if len(l.active[task]) > 1 {
		l.breaks("task %s runs on %v", task, l.active[task])
	}
	if l.acked[task] {
		l.breaks("task %s was started on %s after its end was acknowledged", task, worker)
	}
}

// Ended implements standin.Watcher.
func (l *ledger) Ended(worker, task string, _ workload.EndKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active[task], worker)
}

// Acked implements standin.Watcher.
func (l *ledger) Acked(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[task] = true
}

func (l *ledger) first() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) > 0 {
		return l.broken[0]
	}
	return ""
}

// soak is a site under trouble.
type soak struct {
	*memberSite
	random  *rand.Rand
	ledger  *ledger
	relays  map[string]*relay
	down    map[string]time.Time // until when a process stays down
	frozen  map[string]time.Time
	steered map[string]time.Time
	wipedAt time.Time
	births  int

	mu       sync.Mutex
	accepted map[string]bool
	refused  map[string]bool
	ended    map[string]bool // cancelled, or of unknown outcome
	version  int             // the highest configuration acknowledged
	sent     int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		memberSite: newMemberSite(t), random: rand.New(rand.NewPCG(seed, 11)), ledger: newLedger(),
		relays: map[string]*relay{}, down: map[string]time.Time{}, frozen: map[string]time.Time{}, steered: map[string]time.Time{},
		accepted: map[string]bool{}, refused: map[string]bool{}, ended: map[string]bool{},
	}
	s.offset = soakOffset
	for _, core := range s.cores() {
		r := &relay{cuts: map[direction]bool{}, open: map[*relayed]bool{}}
		listener, err := net.Listen("tcp", s.address(core, 0))
		s.must(err)
		t.Cleanup(func() { _ = listener.Close() })
		go r.serve(link{from: "peers", to: core, target: s.nodesAddress(core)}, listener)
		s.relays[core] = r
		s.start(core, true)
	}
	for i := range memberEntries {
		s.start(fmt.Sprintf("entry%d", i), false)
	}
	s.until("the first configuration is accepted", func() bool { return s.configure() })
	for i := range soakWorkers {
		s.bear(i, s.network+".200:0")
	}
	return s
}

func (s *soak) cores() []string {
	var all []string
	for i := range memberCores {
		all = append(all, fmt.Sprintf("core%d", i))
	}
	return all
}

// bear starts a worker's next incarnation, at the address of the last one.
func (s *soak) bear(i int, address string) {
	var operators []string
	for _, core := range s.cores() {
		operators = append(operators, s.address(core, 1))
	}
	s.births++
	w, err := standin.StartWorker(fmt.Sprintf("i-%d-%d", i, s.births), address, "p", operators, s.ledger)
	s.must(err)
	if i < len(s.workers) {
		s.workers[i] = w
	} else {
		s.workers = append(s.workers, w)
	}
}

// configure sends the next configuration to a core VM.
func (s *soak) configure() bool {
	s.mu.Lock()
	s.sent++
	version := s.sent
	s.mu.Unlock()
	core := s.cores()[s.random.IntN(memberCores)]
	status, _ := s.call(http.MethodPost, s.address(core, 1), standin.ConfigPath, standin.ConfigBody(version, 3000+version))
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusOK {
		s.version = max(s.version, version)
	}
	return status == http.StatusOK
}

// callers hand jobs in until stop is closed, and ask for the ones accepted.
func (s *soak) callers(random *rand.Rand, stop <-chan struct{}, first int) {
	for n := first; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(60+random.IntN(120)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", n)
		body := standin.Job{RunMS: 20 + random.IntN(900), Count: 1 + random.IntN(4), MilliCPU: 700}.Body()
		entry := s.address(fmt.Sprintf("entry%d", random.IntN(memberEntries)), 2)
		status, _ := s.call(http.MethodPost, entry, standin.JobPath(id), body)
		s.mu.Lock()
		switch status {
		case http.StatusOK:
			s.accepted[id] = true
		case http.StatusServiceUnavailable, http.StatusNotFound:
			s.refused[id] = true
		default:
			s.ended[id] = true
		}
		s.mu.Unlock()
		if status == http.StatusOK && random.IntN(12) == 0 {
			s.call(http.MethodDelete, entry, standin.JobPath(id), "")
			s.mu.Lock()
			s.ended[id] = true
			s.mu.Unlock()
		}
	}
}

// trouble does one thing to the site.
func (s *soak) trouble() {
	now := time.Now()
	later := func(least, most int) time.Time {
		return now.Add(time.Duration(least+s.random.IntN(most-least)) * time.Millisecond)
	}
	core := s.cores()[s.random.IntN(memberCores)]
	entry := fmt.Sprintf("entry%d", s.random.IntN(memberEntries))
	switch s.random.IntN(13) {
	case 0, 1:
		s.stopFor(core, later(100, 2500), syscall.SIGKILL)
	case 2:
		s.stopFor(core, later(100, 1500), syscall.SIGTERM)
	case 3:
		s.stopFor(entry, later(100, 1000), syscall.SIGKILL)
	case 4:
		for _, c := range s.cores() {
			s.stopFor(c, later(100, 900), syscall.SIGKILL)
		}
	case 5, 6:
		if p := s.processes[core]; p != nil && s.frozen[core].IsZero() {
			s.must(p.Process.Signal(syscall.SIGSTOP))
			s.frozen[core] = later(300, 3000)
		}
	case 7:
		s.wipe(core)
	case 8:
		s.relays[core].steer(0, direction{"peers", core})
		s.steered[core] = later(500, 3000)
	case 9:
		s.relays[core].steer(time.Duration(20+s.random.IntN(150)) * time.Millisecond)
		s.steered[core] = later(500, 3000)
	case 10:
		s.relays[core].silence()
	case 11:
		s.relays[core].reset()
	default:
		i := s.random.IntN(soakWorkers)
		address := s.workers[i].Address()
		s.workers[i].Close()
		s.bear(i, address)
	}
}

// stopFor ends a process that runs; it is started again later.
func (s *soak) stopFor(name string, until time.Time, signal syscall.Signal) {
	p := s.processes[name]
	if p == nil || !s.frozen[name].IsZero() {
		return
	}
	s.must(p.Process.Signal(signal))
	_ = p.Wait() // it ends by the signal, or as asked
	delete(s.processes, name)
	s.down[name] = until
}

// wipe takes the disk of one core VM while the others hold theirs and have
// been up for long enough to hold everything: one lost disk at a time is what
// the site must bear.
func (s *soak) wipe(core string) {
	if len(s.down)+len(s.frozen)+len(s.steered) > 0 || time.Since(s.wipedAt) < 8*time.Second {
		return
	}
	s.wipedAt = time.Now()
	s.stopFor(core, time.Now().Add(300*time.Millisecond), syscall.SIGKILL)
	s.must(os.RemoveAll(filepath.Join(s.dir, core)))
}

// recover ends what has lasted long enough.
func (s *soak) recover(now time.Time) {
	for name, until := range s.frozen {
		if now.After(until) {
			s.must(s.processes[name].Process.Signal(syscall.SIGCONT))
			delete(s.frozen, name)
		}
	}
	for name, until := range s.down {
		if now.After(until) {
			s.start(name, false)
			delete(s.down, name)
		}
	}
	for name, until := range s.steered {
		if now.After(until) {
			s.relays[name].steer(0)
			delete(s.steered, name)
		}
	}
}

// run plays the trouble, then calm, and checks what was promised.
func (s *soak) run(seed uint64) {
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i := range 3 {
		calling.Go(func() { s.callers(rand.New(rand.NewPCG(seed, uint64(i))), stop, 1_000_000*(i+1)) })
	}
	for began, next := time.Now(), time.Now(); time.Since(began) < soakFor; time.Sleep(20 * time.Millisecond) {
		s.recover(time.Now())
		if time.Now().After(next) {
			s.trouble()
			if s.random.IntN(3) == 0 {
				s.configure()
			}
			next = time.Now().Add(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
		}
	}
	s.recover(time.Now().Add(time.Hour))
	close(stop)
	calling.Wait()
	s.checkPromises()
}

func (s *soak) checkPromises() {
	if broken := s.ledger.first(); broken != "" {
		s.t.Fatalf("%s\n%s", broken, s.tails())
	}
	for id := range s.accepted {
		if !s.ended[id] {
			s.awaitState(id, "completed")
		}
	}
	s.ledger.mu.Lock()
	for id := range s.refused {
		if s.ledger.jobs[id] {
			s.ledger.breaks("job %s was refused and has started", id)
		}
	}
	s.ledger.mu.Unlock()
	for _, core := range s.cores() {
		s.until(core+" reads the configuration back", func() bool {
			status, text := s.call(http.MethodGet, s.address(core, 1), "/config/get", "")
			if status != http.StatusOK {
				return false
			}
			var version int
			if _, err := fmt.Sscanf(text, `{"version":%d`, &version); err != nil || version < s.version || version > s.sent {
				s.t.Fatalf("%s reads version %d back; %d was acknowledged", core, version, s.version)
			}
			return true
		})
	}
	if broken := s.ledger.first(); broken != "" {
		s.t.Fatalf("%s\n%s", broken, s.tails())
	}
	races, _ := filepath.Glob(filepath.Join(s.dir, "race.*"))
	if len(races) > 0 {
		s.t.Fatalf("data race\n%s", s.tails())
	}
	s.t.Logf("%d jobs accepted, %d refused, %d cancelled or of unknown outcome", len(s.accepted), len(s.refused), len(s.ended))
}

// TestSoak plays random trouble against real processes: signals from outside,
// lost disks, and relays that cut, delay, silence and reset their connections.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	first, count := 1, soakSeeds
	if from, number, ok := strings.Cut(os.Getenv("COMFREYLOOM_SOAK"), ":"); ok {
		first, _ = strconv.Atoi(from)
		count, _ = strconv.Atoi(number)
	}
	for seed := uint64(first); seed < uint64(first+count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			newSoak(t, seed).run(seed)
		})
	}
}
