package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

const (
	// configSoakSize is the size of a normal run of TestConfigSoak as cores:entries;
	// COMFREYLOOM_SOAK_SIZE selects another.
	configSoakSize = "5:2"
	// configFaultTime is how long faults are injected.
	configFaultTime = 7 * time.Second
	// catchUp is how long a VM counts as lost after it is back, while no others are
	// lost.
	catchUp = 6 * time.Second
	// largeConfig is the number of queues of a large configuration.
	largeConfig = 1400
	// fillingBytes is the size of a body that fills a link for a quarter of a second.
	fillingBytes = entryLink / 4
	// recoverWithin is the time within which the site serves after lost disks.
	recoverWithin = 15 * time.Second
)

// configSoak changes the configuration of a site under fault injection.
type configSoak struct {
	*soak
	changes configLedger
	// slowestReadBack is the longest time from the return of all processes until
	// every core VM returned the configuration.
	slowestReadBack time.Duration
}

func newConfigSoak(site *memberSite, seed uint64) *configSoak {
	site.entryLink = entryLink
	s := &configSoak{soak: newSizedSoak(site, seed)}
	s.changes.sent = map[int][]sentConfig{}
	for version := 1; version <= s.sentVersion; version++ {
		text := standin.ConfigBody(version, 3000+version)
		s.changes.add(version, sentConfig{text: text, prefixes: map[string]bool{}})
	}
	s.changes.acknowledged(s.ackedVersion)
	return s
}

// nextConfig draws a configuration with another set of queues and records it.
func (s *configSoak) nextConfig(random *rand.Rand, version int) string {
	count := 1 + random.IntN(8)
	if random.IntN(8) == 0 {
		count = largeConfig
	}
	c := sentConfig{prefixes: map[string]bool{}}
	var prefixes []string
	for i := range count {
		prefix := fmt.Sprintf("/v%d-%d/", random.IntN(3), i)
		prefixes = append(prefixes, prefix)
		c.prefixes[prefix] = true
	}
	c.text = standin.ConfigWithQueues(version, prefixes)
	s.changes.add(version, c)
	return c.text
}

// send sends a valid configuration, to one core VM after another, until it is
// acknowledged. A clear refusal breaks the rules.
func (s *configSoak) send(random *rand.Rand, text string, stop <-chan struct{}) {
	version := standin.ConfigVersion(text)
	for pause := 50 * time.Millisecond; ; pause = min(2*pause, time.Second) {
		core := s.cores()[random.IntN(s.coreCount)]
		status, _ := s.call(http.MethodPost, s.address(core, 1), standin.ConfigPath, text)
		switch {
		case status == http.StatusOK:
			s.changes.acknowledged(version)
			return
		case status >= 400 && status < 500:
			s.changes.mu.Lock()
			s.changes.addViolation("%s refuses version %d with %d", core, version, status)
			s.changes.mu.Unlock()
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// operate sends changes, races, resends, overtaken and invalid configurations.
func (s *configSoak) operate(random *rand.Rand, stop <-chan struct{}) {
	for !stopped(stop, time.Duration(20+random.IntN(300))*time.Millisecond) {
		_, highest := s.changes.bounds()
		next := highest + 1 + random.IntN(3)
		switch random.IntN(10) {
		case 0, 1:
			first, second := s.nextConfig(random, next), s.nextConfig(random, next)
			var both sync.WaitGroup
			other := rand.New(rand.NewPCG(random.Uint64(), 1))
			both.Go(func() { s.send(other, second, stop) })
			s.send(random, first, stop)
			both.Wait()
		case 2, 3:
			s.resend(random, stop)
		case 4:
			bodies := standin.InvalidConfigs(next)
			s.sendInvalid(random, bodies[random.IntN(len(bodies))])
		default:
			s.send(random, s.nextConfig(random, next), stop)
		}
	}
}

// resend sends an earlier configuration again.
func (s *configSoak) resend(random *rand.Rand, stop <-chan struct{}) {
	s.changes.mu.Lock()
	var texts []string
	for version, variants := range s.changes.sent {
		if version+8 > s.changes.maxSent {
			texts = append(texts, variants[0].text)
		}
	}
	s.changes.mu.Unlock()
	slices.Sort(texts)
	s.send(random, texts[random.IntN(len(texts))], stop)
}

func (s *configSoak) sendInvalid(random *rand.Rand, text string) {
	core := s.cores()[random.IntN(s.coreCount)]
	status, _ := s.call(http.MethodPost, s.address(core, 1), standin.ConfigPath, text)
	if status == http.StatusOK {
		s.changes.mu.Lock()
		defer s.changes.mu.Unlock()
		s.changes.addViolation("%s acknowledges an invalid configuration: %.80q", core, text)
	}
}

// stopped waits and reports whether stop was closed meanwhile.
func stopped(stop <-chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// readBack reads the configuration at each core VM in turn.
func (s *configSoak) readBack(random *rand.Rand, stop <-chan struct{}) {
	for !stopped(stop, time.Duration(random.IntN(40))*time.Millisecond) {
		s.readAt(s.cores()[random.IntN(s.coreCount)])
	}
}

// readAt reads the configuration at a core VM and reports whether it answered.
func (s *configSoak) readAt(core string) bool {
	floor, _ := s.changes.bounds()
	status, text := s.call(http.MethodGet, s.address(core, 1), standin.ConfigReadPath, "")
	if status != http.StatusOK {
		return false
	}
	s.changes.read(core, floor, text)
	return true
}

// probe asks entry VMs for queues that some versions have and others don't.
func (s *configSoak) probe(random *rand.Rand, stop <-chan struct{}) {
	for !stopped(stop, time.Duration(random.IntN(40))*time.Millisecond) {
		entry := fmt.Sprintf("entry%d", random.IntN(s.entryCount))
		prefix := fmt.Sprintf("/v%d-%d/", random.IntN(3), random.IntN(9))
		floor, _ := s.changes.bounds()
		status, _ := s.call(http.MethodGet, s.address(entry, 2), prefix, "")
		if status == http.StatusOK || status == http.StatusNotFound {
			s.changes.probe(entry, prefix, floor, status == http.StatusOK)
		}
	}
}

// fillLinks fills the links of entry VMs with bodies that are refused.
func (s *configSoak) fillLinks(random *rand.Rand, stop <-chan struct{}) {
	body := strings.Repeat("x", fillingBytes)
	for !stopped(stop, time.Duration(random.IntN(100))*time.Millisecond) {
		entry := fmt.Sprintf("entry%d", random.IntN(s.entryCount))
		s.call(http.MethodPost, s.address(entry, 2), standin.JobPath(fmt.Sprintf("%016x", random.Uint64())), body)
	}
}

// run injects faults while operators and callers work, then waits until all VMs are
// back, acknowledges one more change and loses disks.
func (s *configSoak) run(seed uint64) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	client := func(n uint64, f func(*rand.Rand, <-chan struct{})) {
		clients.Go(func() { f(rand.New(rand.NewPCG(seed, n)), stop) })
	}
	for n := range uint64(3) {
		client(n, s.operate)
		client(10+n, s.readBack)
		client(20+n, s.probe)
		client(30+n, s.fillLinks)
	}
	for start, next := time.Now(), time.Now(); time.Since(start) < configFaultTime; time.Sleep(20 * time.Millisecond) {
		s.recoverFaults(time.Now())
		if time.Now().After(next) {
			s.injectConfigFault()
			next = time.Now().Add(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
		}
	}
	s.awaitCatchUp()
	s.waitFor("a change is acknowledged", func() bool { return s.closingChange() })
	s.loseDisksAndPower(s.draw(s.lostDisks))
	close(stop)
	clients.Wait()
}

// closingChange sends one change and reports whether it was acknowledged.
func (s *configSoak) closingChange() bool {
	_, highest := s.changes.bounds()
	text := s.nextConfig(s.random, highest+1)
	core := s.cores()[s.random.IntN(s.coreCount)]
	status, _ := s.call(http.MethodPost, s.address(core, 1), standin.ConfigPath, text)
	if status == http.StatusOK {
		s.changes.acknowledged(highest + 1)
	}
	return status == http.StatusOK
}

// awaitReadBack waits until every core VM returns the configuration.
func (s *configSoak) awaitReadBack() {
	start := time.Now()
	deadline := start.Add(recoverWithin)
	for _, core := range s.cores() {
		for !s.readAt(core) {
			if time.Now().After(deadline) {
				s.t.Fatalf("%s does not return the configuration %s after disks were lost\n%s", core, recoverWithin, s.logTails())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.slowestReadBack = max(s.slowestReadBack, time.Since(start))
}

func (s *configSoak) check() {
	s.changes.mu.Lock()
	defer s.changes.mu.Unlock()
	if len(s.changes.violations) > 0 {
		s.t.Fatalf("%s\n%s", strings.Join(s.changes.violations[:min(len(s.changes.violations), 10)], "\n"), s.logTails())
	}
	races, _ := filepath.Glob(filepath.Join(s.folder, "race.*"))
	if len(races) > 0 {
		s.t.Fatalf("data race\n%s", s.logTails())
	}
}

// Guards against a site that is founded by fewer voters than the losses that it
// tolerates need: two seeds lose their disks and all other processes their power
// right after the first configuration was acknowledged.
func TestFirstConfigSurvivesLostDisks(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newConfigSoak(newSizedMemberSite(t, 9, 1, 2), 1)
	s.loseDisksAndPower(s.cores()[:2])
	s.check()
}

// TestConfigSoak changes the configuration of a site of real processes under
// random faults, losses of power and lost disks. It checks at every VM what
// operators and callers see: what was acknowledged stays, is read back and is
// obeyed, nothing older follows, and nothing invalid is accepted.
func TestConfigSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	first, count := 1, 1
	if from, number, ok := strings.Cut(os.Getenv("COMFREYLOOM_SOAK"), ":"); ok {
		first, _ = strconv.Atoi(from)
		count, _ = strconv.Atoi(number)
	}
	size := configSoakSize
	if asked := os.Getenv("COMFREYLOOM_SOAK_SIZE"); asked != "" {
		size = asked
	}
	var cores, entries int
	if _, err := fmt.Sscanf(size, "%d:%d", &cores, &entries); err != nil {
		t.Fatal(err)
	}
	for seed := uint64(first); seed < uint64(first+count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newConfigSoak(newSizedMemberSite(t, cores, entries, min(2, (cores-1)/2)), seed)
			if s.random.IntN(2) == 0 {
				s.loseDisksAndPower(s.cores()[:s.lostDisks]) // seeds, right after the first configuration
				s.awaitCatchUp()
			}
			s.run(seed)
			s.check()
			s.t.Logf("%d versions, %d reads, %d probes; read back after lost disks within %d ms",
				s.changes.maxSent, s.changes.reads, s.changes.probes, s.slowestReadBack.Milliseconds())
		})
	}
}
