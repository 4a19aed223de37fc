package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program      = "target/comfreyloom"
	templateFile = "deploy/settings.ini"

	coreCount, entryCount = 3, 2
	// The ports are the same on every VM. internalPorts are those for calls between VMs.
	controlPort, entryPort, readinessPort = 0, 1, 2

	graceTime = 6 * time.Second
)

// site is a small deployment: core and entry VMs as processes of their own, each on a
// loopback address of its own, and stand-ins for everything around them.
type site struct {
	record  *record
	trouble bool
	folder  string
	network string
	ports   [3]int
	// internal is the first of the ports for calls between the VMs.
	internal int

	platform *platformStandIn
	advisor  string

	mu        sync.Mutex
	processes []*process
	workers   []*worker
	gangs     *gangs
	stopped   bool
	nextEntry int
	nextCore  int
	lives     int
}

// process is one process of the product.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

func newSite(r *record, trouble bool) *site {
	return &site{record: r, trouble: trouble, gangs: newGangs(), network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%60, os.Getpid()/60%250)}
}

// start starts the platform and then all processes of the product.
func (s *site) start() (err error) {
	if s.folder, err = os.MkdirTemp("", "scenes-"); err != nil {
		return err
	}
	for i := range s.ports {
		if s.ports[i], err = freePort(s.ip(0)); err != nil {
			return err
		}
	}
	if s.internal, err = freePort(s.ip(0)); err != nil {
		return err
	}
	if s.platform, err = startPlatform(s); err != nil {
		return err
	}
	for i := range coreCount + entryCount {
		if err := s.startProcess(i); err != nil {
			return err
		}
	}
	s.record.note("started %d core and %d entry VMs, trouble %t", coreCount, entryCount, s.trouble)
	return nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// ip returns the address of a VM: the core VMs come first, then the entry VMs.
func (s *site) ip(i int) string { return fmt.Sprintf("%s.%d", s.network, i+1) }

// outsideIP is the address of the stand-ins.
func (s *site) outsideIP() string { return s.network + ".200" }

func (s *site) core(i int) string { return fmt.Sprintf("%s:%d", s.ip(i), s.ports[controlPort]) }
func (s *site) entry(i int) string {
	return fmt.Sprintf("%s:%d", s.ip(coreCount+i), s.ports[entryPort])
}

// fields are the settings that the platform knows of a VM, by their names on the users'
// pages.
func (s *site) fields(i int) map[string]any {
	role, addresses := "core", map[string]any{"control": s.core(i)}
	if i >= coreCount {
		role = "entry"
		addresses = map[string]any{"frontend-addr": s.entry(i - coreCount), "readiness-addr": fmt.Sprintf("%s:%d", s.ip(i), s.ports[readinessPort])}
	}
	seeds := make([]any, coreCount)
	for n := range seeds {
		seeds[n] = s.core(n)
	}
	fields := map[string]any{
		"node-name": fmt.Sprintf("%s-%d", role, i), "role": role, "ip": s.ip(i), "zone": "zone-a", "bootstrap": true,
		"bind-addrs": addresses, "internal-ports": []any{s.internal, s.internal + 1}, "seeds": seeds,
		"bounds":          map[string]any{"hold-max-ms": holdMax.Milliseconds(), "stop-ms": stopTime.Milliseconds(), "lease-ms": 3000, "grace-s": int(graceTime.Seconds())},
		"fault-tolerance": map[string]any{"machines": 1},
		"cloud":           map[string]any{"address": s.platform.address, "duty-per-s": 64.0},
	}
	if s.advisor != "" {
		fields["advisor"] = s.advisor
	}
	if role == "core" {
		fields["data-dir"] = filepath.Join(s.folder, fmt.Sprintf("data-%d", i))
	}
	return fields
}

func (s *site) startProcess(i int) error {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return fmt.Errorf("run from the root of the repository: %w", err)
	}
	file := filepath.Join(s.folder, fmt.Sprintf("node-%d.ini", i))
	if err := os.WriteFile(file, []byte(render(string(template), s.fields(i))), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, fmt.Sprintf("log-%d.txt", i)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), wire.Settings+"="+file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{name: fmt.Sprint("VM ", i), command: command, ended: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return nil
}

// unexpectedEnd returns an error if a process of the product ended by itself.
func (s *site) unexpectedEnd() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.ended:
			return errors.Join(fmt.Errorf("the process of %s ended", p.name), p.err)
		default:
		}
	}
	return nil
}

// stop ends every process and stand-in. The logs of the product stay where KEEP names a
// folder.
func (s *site) stop() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	processes, workers := s.processes, s.workers
	s.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
	}
	for _, w := range workers {
		w.crash()
	}
	if s.platform != nil {
		s.platform.close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.folder)) // only for looking into a case by hand
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}
