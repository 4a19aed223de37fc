package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// platformMain runs the stand-in of the platform as a process: the VMs of a site,
// whose instances serve requests on loopback and announce themselves.
func platformMain() {
	listen := flag.String("listen", "", "IP:port of the API and of /control")
	announce := flag.String("announce", "", "base URLs at which upstreams announce themselves")
	zones := flag.Int("zones", 3, "availability zones")
	racks := flag.Int("racks", 2, "racks a zone, of four VMs each")
	latency := flag.Duration("latency", 0, "how long each request runs at an instance")
	runtime := flag.Duration("runtime", 300*time.Millisecond, "how long each job runs")
	broken := flag.String("broken", "", "worker on which every task fails")
	flag.Parse()
	host := &demo.Instances{Announce: strings.Split(*announce, ","), Latency: *latency}
	running := &instanceCounter{}
	p := standin.New(standin.Config{
		VMs: siteVMs(*zones, *racks), Now: func() model.Instant { return model.InstantOf(time.Now()) },
		Start: model.InstantOf(time.Now()), RebootTime: 200 * time.Millisecond,
		Behaviour: func(platform.TaskSpec) standin.Work { return standin.Work{Runtime: *runtime} },
		OnStart:   func(r standin.TaskInfo) { running.add(r, 1); host.Start(r) },
		OnStop:    func(r standin.TaskInfo) { running.add(r, -1); host.Stop(r) },
	})
	p.InjectWorkerFault(model.WorkerID(*broken))
	go p.Run(context.Background())
	serveOrExit(*listen, platformControl(p, host, running))
}

// instanceCounter counts the running instances and their minimum since the last call
// of mark.
type instanceCounter struct {
	mu               sync.Mutex
	running, minimum int
}

func (c *instanceCounter) add(r standin.TaskInfo, n int) {
	if r.Service == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.minimum = min(c.minimum, c.running)
}

func (c *instanceCounter) mark(http.ResponseWriter, *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minimum = c.running
}

func (c *instanceCounter) show(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(w, "instances running: %d, least: %d\n", c.running, c.minimum)
}

// serveOrExit serves until the process is killed.
func serveOrExit(address string, h http.Handler) {
	err := http.ListenAndServe(address, h)
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// platformControl serves the platform's API, and /control for the scripts.
func platformControl(p *standin.Platform, host *demo.Instances, running *instanceCounter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", standin.Handler(p))
	mux.HandleFunc("POST /control/mark", running.mark)
	mux.HandleFunc("GET /control/instances", running.show)
	mux.HandleFunc("POST /control/fail/{zone}", func(_ http.ResponseWriter, r *http.Request) { p.Fail(domainOf(r)) })
	mux.HandleFunc("POST /control/repair/{zone}", func(_ http.ResponseWriter, r *http.Request) { p.Repair(domainOf(r)) })
	mux.HandleFunc("GET /control/reboots", func(w http.ResponseWriter, _ *http.Request) {
		vms, maxReboots := 0, 0
		for _, n := range p.Tally().Reboots {
			vms, maxReboots = vms+1, max(maxReboots, n)
		}
		fmt.Fprintf(w, "VMs rebooted: %d, most reboots of one VM: %d\n", vms, maxReboots)
	})
	mux.HandleFunc("GET /control/jobs", func(w http.ResponseWriter, _ *http.Request) {
		maxStarts, tally := 0, p.Tally()
		for _, n := range tally.Starts {
			maxStarts = max(maxStarts, n)
		}
		fmt.Fprintf(w, "jobs started: %d, done: %d, most starts of one job: %d\n", len(tally.Starts), len(tally.Succeeded), maxStarts)
	})
	mux.HandleFunc("GET /control/runs/{key}", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "runs: %d\n", host.Runs(r.PathValue("key")))
	})
	mux.HandleFunc("GET /control/most/{prefix}/{n}", countRuns(host.Runs))
	return mux
}

// countRuns reports how many of the requests with the keys PREFIX0 to PREFIXn-1
// ran, and the maximum number of runs of a single one.
func countRuns(runsOf func(key string) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ran, maxRuns, prefix := 0, 0, r.PathValue("prefix")
		n, _ := strconv.Atoi(r.PathValue("n"))
		for i := range n {
			runs := runsOf(prefix + strconv.Itoa(i))
			ran, maxRuns = ran+min(runs, 1), max(maxRuns, runs)
		}
		fmt.Fprintf(w, "ran: %d, most runs of %s: %d\n", ran, prefix, maxRuns)
	}
}

// domainOf returns an availability zone, or a rack in it when the query names
// one.
func domainOf(r *http.Request) standin.Selector {
	zone := model.ZoneID(r.PathValue("zone"))
	if rack := r.URL.Query().Get("rack"); rack != "" {
		return standin.Rack(zone, model.RackID(rack))
	}
	return standin.Zone(zone)
}

func siteVMs(zones, racks int) []standin.VM {
	var vms []standin.VM
	for z := range zones {
		for r := range racks {
			for v := range 4 {
				name := fmt.Sprintf("%d-%d-%d", z+1, r+1, v+1)
				vms = append(vms, standin.VM{
					ID: model.VMID("kl/vm-" + name), Worker: model.WorkerID("kl/worker-" + name),
					Zone: model.ZoneID(fmt.Sprintf("kl-%c", 'a'+z)), Rack: model.RackID(fmt.Sprintf("r%d", r+1)),
					Capacity: model.Resources{MilliCPU: 32_000, MemoryMB: 128_000},
				})
			}
		}
	}
	return vms
}
