package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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
