package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	coreNodes  = 5
	entryNodes = 2
	// program is built by the command of the deploy file.
	program = "target/comfreyloom"
	// graceTime is from SIGTERM to SIGKILL ("grace-s").
	graceTime = 6 * time.Second
	// consumerDeadline is how long a consumer waits for an answer.
	consumerDeadline = 3 * time.Second
)

// site is a deployment of the project's own processes on loopback addresses.
type site struct {
	record  *record
	folder  string
	network string
	// ports are the same on all nodes: nodes, control, consumers, readiness, metrics.
	ports    [5]int
	provider *provider
	ledger   *ledger
	nodes    map[string]*node
	client   *http.Client
}

// node is a process of the site.
type node struct {
	name, role string
	index      int
	command    *exec.Cmd
	exited     chan struct{}
}

func newSite(rec *record) (*site, error) {
	folder, err := os.MkdirTemp("", "comfreyloom-review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: rec, folder: folder, nodes: map[string]*node{}, ledger: &ledger{record: rec},
		network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
		client:  &http.Client{Timeout: consumerDeadline},
	}
	for i := range s.ports {
		if s.ports[i], err = freePort(s.network + ".1"); err != nil {
			return nil, errors.Join(err, os.RemoveAll(folder))
		}
	}
	if s.provider, err = newProvider(rec, s.ledger, s.network+".200"); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	return s, nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (s *site) address(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.network, index+1, s.ports[port])
}

// controls lists the addresses of the nodes that serve control.
func (s *site) controls() []string {
	var all []string
	for i := range coreNodes {
		all = append(all, s.address(i, 1))
	}
	return all
}

// start starts all processes and the machines, and puts a config in force.
func (s *site) start(ctx context.Context, machines []*machine, config map[string]any) error {
	for i := range coreNodes + entryNodes {
		n := &node{name: fmt.Sprintf("core-%d", i), role: "core", index: i}
		if i >= coreNodes {
			n.name, n.role = fmt.Sprintf("entry-%d", i), "entry"
		}
		s.nodes[n.name] = n
		if err := s.startNode(n, true); err != nil {
			return err
		}
	}
	if err := s.provider.start(s.controls(), machines); err != nil {
		return err
	}
	if err := s.waitFor(ctx, "the first config is acknowledged", 30*time.Second, func() bool {
		return s.operator(wire.path("config"), config) == http.StatusOK
	}); err != nil {
		return err
	}
	return s.waitFor(ctx, "the entry nodes are ready", 15*time.Second, func() bool {
		for i := range entryNodes {
			status, _, err := s.call(http.MethodGet, "http://"+s.address(coreNodes+i, 3)+"/readyz", "", nil)
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// settings renders the fields of deploy/settings.ini for a node.
func (s *site) settings(n *node, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = %s\nrole = %s\nip = %s.%d\navailability_zone = z%d\n", n.name, n.role, s.network, n.index+1, n.index%3)
	if n.role == "core" {
		fmt.Fprintf(&b, "data_folder = %s\n", filepath.Join(s.folder, n.name))
	}
	fmt.Fprintf(&b, "may_found = %v\n\n[listen]\n", bootstrap)
	if n.role == "core" {
		fmt.Fprintf(&b, "operators = %s\n", s.address(n.index, 1))
	} else {
		fmt.Fprintf(&b, "callers = %s\nreadiness = %s\n", s.address(n.index, 2), s.address(n.index, 3))
	}
	fmt.Fprintf(&b, "nodes = %s\nmetrics = %s\n\n[seeds]\naddresses = %s,%s,%s\n\n", s.address(n.index, 0), s.address(n.index, 4),
		s.address(0, 1), s.address(1, 1), s.address(2, 1))
	b.WriteString("[bounds]\nworker_lease_max = 6000ms\nworker_stop_within = 400ms\nfleet_take_over = 3000ms\nlost_disks = 1\nstop_within = 6s\n\n")
	fmt.Fprintf(&b, "[fleet]\naddress = %s\norders_per_second = 64.0\n\n[advisor]\naddress =\n", s.provider.address())
	return b.String()
}

// startNode starts the process of a node. Its log goes to a file in the site's folder.
func (s *site) startNode(n *node, bootstrap bool) error {
	file := filepath.Join(s.folder, n.name+".ini")
	if err := os.WriteFile(file, []byte(s.settings(n, bootstrap)), 0o600); err != nil {
		return err
	}
	if n.role == "core" {
		if err := os.MkdirAll(filepath.Join(s.folder, n.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, wire.Settings + "=" + file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	s.record.printf("process %s starts", n.name)
	go func() {
		err := command.Wait()
		s.record.printf("process %s has ended: %v", n.name, err)
		_ = log.Close() // the process wrote it
		close(exited)
	}()
	return nil
}

// kill sends SIGKILL to a node's process and waits for its end.
func (s *site) kill(n *node) error {
	s.record.printf("process %s gets SIGKILL", n.name)
	if err := n.command.Process.Kill(); err != nil {
		return err
	}
	<-n.exited
	return nil
}

// leader returns the core node that leads, nil when none is known. A node names the
// leader in its answer to a ping; an entry of the log shows it as well.
func (s *site) leader() *node {
	var newest *node
	newestTerm := -1.0
	for _, n := range s.nodes {
		term, leading := lastTermLed(filepath.Join(s.folder, n.name+".log"))
		if leading && term > newestTerm {
			newest, newestTerm = n, term
		}
	}
	return newest
}

// lastTermLed reads from a process's log which term it leads.
func lastTermLed(path string) (term float64, leading bool) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		var entry struct {
			Message string `json:"message"`
			Fields  struct {
				Term float64 `json:"term"`
			} `json:"fields"`
		}
		if json.Unmarshal(line, &entry) != nil {
			continue
		}
		switch entry.Message {
		case "leading":
			term, leading = entry.Fields.Term, true
		case "no longer leading":
			leading = false
		}
	}
	return term, leading
}

// stop ends all processes and minions and removes the folder.
func (s *site) stop() {
	for _, n := range s.nodes {
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGTERM) // an error means that it has ended
		}
	}
	deadline := time.After(graceTime)
	for _, n := range s.nodes {
		if n.command == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-deadline:
			_ = n.command.Process.Kill()
			<-n.exited
			deadline = time.After(0)
		}
	}
	s.provider.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}

func (s *site) waitFor(ctx context.Context, what string, atMost time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	for !done() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("not within %v: %s", atMost, what)
		}
	}
	s.record.printf("%s", what)
	return nil
}

func (s *site) call(method, url, host string, body any) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		text, err := wire.encode(body)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, content)
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Comfreyloom-Deadline-Ms", fmt.Sprint(consumerDeadline.Milliseconds()))
	return exchange(s.client, request)
}

// operator sends an order of the operator to one node after another and returns the
// first status below 500, or 0.
func (s *site) operator(path string, body any) int {
	for _, address := range s.controls() {
		status, _, err := s.call(http.MethodPost, "http://"+address+path, "", body)
		s.record.printf("operator: POST %s at %s: %d %v", path, address, status, err)
		if err == nil && status < 500 {
			return status
		}
	}
	return 0
}

const consumerHost = "review.example"

// submit hands a job in until it is accepted, at one entry node after another.
func (s *site) submit(ctx context.Context, prefix, id string, job map[string]any) error {
	for try := 0; ctx.Err() == nil && try < 40; try++ {
		url := "http://" + s.address(coreNodes+try%entryNodes, 2) + prefix + id
		status, _, err := s.call(http.MethodPost, url, consumerHost, job)
		s.record.printf("consumer: POST %s%s: %d %v", prefix, id, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job, as a consumer sees it, "" without a clear answer.
func (s *site) state(prefix, id string, try int) string {
	url := "http://" + s.address(coreNodes+try%entryNodes, 2) + prefix + id
	status, text, err := s.call(http.MethodGet, url, consumerHost, nil)
	s.record.printf("consumer: GET %s%s: %d %s %v", prefix, id, status, text, err)
	var answer struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || wire.decode(text, &answer) != nil {
		return ""
	}
	return answer.State
}

// awaitState asks for a job's state twice a second until it is one of those named. It
// returns the last state seen.
func (s *site) awaitState(ctx context.Context, prefix, id string, atMost time.Duration, states ...string) string {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	last := ""
	for try := 0; ctx.Err() == nil; try++ {
		if state := s.state(prefix, id, try); state != "" {
			last = state
		}
		for _, wanted := range states {
			if last == wanted {
				return last
			}
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return last
}

// route and service describe a config as the operator sends it.
func route(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": consumerHost, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000,
		"target-latency-ms": 600, "priority": 0, "service": service, "max-attempts": 3, "target-factor": 1.6,
	}
}

func service(name string) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls": false, "constraints": false, "standby": false,
	}
}

func configOf(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// jobOf is a job of one step.
func jobOf(count int, workMS int) map[string]any {
	return map[string]any{
		"spec":   fmt.Sprint(workMS),
		"phases": []map[string]any{{"count": count, "cpu": 2000, "memory": 1024, "estimate": workMS}},
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0xa000000000000000+uint64(n)) }
