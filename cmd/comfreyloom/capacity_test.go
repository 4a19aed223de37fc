package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// capacityNodes is the number of processes: three voters and four learners.
const capacityNodes = 7

// TestCapacity measures what each process costs at several sizes. It measures
// and asserts nothing but that the site comes up, so it runs on request only:
//
//	COMFREYLOOM_CAPACITY=50,200,800,1300 go test -run TestCapacity -v ./cmd/comfreyloom
func TestCapacity(t *testing.T) {
	sizes := os.Getenv("COMFREYLOOM_CAPACITY")
	if sizes == "" {
		t.Skip("a measurement; set COMFREYLOOM_CAPACITY to the numbers of workers")
	}
	for _, text := range strings.Split(sizes, ",") {
		workers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { newCapacityRun(t, workers).measure() })
	}
}

// capacityRun is one site of real processes with a stand-in platform.
type capacityRun struct {
	t         *testing.T
	workers   int
	pools     int
	dir       string
	operators []string
	processes []*exec.Cmd
}

func newCapacityRun(t *testing.T, workers int) *capacityRun {
	r := &capacityRun{t: t, workers: workers, pools: max(2, workers*42/1300), dir: t.TempDir()}
	sockets := r.sockets()
	r.writeSettings(sockets)
	r.startPlatform(sockets)
	return r
}

// sockets returns loopback addresses that were free a moment ago.
func (r *capacityRun) sockets() []string {
	var all []string
	for range capacityNodes*4 + 1 {
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
	for i := range capacityNodes {
		fmt.Fprintf(&nodes, "n%d = %s\n", i+1, sockets[4*i+3])
		r.operators = append(r.operators, sockets[4*i+2])
	}
	for i := range capacityNodes {
		folder := ""
		if i < 3 {
			folder = filepath.Join(r.dir, fmt.Sprintf("data%d", i+1))
		}
		own := sockets[4*i : 4*i+4]
		text := fmt.Sprintf(settingsText, "capacity", i+1, i+1, i+1, folder, own[0], own[1], own[2], own[3], nodes.String(), sockets[4*capacityNodes])
		// The defaults of the product, not the quick ones of the scenarios.
		text, _, _ = strings.Cut(text, "[limits]")
		r.check(os.WriteFile(r.settings(i), []byte(text), 0o600))
	}
}

func (r *capacityRun) settings(i int) string {
	return filepath.Join(r.dir, fmt.Sprintf("n%d.ini", i+1))
}

func (r *capacityRun) startPlatform(sockets []string) {
	host := &demo.Instances{}
	for i := range capacityNodes {
		host.Announce = append(host.Announce, "http://"+sockets[4*i+1])
	}
	now := func() model.Instant { return model.InstantOf(time.Now()) }
	p := standin.New(standin.Config{
		VMs: r.vms(), Now: now, Start: now(), OnStart: host.Start, OnStop: host.Stop,
	})
	l, err := net.Listen("tcp", sockets[4*capacityNodes])
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

// vms spreads the workers over 8 availability zones, four to a rack, with 18
// accelerators for each 13 workers.
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

// manifest has a service of 10 instances for each pool and 200 teams for each
// 1,300 workers.
func (r *capacityRun) manifest(revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[site]\nname = capacity\nrevision = %d\n[policy]\nmove_weight = 0.5\nbuffer_weight = 0.5\n", revision)
	each := r.workers / r.pools
	for p := range r.pools {
		fmt.Fprintf(&b, "[pool p%02d]\nmin_vms = %d\nmax_vms = %d\nprocessors = 16\nmemory = 64GB\n", p, each*3/4, each*2)
		fmt.Fprintf(&b, "[service s%02d]\npool = p%02d\ninstances = 10\nprocessors = 4\nmemory = 16GB\nmin_available = 6\ntimeout = 30s\n", p, p)
	}
	for team := range max(1, r.workers*200/1300) {
		fmt.Fprintf(&b, "[team t%03d]\nprocessors = 64\nmemory = 256GB\nmax_jobs = 100\nmax_requests = 100\n", team)
	}
	b.WriteString("[wave monthly]\npools = p00\nstart = 2030-01-06T00:00:00Z\n")
	return b.String()
}

func (r *capacityRun) measure() {
	for i := range capacityNodes {
		r.start(i)
	}
	r.t.Cleanup(r.stop)
	r.apply(1)
	r.awaitInstances()
	r.report("idle", 30*time.Second, func() {})
	var inForce []time.Duration
	r.report("20 changes", 30*time.Second, func() {
		for i := range 20 {
			inForce = append(inForce, r.apply(2+i))
		}
	})
	slices.Sort(inForce)
	fmt.Printf("workers=%d in_force_median=%s in_force_worst=%s\n", r.workers, inForce[len(inForce)/2], inForce[len(inForce)-1])
}

func (r *capacityRun) start(i int) {
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("n%d.log", i+1)))
	r.check(err)
	command := exec.Command("comfreyloom", "serve", "--settings", r.settings(i))
	command.Stderr = log
	r.check(command.Start())
	r.processes = append(r.processes, command)
}

func (r *capacityRun) stop() {
	for _, p := range r.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// apply hands in a revision and returns how long it took to be in force at
// every process, by the command that a pipeline runs.
func (r *capacityRun) apply(revision int) time.Duration {
	file := filepath.Join(r.dir, "site.ini")
	r.check(os.WriteFile(file, []byte(r.manifest(revision)), 0o600))
	var out []byte
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
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

func (r *capacityRun) status() operator.Status {
	var status operator.Status
	remote{Address: r.operators[0]}.get(console{os.Stdout, os.Stderr}, "capacity", "/status", 0, &status)
	return status
}

func (r *capacityRun) awaitInstances() {
	for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		tasks, vms := 0, 0
		for _, p := range r.status().Pools {
			tasks += p.Tasks
			vms += p.VMs
		}
		if tasks == 10*r.pools && vms == r.workers {
			time.Sleep(10 * time.Second) // announcements spread, first soak passes
			return
		}
	}
	r.t.Fatal("the instances did not come up")
}

// usage is what a process has used since it started.
type usage struct {
	cpu      time.Duration
	moved    int64
	resident int64
}

// usageOf reads /proc: processor time, bytes read and written (sockets and
// files together), resident memory.
func (r *capacityRun) usageOf(p *exec.Cmd) usage {
	proc := fmt.Sprintf("/proc/%d/", p.Process.Pid)
	stat, err := os.ReadFile(proc + "stat")
	r.check(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const clockTick = 10 * time.Millisecond
	var u usage
	for _, i := range []int{11, 12} { // utime, stime
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		r.check(err)
		u.cpu += time.Duration(ticks) * clockTick
	}
	io := r.table(proc + "io")
	u.moved = io["rchar"] + io["wchar"]
	u.resident = r.table(proc + "status")["VmRSS"] * 1024
	return u
}

// table reads the numbers of a file of lines "name: number".
func (r *capacityRun) table(file string) map[string]int64 {
	text, err := os.ReadFile(file)
	r.check(err)
	numbers := map[string]int64{}
	for _, line := range strings.Split(string(text), "\n") {
		name, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); len(fields) > 0 {
			numbers[name], _ = strconv.ParseInt(fields[0], 10, 64)
		}
	}
	return numbers
}

// report prints what each process used over a span while work ran.
func (r *capacityRun) report(what string, span time.Duration, work func()) {
	began := time.Now()
	before := make([]usage, len(r.processes))
	for i, p := range r.processes {
		before[i] = r.usageOf(p)
	}
	work()
	time.Sleep(max(0, span-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := make([]usage, len(r.processes))
	for i, p := range r.processes {
		after[i] = r.usageOf(p)
	}
	leader := r.status().Leader // a large answer, so it comes after the readings
	for i := range r.processes {
		role := "learner"
		if i < 3 {
			role = "voter"
		}
		if fmt.Sprintf("n%d", i+1) == string(leader) {
			role = "leader"
		}
		fmt.Printf("workers=%d pools=%d load=%q node=n%d role=%s cpu_percent=%.2f bytes_per_s=%.0f resident_mb=%.1f\n",
			r.workers, r.pools, what, i+1, role,
			100*(after[i].cpu-before[i].cpu).Seconds()/seconds,
			float64(after[i].moved-before[i].moved)/seconds, float64(after[i].resident)/1e6)
	}
}
