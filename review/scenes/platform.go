package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// vm is a machine of the platform's provider.
type vm struct {
	name, pool, state string
	labels            []string
	cpu, memory       int64
	worker            *worker
	fence             uint64
}

func (v *vm) room() map[string]int64 {
	return map[string]int64{"cpu": v.cpu, "memory": v.memory, "gpu": 0}
}

// platformStandIn is the service that lists machines, moves them and takes them away for
// upkeep.
type platformStandIn struct {
	site    *site
	server  *http.Server
	address string
	mu      sync.Mutex
	vms     []*vm
}

func startPlatform(s *site) (*platformStandIn, error) {
	listener, err := net.Listen("tcp", s.outsideIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &platformStandIn{site: s, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.order(func(v *vm, o *vmOrder) string {
		if v.pool == o.Pool {
			return ""
		}
		return p.take(v, "moving", moveTime, o.Pool)
	}))
	mux.HandleFunc("POST "+wire.Paths["upkeep"], p.order(func(v *vm, o *vmOrder) string { return p.take(v, "upkeep", maintenanceTime, v.pool) }))
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener) }() // close ends it
	return p, nil
}

func (p *platformStandIn) close() { _ = p.server.Close() }

// add adds machines to a pool, each with a worker.
func (p *platformStandIn) add(v *vm) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.state = "up"
	p.vms = append(p.vms, v)
	w, err := p.site.startWorker(v)
	v.worker = w
	return err
}

// lose crashes the worker of a machine that is lost for good.
func (p *platformStandIn) lose(v *vm) {
	p.mu.Lock()
	v.state = "down"
	w := v.worker
	v.worker = nil
	p.mu.Unlock()
	p.site.record.note("%s crashes for good", w.id)
	w.crash()
}

// replace starts a new life on a machine and drains the old one: a release.
func (p *platformStandIn) replace(v *vm) error {
	p.mu.Lock()
	old := v.worker
	w, err := p.site.startWorker(v)
	v.worker = w
	p.mu.Unlock()
	if err != nil {
		return err
	}
	go old.leave()
	return nil
}

func (p *platformStandIn) list(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []map[string]any{}
	for _, v := range p.vms {
		m := map[string]any{"machine": v.name, "pool": v.pool, "state": v.state, "zone": "zone-a", "labels": v.labels, "free-capacity": v.room()}
		if v.worker != nil {
			m["id"] = v.worker.id
		}
		machines = append(machines, m)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": machines})
}

type vmOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (p *platformStandIn) order(do func(*vm, *vmOrder) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o vmOrder
		fence, err := strconv.ParseUint(r.Header.Get("Comfreyloom-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, v := range p.vms {
			if v.name != o.Machine {
				continue
			}
			reason := "fence"
			if fence >= v.fence {
				v.fence = fence
				reason = do(v, &o)
			}
			p.site.record.detail("platform: %s %s to pool %q: %q", r.URL.Path, v.name, o.Pool, reason)
			if reason != "" {
				writeJSON(rw, http.StatusConflict, map[string]string{"reason": reason})
				return
			}
			writeJSON(rw, http.StatusOK, map[string]string{})
			return
		}
		rw.WriteHeader(http.StatusBadRequest)
	}
}

// take makes a machine unavailable for a time.
func (p *platformStandIn) take(v *vm, state string, away time.Duration, pool string) string {
	if v.state != "up" {
		return "busy"
	}
	if v.worker != nil {
		v.worker.crash()
		v.worker = nil
	}
	v.state, v.pool = state, pool
	time.AfterFunc(away, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		v.state = "up"
		w, err := p.site.startWorker(v)
		if err != nil {
			p.site.record.note("a worker could not start: %v", err)
		}
		v.worker = w
	})
	return ""
}

// note records which machines serve which pool.
func (p *platformStandIn) note() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.vms {
		p.site.record.note("machine %s: pool %s, %s", v.name, v.pool, v.state)
	}
}
