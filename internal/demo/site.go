package demo

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/agent"
	"github.com/comfreyloom/comfreyloom/internal/controller"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// The size of the demo's site.
const (
	entryVMs     = 3
	zones        = 3
	racksPerZone = 2
	vmsPerRack   = 2

	slotsPerInstance       = 8
	connectionsPerInstance = 64
	renewInterval          = 300 * time.Millisecond
	roundInterval          = 100 * time.Millisecond
	rebootTime             = 300 * time.Millisecond
	stopGrace              = 200 * time.Millisecond
	jobTime                = 400 * time.Millisecond
	repairSoak             = 500 * time.Millisecond
)

// manifestText is the template of the manifest: revision and start of the wave are
// filled in.
const manifestText = `[site]
name = demo
revision = %d

[policy]
move_weight = 0.5
buffer_weight = 0.5

[pool visits]
min_vms = 6
max_vms = 8
processors = 16
memory = 64GB

[pool reports]
min_vms = 3
max_vms = 6
processors = 16
memory = 64GB

[service booking]
pool = visits
instances = 6
processors = 2
memory = 8GB
min_available = 3
timeout = 10s
queue_limit = 200
priority = urgent
non_idempotent_routes = POST /visits

[service routes]
pool = visits
instances = 6
processors = 2
memory = 8GB
min_available = 3
timeout = 10s
queue_limit = 200

[team reading]
max_jobs = 100

[wave demo]
pools = visits, reports
start = %s
soak = 1s
`

func manifest(revision int, start time.Time) string {
	return fmt.Sprintf(manifestText, revision, start.UTC().Format(time.RFC3339))
}

// vms lists the VMs of the stand-in platform.
func vms() []standin.VM {
	var all []standin.VM
	for z := range zones {
		for r := range racksPerZone {
			for v := range vmsPerRack {
				name := fmt.Sprintf("%d-%d-%d", z+1, r+1, v+1)
				all = append(all, standin.VM{
					ID: model.VMID("demo/vm-" + name), Worker: model.WorkerID("demo/worker-" + name),
					Zone: model.ZoneID(fmt.Sprintf("zone-%d", z+1)), Rack: model.RackID(fmt.Sprintf("rack-%d", r+1)),
					Capacity: model.Resources{MilliCPU: 16_000, MemoryMB: 64_000},
				})
			}
		}
	}
	return all
}

// addresses holds the listen addresses of one entry VM.
type addresses struct{ callers, upstreams, operators, nodes string }

// listen opens the sockets of all entry VMs on free loopback ports.
func listen() ([]*agent.Listeners, error) {
	var all []*agent.Listeners
	for range entryVMs {
		free := "127.0.0.1:0"
		l, err := agent.OpenListeners(settings.Listen{Callers: free, Upstreams: free, Operators: free, Nodes: free})
		if err != nil {
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func addressesOf(l *agent.Listeners) addresses {
	return addresses{
		callers: l.Callers.Addr().String(), upstreams: l.Upstreams.Addr().String(),
		operators: l.Operators.Addr().String(), nodes: l.Nodes.Addr().String(),
	}
}

// settingsOf formats and parses the settings of an entry VM, so that the demo is
// subject to the same validation as any site.
func settingsOf(i int, all []addresses, folder, platform string) (*settings.Settings, error) {
	var nodes strings.Builder
	for n, a := range all {
		fmt.Fprintf(&nodes, "entry-%d = %s\n", n+1, a.nodes)
	}
	own := all[i]
	text := fmt.Sprintf(`[node]
site = demo
name = entry-%d
vm = demo/entry-%d
availability_zone = zone-%d
region = demo
data_folder = %s
[listen]
callers = %s
upstreams = %s
operators = %s
nodes = %s
[nodes]
%svoters = entry-1, entry-2, entry-3
[platform]
address = %s
[limits]
tick = 20ms
balancer_delay = 50ms
upstream_lease = 2s
`, i+1, i+1, i+1, filepath.Join(folder, fmt.Sprintf("entry-%d", i+1)),
		own.callers, own.upstreams, own.operators, own.nodes, nodes.String(), platform)
	s, problems := settings.Parse("demo settings", []byte(text))
	if len(problems) > 0 {
		return nil, fmt.Errorf("%s", problems[0])
	}
	return s, nil
}

// shortenIntervals adapts the controller's intervals to the demo's time scale.
func shortenIntervals(c *controller.Config) {
	c.Interval = roundInterval
	c.RepairSoak = repairSoak
}
