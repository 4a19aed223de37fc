package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// platformMain is the stand-in of the platform as a process: the VMs of a
// site, whose instances answer requests on loopback and announce themselves.
func platformMain() {
	listen := flag.String("listen", "", "IP:port of the API")
	announce := flag.String("announce", "", "base URLs at which upstreams announce themselves")
	zones := flag.Int("zones", 4, "availability zones")
	racks := flag.Int("racks", 4, "racks a zone, of four VMs each")
	flag.Parse()
	host := &demo.Instances{Announce: strings.Split(*announce, ",")}
	p := standin.New(standin.Config{
		VMs: siteVMs(*zones, *racks), Now: func() model.Instant { return model.InstantOf(time.Now()) },
		Start: model.InstantOf(time.Now()), RebootTime: 200 * time.Millisecond,
		Behaviour: func(platform.TaskSpec) standin.Work { return standin.Work{Runtime: 300 * time.Millisecond} },
		OnStart:   host.Start, OnStop: host.Stop,
	})
	go p.Run(context.Background())
	if err := http.ListenAndServe(*listen, standin.Handler(p)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
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
