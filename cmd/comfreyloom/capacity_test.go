package main

import (
	"context"
	"fmt"
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

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// TestCapacity measures the resource usage of each process at several site sizes
// and fits a line through the points. It asserts only that the site starts and
// does its work, so it runs on request only:
//
//	COMFREYLOOM_CAPACITY=50,200,800,1300 go test -run TestCapacity -timeout 60m -v ./cmd/comfreyloom
//
// COMFREYLOOM_CAPACITY_NODES sets the number of processes, 7 by default; from
// 18 on five of them vote, else three. COMFREYLOOM_CAPACITY_LOADS names the
// loads to run, all by default, separated by commas.
func TestCapacity(t *testing.T) {
	sizes := os.Getenv("COMFREYLOOM_CAPACITY")
	if sizes == "" {
		t.Skip("a measurement; set COMFREYLOOM_CAPACITY to a list of numbers of workers")
	}
	nodes, voters := 7, 3
	if text := os.Getenv("COMFREYLOOM_CAPACITY_NODES"); text != "" {
		var err error
		if nodes, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	if nodes >= 18 {
		voters = 5
	}
	var fits capacityFits
	for _, text := range strings.Split(sizes, ",") {
		workers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { newCapacityRun(t, workers, nodes, voters, &fits).measure() })
	}
	fits.print()
}

// capacityRun is one site of real processes with a stand-in platform.
type capacityRun struct {
	t                             *testing.T
	workers, pools, nodes, voters int
	folder                        string
	operators, callers            []string
	processes                     []*exec.Cmd
	platform                      *standin.Platform
	fits                          *capacityFits
	// idle is the usage of each process in the last measurement without events.
	idle []rate
	// waveStart is the start of the wave in the manifest.
	waveStart string
	revision  int

	mu sync.Mutex
	// startedInstances counts the started instances.
	startedInstances int
	// jobStarts maps each job to the time at which the platform started it.
	jobStarts map[model.JobID]time.Time
}

func newCapacityRun(t *testing.T, workers, nodes, voters int, fits *capacityFits) *capacityRun {
	r := &capacityRun{
		t: t, workers: workers, pools: max(2, workers*42/1300), nodes: nodes, voters: voters,
		folder: t.TempDir(), fits: fits, waveStart: "2030-01-06T00:00:00Z", jobStarts: map[model.JobID]time.Time{},
	}
	sockets := r.sockets()
	r.writeSettings(sockets)
	r.startPlatform(sockets)
	return r
}

// sockets returns loopback addresses that were free a moment ago.
func (r *capacityRun) sockets() []string {
	var all []string
	for range r.nodes*4 + 1 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		r.check(err)
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}

func (r *capacityRun) check(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *capacityRun) writeSettings(sockets []string) {
	var nodes strings.Builder
	for i := range r.nodes {
		fmt.Fprintf(&nodes, "n%d = %s\n", i+1, sockets[4*i+3])
		r.operators = append(r.operators, sockets[4*i+2])
		r.callers = append(r.callers, sockets[4*i])
	}
	for i := range r.nodes {
		folder := ""
		if i < r.voters {
			folder = filepath.Join(r.folder, fmt.Sprintf("data%d", i+1))
		}
		own := sockets[4*i : 4*i+4]
		text := fmt.Sprintf(settingsText, "capacity", i+1, i+1, i+1, folder, own[0], own[1], own[2], own[3], nodes.String(), sockets[4*r.nodes])
		// Use the product's defaults, not the shorter intervals of the scripts.
		text, _, _ = strings.Cut(text, "[limits]")
		if r.voters == 5 {
			text = strings.Replace(text, "voters = n1, n2, n3", "voters = n1, n2, n3, n4, n5", 1)
		}
		r.check(os.WriteFile(r.settings(i), []byte(text), 0o600))
	}
}

func (r *capacityRun) settings(i int) string {
	return filepath.Join(r.folder, fmt.Sprintf("n%d.ini", i+1))
}

func (r *capacityRun) startPlatform(sockets []string) {
	host := &demo.Instances{}
	for i := range r.nodes {
		host.Announce = append(host.Announce, "http://"+sockets[4*i+1])
	}
	now := func() model.Instant { return model.InstantOf(time.Now()) }
	p := standin.New(standin.Config{
		VMs: r.vms(), Now: now, Start: now(), OnStop: host.Stop, Behaviour: capacityWork,
		RebootTime: 5 * time.Second,
		OnStart: func(task standin.TaskInfo) {
			r.recordStart(task)
			r.startLater(host, task)
		},
	})
	r.platform = p
	l, err := net.Listen("tcp", sockets[4*r.nodes])
	r.check(err)
	server := &http.Server{Handler: standin.Handler(p)}
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	go server.Serve(l)
	r.t.Cleanup(func() {
		cancel()
		server.Close()
		host.Close()
	})
}

// startLater spreads the starts of instances over the renewal interval. Instances
// that start together renew together, which distorts the figures.
func (r *capacityRun) startLater(host *demo.Instances, task standin.TaskInfo) {
	if task.Service == "" {
		return
	}
	r.mu.Lock()
	r.startedInstances++
	n := r.startedInstances
	r.mu.Unlock()
	time.AfterFunc(time.Duration(n*37%150)*renewSpread/150, func() { host.Start(task) })
}

// vms distributes the workers over 8 availability zones, four per rack, with 18
// accelerators per 13 workers.
func (r *capacityRun) vms() []standin.VM {
	var all []standin.VM
	for i := range r.workers {
		capacity := model.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
		if i%13 < 9 {
			capacity.Accelerators = 2
		}
		all = append(all, standin.VM{
			ID: model.VMID(fmt.Sprintf("kl/vm-%04d", i)), Worker: model.WorkerID(fmt.Sprintf("kl/worker-%04d", i)),
			Zone: model.ZoneID(fmt.Sprintf("zone-%d", i/4%8)), Rack: model.RackID(fmt.Sprintf("rack-%d", i/32)),
			Capacity: capacity,
		})
	}
	return all
}

// manifest returns a manifest with a service of 10 instances per pool and 200
// teams per 1,300 workers.
func (r *capacityRun) manifest(revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[site]\nname = capacity\nrevision = %d\n[policy]\nmove_weight = 0.5\nbuffer_weight = 0.5\n", revision)
	each := r.workers / r.pools
	for p := range r.pools {
		fmt.Fprintf(&b, "[pool p%02d]\nmin_vms = %d\nmax_vms = %d\nprocessors = 16\nmemory = 64GB\n", p, each*3/4, each*2)
		fmt.Fprintf(&b, "[service s%02d]\npool = p%02d\ninstances = 10\nprocessors = 4\nmemory = 16GB\nmin_available = 6\ntimeout = 30s\n", p, p)
	}
	for team := range r.teams() {
		fmt.Fprintf(&b, "[team t%03d]\nprocessors = 64\nmemory = 256GB\nmax_jobs = 100\nmax_requests = 100\n", team)
	}
	fmt.Fprintf(&b, "[wave monthly]\npools = p00, p01\nstart = %s\nsoak = 5s\n", r.waveStart)
	return b.String()
}

func (r *capacityRun) teams() int { return max(1, r.workers*200/1300) }

func (r *capacityRun) start(i int) {
	log, err := os.Create(filepath.Join(r.folder, fmt.Sprintf("n%d.log", i+1)))
	r.check(err)
	command := exec.Command("comfreyloom", "serve", "--settings", r.settings(i))
	command.Stderr = log
	r.check(command.Start())
	r.processes[i] = command
}

func (r *capacityRun) stop() {
	for _, p := range r.processes {
		if p == nil {
			continue
		}
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// apply applies the next revision with the command that a pipeline runs and
// returns how long it took until it was in force at every process.
func (r *capacityRun) apply() time.Duration {
	r.revision++
	file := filepath.Join(r.folder, "site.ini")
	r.check(os.WriteFile(file, []byte(r.manifest(r.revision)), 0o600))
	var out []byte
	for end := time.Now().Add(scriptTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		began := time.Now()
		var err error
		out, err = exec.Command("comfreyloom", "apply", "--address", r.operators[0], "--wait", "30s", file).CombinedOutput()
		if err == nil {
			return time.Since(began)
		}
	}
	r.t.Fatalf("apply: %s", out)
	return 0
}

func (r *capacityRun) awaitInstances() {
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		tasks, vms := 0, 0
		for _, p := range r.status().Pools {
			tasks += p.Tasks
			vms += p.VMs
		}
		if tasks == 10*r.pools && vms == r.workers {
			time.Sleep(renewSpread + 10*time.Second) // until all have announced themselves and the first soak time is over
			return
		}
	}
	r.t.Fatal("the instances did not start in time")
}
