package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// The sockets of a process whose settings list all VMs; the first is that for callers.
const (
	listedCallersPort = 1 + iota
	listedUpstreamsPort
	listedOperatorsPort
	listedNodesPort
)

// Paths of requests at these sockets.
const (
	servicePath      = "/s/drafts/previews"
	jobsPath         = "/jobs"
	manifestPath     = "/manifest"
	statusPath       = "/status"
	announcementPath = "/upstreams/drafts/drafts-9"
)

// keyedBody is the size of bodies that are read whole, because the request has a key;
// streamedBody that of bodies that are passed on as they arrive.
const (
	keyedBody    = 1_000_000
	streamedBody = 8_000_000
)

// TestCrowdsAtListedVMs is TestCrowds for a site whose settings list all VMs.
func TestCrowdsAtListedVMs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newListedCrowdSite(t)
	for _, c := range listedCrowds() {
		t.Run(c.name, func(t *testing.T) { c.play(t, s) })
	}
}

// listedCrowds returns the crowds at each socket.
func listedCrowds() []crowd {
	const n1 = "n1"
	all := []crowd{
		{name: "bodies stop short", process: n1, port: listedCallersPort, send: body(servicePath, 60_000, 1)},
		{name: "keyed bodies stop short", process: n1, port: listedCallersPort, send: keyedBodies},
		{name: "streamed bodies stop short", process: n1, port: listedCallersPort, send: body(servicePath, streamedBody, streamedBody/2), share: 4},
		{name: "jobs stop short", process: n1, port: listedCallersPort, send: body(jobsPath, 60_000, 1)},
		{name: "chunks stop short", process: n1, port: listedCallersPort, send: chunks(servicePath)},
		{name: "responses stay unread", process: n1, port: listedCallersPort, send: unread(servicePath, pipelinedGets), keepsUnread: true},
		{name: "next heads wait behind a body", process: n1, port: listedCallersPort, send: nextHeads(servicePath)},
		{name: "manifests stop short", process: n1, port: listedOperatorsPort, send: methodBody("PUT", manifestPath, inifile.MaxSize, 1)},
		{name: "manifests are whole", process: n1, port: listedOperatorsPort, send: invalidManifest, awaitsResponse: true, share: 10},
		{name: "manifests are whole lists", process: n1, port: listedOperatorsPort, send: emptyServices, awaitsResponse: true, share: 30},
		{name: "read counters stay unread", process: n1, port: listedOperatorsPort, send: unread("/metrics", 200), keepsUnread: true},
		{name: "announcements stop short", process: n1, port: listedUpstreamsPort, send: methodBody("PUT", announcementPath, 4000, 1)},
		{name: "calls stop short", process: n1, port: listedNodesPort, send: calls("crowd", nodepb.NodePathPrefix+"Propose")},
		{name: "nothing is sent at nodes", process: n1, port: listedNodesPort, send: nothing, silent: true},
	}
	all = append(all, crowdsAt("callers", n1, listedCallersPort)...)
	all = append(all, crowdsAt("upstreams", n1, listedUpstreamsPort)...)
	all = append(all, crowdsAt("operators", n1, listedOperatorsPort)...)
	return withSizes(all)
}

// keyedBodies sends requests with a key, whose bodies lack their end.
func keyedBodies(c net.Conn, member int) error {
	header := fmt.Sprintf("Idempotency-Key: crowd-%d\r\nContent-Length: %d\r\n", member, keyedBody)
	return sendBody(c, head("POST", "/s/drafts/drafts", header), keyedBody-1)
}

// invalidManifest sends a manifest of which each line is invalid.
func invalidManifest(c net.Conn, _ int) error {
	return sendManifest(c, "[site]\n"+strings.Repeat("a\n", inifile.MaxSize/2-10))
}

// emptyServices sends a manifest of services without a key.
func emptyServices(c net.Conn, _ int) error {
	var text strings.Builder
	text.WriteString("[site]\nname = crowd\n")
	for i := 0; text.Len() < inifile.MaxSize-50; i++ {
		fmt.Fprintf(&text, "[service %x]\n", i)
	}
	return sendManifest(c, text.String())
}

func sendManifest(c net.Conn, text string) error {
	_, err := c.Write([]byte(head("PUT", manifestPath, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text))
	return err
}

// listedCrowdSite is a site of three small processes that know each other.
type listedCrowdSite struct {
	*memberSite
	layout   testSite
	revision int
}

func newListedCrowdSite(t *testing.T) *listedCrowdSite {
	s := &listedCrowdSite{memberSite: newSizedMemberSite(t, 3, 0, 1)}
	s.layout = testSite{name: "crowd", network: s.network + ".", nodes: 3}
	s.buildProgram()
	var announce []string
	for i := range s.layout.nodes {
		s.startListed(fmt.Sprintf("n%d", i+1))
		announce = append(announce, "http://"+s.layout.address(i, listedUpstreamsPort))
	}
	u, err := standin.Start(standin.Options{
		Service: "drafts", Instance: "drafts-1", VM: "kl/vm-1-1-1", AvailabilityZone: "kl-a", Renew: 300 * time.Millisecond, Announce: announce,
	})
	s.must(err)
	t.Cleanup(u.Close)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go u.Run(ctx)
	s.replaceManifest("n1")
	return s
}

func (s *listedCrowdSite) site() *memberSite { return s.memberSite }

func (s *listedCrowdSite) socketAddress(process string, port int) string {
	return s.layout.address(int(process[1]-'1'), port)
}

func (s *listedCrowdSite) restart(process string) {
	s.kill(process)
	s.startListed(process)
}

func (s *listedCrowdSite) startListed(process string) {
	var nodes strings.Builder
	for i := range s.layout.nodes {
		fmt.Fprintf(&nodes, "n%d = %s\n", i+1, s.layout.address(i, listedNodesPort))
	}
	number := int(process[1] - '0')
	text := fmt.Sprintf(settingsText, s.layout.name, number, number, number, filepath.Join(s.folder, process),
		s.socketAddress(process, listedCallersPort), s.socketAddress(process, listedUpstreamsPort),
		s.socketAddress(process, listedOperatorsPort), s.socketAddress(process, listedNodesPort), nodes.String(), s.network+".200:7000")
	file := filepath.Join(s.folder, process+".ini")
	s.must(os.WriteFile(file, []byte(text+crowdLimits()), 0o600))
	output, err := os.OpenFile(filepath.Join(s.folder, process+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	defer func() { _ = output.Close() }()
	command := exec.Command(s.program, "serve", "--settings", file)
	command.Stdout, command.Stderr = output, output
	s.must(command.Start())
	s.processes[process] = command
}

// replaceManifest sends the next revision of the manifest to a process until it is
// accepted.
func (s *listedCrowdSite) replaceManifest(process string) {
	s.revision++
	text := strings.Replace(fmt.Sprintf(manifestText, s.layout.name), "revision = 1\n", fmt.Sprintf("revision = %d\n", s.revision), 1)
	s.waitFor("the manifest is accepted", func() bool {
		status, _ := s.call(http.MethodPut, s.socketAddress(process, listedOperatorsPort), manifestPath, text)
		return status == http.StatusOK
	})
}

func (s *listedCrowdSite) awaitOrdinary(process string) {
	s.t.Helper()
	answers := func(method string, port int, path, body string) func() bool {
		return func() bool {
			status, _ := s.call(method, s.socketAddress(process, port), path, body)
			return status == http.StatusOK
		}
	}
	s.waitFor("the status is read", answers(http.MethodGet, listedOperatorsPort, statusPath, ""))
	s.waitFor("the balancer's check passes", answers(http.MethodGet, listedCallersPort, "/readyz", ""))
	s.waitFor("a request is served", answers(http.MethodPost, listedCallersPort, servicePath, "x"))
	s.replaceManifest(process)
	s.waitFor("an announcement is accepted", answers(http.MethodPut, listedUpstreamsPort, announcementPath, announcementBody))
}

// announcementBody announces an instance that takes no requests.
const announcementBody = `{"address":"127.0.0.1:9","vm":"kl/vm-1-1-2","availability_zone":"kl-a","incarnation":1,"sequence":1,"slots":1,"connections":1,"state":"leaving"}`
