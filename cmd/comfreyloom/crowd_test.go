package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// crowdSizes is what the VMs of the test grant each process, and how many come.
type crowdSizes struct {
	// memory is in bytes.
	memory      int64
	descriptors int
	// size is the number of connections of a crowd; crowds of connections that send
	// nothing have emptySize.
	size, emptySize int
}

// crowdSizeVariable selects the sizes: "site" for those of a site of the users.
const crowdSizeVariable = "COMFREYLOOM_CROWD"

func currentCrowdSizes() crowdSizes {
	if os.Getenv(crowdSizeVariable) == "site" {
		return crowdSizes{memory: 280_000_000, descriptors: 4096, size: 1500, emptySize: 4500}
	}
	return crowdSizes{memory: 128_000_000, descriptors: 700, size: 600, emptySize: 1500}
}

const (
	// crowdRounds is how often a member of a crowd connects again after its
	// connection was closed.
	crowdRounds = 3
	// crowdWriteTimeout bounds one write of a member whose peer doesn't read.
	crowdWriteTimeout = 3 * time.Second
	// sampleInterval is the time between two counts of a process's descriptors.
	sampleInterval = 20 * time.Millisecond
)

// crowd is many clients that don't behave, at one socket of one process.
type crowd struct {
	name string
	// process is the process to which they connect, atLeader for the one that leads,
	// port its socket (see memberSite).
	process string
	port    int
	// size is the number of connections; 0 stands for that of crowds that send nothing
	// if silent is set, and for the common one divided by share otherwise.
	size, share int
	silent      bool
	// through is the process to which they connect, if it isn't the one that is checked.
	through string
	// prepare runs before the crowd connects; nil does nothing.
	prepare func(h crowdHost)
	// send writes what one member sends. An error means that the peer has closed.
	send func(c net.Conn, member int) error
	// keepsUnread leaves responses unread, awaitsResponse waits for the first byte of
	// one before the process is checked.
	keepsUnread, awaitsResponse bool
}

// atLeader stands for the process that leads. It isn't restarted before the crowd comes;
// the entry VM is restarted beside the crowd, and has to reach the leader.
const atLeader = "leader"

// TestCrowds guards against clients that end a process, or keep it from its ordinary
// clients, by what they send or don't send.
func TestCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newCrowdSite(t)
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) { c.play(t, s) })
	}
}

// TestCrowdsLargestRequestsAreServedInCalm guards against bounds that refuse a client inside the
// limits of the configuration, on the smallest of the VMs.
func TestCrowdsLargestRequestsAreServedInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newCrowdSite(t)
	s.awaitOrdinary("entry0")
	address, path := s.address("entry0", callersPort), standin.JobPath("00000000000000aa")
	largestHead := head("GET", standin.JobPath("00000000000000ab"), "") // no such job
	largestHead = strings.TrimSuffix(largestHead, "\r\n") + lines(headLimit-len(largestHead)) + "\r\n"
	body := standin.JobOfLength(bodyLimit)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"a head of short lines": {largestHead, http.StatusGone},
		"a job":                 {head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body, http.StatusOK},
	} {
		conn, err := net.Dial("tcp", address)
		s.must(err)
		_, err = io.WriteString(conn, c.request)
		s.must(err)
		s.must(conn.SetReadDeadline(time.Now().Add(memberTimeout)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.must(err)
		_ = conn.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s: status %d, not %d", name, response.StatusCode, c.status)
		}
	}
}

// The limits of the configuration, in bytes.
const (
	headLimit = 16_384
	bodyLimit = 262_144
)

// TestCrowdsOfJobs guards against jobs that are accepted and fill the memory of the core
// VMs. Each crowd comes to a site of its own.
func TestCrowdsOfJobs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range jobCrowds() {
		t.Run(c.name, func(t *testing.T) { c.play(t, newCrowdSite(t)) })
	}
}

// crowdSite is a site with small processes.
type crowdSite struct {
	*memberSite
	operators []string
	version   int
	jobs      int
}

// crowdLimits returns the keys of a section [limits].
func crowdLimits() string {
	sizes := currentCrowdSizes()
	return fmt.Sprintf("memory = %dMB\ndescriptors = %d\n", sizes.memory/1_000_000, sizes.descriptors)
}

// buildProgram builds the program as it is built for use: the race detector needs several
// times as much memory.
func (s *memberSite) buildProgram() {
	s.program = filepath.Join(s.folder, "program")
	if out, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		s.t.Fatalf("build: %v\n%s", err, out)
	}
}

// newCrowdSite starts a site.
func newCrowdSite(t *testing.T) *crowdSite {
	s := &crowdSite{memberSite: newSizedMemberSite(t, memberCores, 1, 1)}
	s.buildProgram()
	s.limits = "[limits]\n" + crowdLimits()
	for i := range memberCores {
		name := fmt.Sprintf("core%d", i)
		s.start(name, true)
		s.operators = append(s.operators, s.address(name, 1))
	}
	s.start("entry0", false)
	s.replaceConfig(nil)
	return s
}

// replaceConfig sends a configuration with one more queue for each prefix until it is
// accepted.
func (s *crowdSite) replaceConfig(prefixes []string) {
	s.version++
	body := standin.ConfigWithLimits(s.version, prefixes)
	attempt := 0
	s.waitFor("the configuration is accepted", func() bool {
		attempt++
		status, _ := s.call(http.MethodPost, s.operators[attempt%len(s.operators)], standin.ConfigPath, body)
		return status == http.StatusOK
	})
}

// crowdHost is a site to which crowds come.
type crowdHost interface {
	// site holds the processes.
	site() *memberSite
	restart(process string)
	// socketAddress returns the address of a socket of a process.
	socketAddress(process string, port int) string
	// awaitOrdinary waits until a process has answered an ordinary request at each of
	// its sockets.
	awaitOrdinary(process string)
}

// play restarts the process, has the crowd connect and checks the process.
func (c crowd) play(t *testing.T, h crowdHost) {
	s := h.site()
	s.t = t
	served := c.process
	if c.process == atLeader {
		s.waitFor("a process leads", func() bool { return s.leader() != "" })
		c.process, served = s.leader(), "entry0"
	} else {
		h.restart(c.process)
	}
	h.awaitOrdinary(served)
	if c.prepare != nil {
		c.prepare(h)
	}
	watch := s.watchProcess(c.process)
	members := c.connect(h.socketAddress(cmp.Or(c.through, c.process), c.port))
	if served != c.process {
		h.restart(served)
	}
	h.awaitOrdinary(served)
	members.leave()
	h.awaitOrdinary(served)
	peak, descriptors, err := watch.end()
	sizes := currentCrowdSizes()
	t.Logf("peak memory %d MB, most descriptors %d", peak/1_000_000, descriptors)
	switch {
	case err != nil:
		t.Fatalf("%s has ended: %v\n%s", c.process, err, s.logTails())
	case peak > sizes.memory:
		t.Errorf("%s used %d bytes of memory; it has %d", c.process, peak, sizes.memory)
	case descriptors > sizes.descriptors:
		t.Errorf("%s had %d descriptors open; it has %d", c.process, descriptors, sizes.descriptors)
	}
}

func (s *crowdSite) site() *memberSite { return s.memberSite }

func (s *crowdSite) socketAddress(process string, port int) string { return s.address(process, port) }

func (s *crowdSite) restart(process string) {
	s.kill(process)
	s.start(process, false)
}

func (s *crowdSite) awaitOrdinary(process string) {
	s.t.Helper()
	s.waitFor("counters are read", func() bool { return s.answers(http.MethodGet, process, 4, "/", "") })
	if strings.HasPrefix(process, "entry") {
		s.jobs++
		path, body := standin.JobPath(fmt.Sprintf("%016x", s.jobs)), standin.Job{Count: 1, MilliCPU: 500, RunMS: 50, EstimateMS: 50}.Body()
		s.waitFor("a job is accepted", func() bool { return s.answers(http.MethodPost, process, 2, path, body) })
		s.waitFor("its state is told", func() bool { return s.answers(http.MethodGet, process, 2, path, "") })
		s.waitFor("the balancer's check passes", func() bool { return s.answers(http.MethodGet, process, 3, "/readyz", "") })
		return
	}
	s.waitFor("a report is acknowledged", func() bool {
		return s.answers(http.MethodPost, process, 1, standin.ReportPath("i-9"), standin.ReportBody)
	})
	s.waitFor("the configuration is read", func() bool { return s.answers(http.MethodGet, process, 1, standin.ConfigReadPath, "") })
}

func (s *crowdSite) answers(method, process string, port int, path, body string) bool {
	status, _ := s.call(method, s.address(process, port), path, body)
	return status == http.StatusOK
}

// members are the connections of a crowd.
type members struct {
	done    chan struct{}
	running sync.WaitGroup
}

// connect returns when all members have sent what they send, or gave up. They keep
// their connections open until leave.
func (c crowd) connect(address string) *members {
	m := &members{done: make(chan struct{})}
	var sent sync.WaitGroup
	for member := range c.size {
		sent.Add(1)
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			c.run(address, member, &sent, m.done)
		}()
	}
	sent.Wait()
	return m
}

func (m *members) leave() {
	close(m.done)
	m.running.Wait()
}

// run plays one member: it connects, sends and stays; whenever it is closed it connects
// again.
func (c crowd) run(address string, member int, sent *sync.WaitGroup, done chan struct{}) {
	var once sync.Once
	defer once.Do(sent.Done)
	for range crowdRounds {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		stop := make(chan struct{})
		go func() {
			select {
			case <-done:
			case <-stop:
			}
			_ = conn.Close()
		}()
		err = c.send(deadlineConn{conn}, member)
		if err == nil {
			if c.awaitsResponse {
				_, _ = conn.Read(make([]byte, 1)) // a response, or the peer has closed
			}
			once.Do(sent.Done)
			c.stay(conn, done)
		}
		close(stop)
		select {
		case <-done:
			return
		default:
		}
	}
}

// stay returns when the peer has closed the connection or the crowd leaves.
func (c crowd) stay(conn net.Conn, done chan struct{}) {
	if c.keepsUnread {
		<-done
		return
	}
	buffer := make([]byte, 512)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// deadlineConn bounds each write.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	return c.Conn.Write(p)
}

// resetPeak is what the kernel reads as an order to reset the peak of a process's memory.
const resetPeak = "5"

// processWatch follows the descriptors of a process.
type processWatch struct {
	pid         int
	stop, ended chan struct{}
	most        int
	err         error
}

func (s *memberSite) watchProcess(name string) *processWatch {
	w := &processWatch{pid: s.processes[name].Process.Pid, stop: make(chan struct{}), ended: make(chan struct{})}
	s.must(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", w.pid), []byte(resetPeak), 0o200))
	go w.run()
	return w
}

func (w *processWatch) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
		names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
		if err != nil {
			w.err = err
			return
		}
		w.most = max(w.most, len(names))
	}
}

// end returns the peak of the process's memory in bytes and the most descriptors that
// were open, or an error if the process has ended.
func (w *processWatch) end() (peak int64, descriptors int, err error) {
	close(w.stop)
	<-w.ended
	if w.err != nil {
		return 0, 0, w.err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kilobytes << 10, w.most, err
		}
	}
	return 0, 0, fmt.Errorf("process %d names no peak of its memory; it has ended", w.pid)
}
