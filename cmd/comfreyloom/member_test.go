package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/platform"
	"github.com/comfreyloom/comfreyloom/platform/standin"
)

const (
	memberCores   = 3
	memberEntries = 2
	// memberLeaseMax is the longest lease of a worker.
	memberLeaseMax = 6 * time.Second
	// memberTimeout is the timeout of each wait for an expected event; the
	// events themselves take a few seconds at most.
	memberTimeout = 60 * time.Second
)

// memberSite is a site of real processes that discover each other. Each has its
// own loopback IP; all use the same ports.
type memberSite struct {
	t       *testing.T
	folder  string
	network string
	ports   [5]int
	// lostDisks is how many core VMs may lose their disks at once.
	coreCount, entryCount, lostDisks int
	processes                        map[string]*exec.Cmd
	workers                          []*standin.Worker
	client                           *http.Client
	// listenOffset is added to the last number of the IP at which a process listens
	// for the others. A relay then listens at the IP that the process announces.
	listenOffset int
	// entryLink is the bandwidth of the entry VMs' links in bytes a second; 0 is
	// unlimited. Callers then reach them through a relay.
	entryLink int
	// leaseMax is the longest lease of a worker.
	leaseMax time.Duration
	// workersPerRelay is how many workers one core VM calls for the leader.
	workersPerRelay int
	// program is the name or path of the program to run.
	program string
	// limits is the section [limits] of all settings; it may be empty.
	limits string
}

// noRelays has the leader call all workers itself.
const noRelays = 1000

func newMemberSite(t *testing.T) *memberSite {
	return newSizedMemberSite(t, memberCores, memberEntries, 1)
}

func newSizedMemberSite(t *testing.T, cores, entries, lostDisks int) *memberSite {
	s := &memberSite{
		coreCount: cores, entryCount: entries, lostDisks: lostDisks, workersPerRelay: noRelays, leaseMax: memberLeaseMax,
		program: "comfreyloom", t: t, folder: t.TempDir(), processes: map[string]*exec.Cmd{},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.network = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, time.Now().UnixNano()/1000%250)
	for i := range s.ports {
		s.ports[i] = freePort(t, s.network+".1")
	}
	for range s.slots() {
		processSlots <- struct{}{}
	}
	t.Cleanup(s.stopAll)
	return s
}

func freePort(t *testing.T, ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (s *memberSite) stopAll() {
	for name := range s.processes {
		s.kill(name)
	}
	for _, w := range s.workers {
		w.Close()
	}
	for range s.slots() {
		<-processSlots
	}
}

// slots returns how many slots for processes the site takes.
func (s *memberSite) slots() int { return min(s.coreCount+s.entryCount, cap(processSlots)) }

func (s *memberSite) ip(name string) string {
	number, err := strconv.Atoi(strings.TrimLeft(name, "coreynt"))
	s.must(err)
	number++
	if strings.HasPrefix(name, "entry") {
		number += 100
	}
	return fmt.Sprintf("%s.%d", s.network, number)
}

func (s *memberSite) address(name string, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(name), s.ports[port])
}

// nodesAddress returns the address at which a process listens for the others.
func (s *memberSite) nodesAddress(name string) string { return s.offsetAddress(name, 0) }

// callersAddress returns the address at which an entry VM listens for callers.
func (s *memberSite) callersAddress(name string) string {
	if s.entryLink == 0 {
		return s.address(name, 2)
	}
	return s.offsetAddress(name, 2)
}

// offsetAddress returns the address behind a relay of address.
func (s *memberSite) offsetAddress(name string, port int) string {
	ip := s.ip(name)
	last := strings.LastIndexByte(ip, '.')
	number, err := strconv.Atoi(ip[last+1:])
	s.must(err)
	return fmt.Sprintf("%s.%d:%d", ip[:last], number+s.listenOffset, s.ports[port])
}

// start writes the settings of a process and starts it.
func (s *memberSite) start(name string, mayFound bool) {
	role, listen := "core", "operators = "+s.address(name, 1)
	data := "data_folder = " + filepath.Join(s.folder, name)
	if strings.HasPrefix(name, "entry") {
		role, data = "entry", ""
		listen = "callers = " + s.callersAddress(name) + "\nreadiness = " + s.address(name, 3)
	}
	text := fmt.Sprintf(`[node]
name = %s
role = %s
ip = %s
availability_zone = z
%s
may_found = %v
[listen]
%s
nodes = %s
metrics = %s
[seeds]
addresses = %s,%s,%s
[bounds]
lost_disks = %d
stop_within = 5s
worker_lease_max = %v
[relays]
workers_per_vm = %d
`, name, role, s.ip(name), data, mayFound, listen, s.nodesAddress(name), s.address(name, 4), s.ip("core0"), s.ip("core1"), s.ip("core2"), s.lostDisks, s.leaseMax, s.workersPerRelay) + s.limits
	file := filepath.Join(s.folder, name+".ini")
	s.must(os.WriteFile(file, []byte(text), 0o600))
	output, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	defer func() { _ = output.Close() }()
	process := exec.Command(s.program, "serve")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+file, "GORACE=log_path="+filepath.Join(s.folder, "race"),
		durableVariable+"="+s.durableFolder(name))
	if role == "entry" && s.entryLink > 0 {
		process.Env = append(process.Env, fmt.Sprintf("%s=%d", linkVariable, s.entryLink))
	}
	process.Stdout, process.Stderr = output, output
	s.must(process.Start())
	s.processes[name] = process
}

// durableFolder returns where a process keeps what survives a loss of power.
func (s *memberSite) durableFolder(name string) string {
	return filepath.Join(s.folder, "durable", name)
}

func (s *memberSite) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *memberSite) kill(name string) {
	if p := s.processes[name]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		delete(s.processes, name)
	}
}

// terminate sends SIGTERM to a process and returns the error of its exit.
func (s *memberSite) terminate(name string) error {
	p := s.processes[name]
	delete(s.processes, name)
	s.must(p.Process.Signal(syscall.SIGTERM))
	return p.Wait()
}

// call sends one request; the status is 0 when there was no response.
func (s *memberSite) call(method, address, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader([]byte(body)))
	s.must(err)
	request.Host = "plans.example"
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// waitFor polls a condition until it holds and fails the test after the timeout.
func (s *memberSite) waitFor(what string, step func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(memberTimeout)
	for !step() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s\n%s", what, s.logTails())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *memberSite) logTails() string {
	files, _ := filepath.Glob(filepath.Join(s.folder, "race.*"))
	logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	files = append(files, logs...)
	all := ""
	for _, file := range files {
		text, _ := os.ReadFile(file)
		all += fmt.Sprintf("== %s\n%s\n", filepath.Base(file), text[max(len(text)-3000, 0):])
	}
	return all
}

// submit sends a job to the entry VMs in turn until it is accepted.
func (s *memberSite) submit(id string, count int, ms int) {
	body := standin.Job{Count: count, MilliCPU: 500, RunMS: ms, EstimateMS: ms}.Body()
	attempt := 0
	s.waitFor("job "+id+" is accepted", func() bool {
		attempt++
		status, _ := s.call(http.MethodPost, s.address(fmt.Sprintf("entry%d", attempt%memberEntries), 2), standin.JobPath(id), body)
		return status == http.StatusOK
	})
}

func (s *memberSite) awaitState(id, state string) {
	attempt := 0
	s.waitFor("job "+id+" is "+state, func() bool {
		attempt++
		status, text := s.call(http.MethodGet, s.address(fmt.Sprintf("entry%d", attempt%memberEntries), 2), standin.JobPath(id), "")
		return status == http.StatusOK && strings.Contains(text, state)
	})
}

// leader returns the core VM that logged the latest start of leadership.
func (s *memberSite) leader() string {
	name, last := "", time.Time{}
	for i := range memberCores {
		core := fmt.Sprintf("core%d", i)
		text, _ := os.ReadFile(filepath.Join(s.folder, core+".log"))
		for line := range strings.SplitSeq(string(text), "\n") {
			var entry struct {
				Time    time.Time `json:"time"`
				Message string    `json:"message"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "leading" && entry.Time.After(last) {
				name, last = core, entry.Time
			}
		}
	}
	return name
}

// TestSiteOfProcesses runs a site of real processes through its life: founding
// from seeds, a configuration, jobs, a killed leader, a lost disk, a planned stop.
// Each task must start once, and nothing that was accepted may be lost.
func TestSiteOfProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	s := newMemberSite(t)
	var operators []string
	for i := range memberCores {
		s.start(fmt.Sprintf("core%d", i), true)
		operators = append(operators, s.address(fmt.Sprintf("core%d", i), 1))
	}
	for i := range memberEntries {
		s.start(fmt.Sprintf("entry%d", i), false)
	}
	status, _ := s.call(http.MethodPost, operators[0], standin.ConfigPath, standin.ConfigBody(1, 3000)[:12])
	is.True(status == 0 || status == http.StatusBadRequest) // not listening yet, or refused; never accepted
	config := standin.ConfigBody(3, 3000)
	attempt := 0
	s.waitFor("the configuration is accepted", func() bool {
		attempt++
		status, _ := s.call(http.MethodPost, operators[attempt%memberCores], standin.ConfigPath, config)
		return status == http.StatusOK
	})
	for i := range 2 {
		w, err := standin.StartWorker(fmt.Sprintf("i-%d", i), s.network+".200:0", "p", operators, nil)
		s.must(err)
		s.workers = append(s.workers, w)
	}
	s.submit("00000000000000a1", 4, 50)
	s.submit("00000000000000a1", 4, 50) // a resend creates no second job
	s.awaitState("00000000000000a1", "completed")

	s.submit("00000000000000b1", 6, 2500)
	s.awaitState("00000000000000b1", "running")
	killed := s.leader()
	s.kill(killed)
	s.submit("00000000000000b2", 3, 50)
	s.awaitState("00000000000000b2", "completed")
	s.awaitState("00000000000000b1", "completed")

	s.must(os.RemoveAll(filepath.Join(s.folder, killed)))
	s.start(killed, false)
	s.waitFor("the lost disk is a voter again", func() bool {
		text, _ := os.ReadFile(filepath.Join(s.folder, killed+".log"))
		return strings.Contains(string(text), "installed a snapshot of the leader")
	})
	leader := s.leader()
	if err := s.terminate(leader); err != nil {
		t.Fatalf("%s did not stop gracefully: %v\n%s", leader, err, s.logTails())
	}
	s.submit("00000000000000c1", 2, 50)
	s.awaitState("00000000000000c1", "completed")
	s.awaitState("00000000000000a1", "completed")
	s.waitFor("the configuration is read back", func() bool {
		attempt++
		status, text := s.call(http.MethodGet, operators[attempt%memberCores], "/config/get", "")
		return status == http.StatusOK && text == config
	})
	s.checkStarts()
	is.NoErr(s.terminate("entry0"))
	races, _ := filepath.Glob(filepath.Join(s.folder, "race.*"))
	is.Equal(races, nil)
}

// checkStarts fails when a task was started more than once.
func (s *memberSite) checkStarts() {
	starts := map[string]int{}
	for _, w := range s.workers {
		for task, n := range w.Starts() {
			starts[task] += n
		}
	}
	if len(starts) != 4+1+6+1+3+1+2+1 {
		s.t.Errorf("%d tasks were started", len(starts))
	}
	for task, n := range starts {
		if n != 1 {
			s.t.Errorf("task %s was started %d times", task, n)
		}
	}
}
