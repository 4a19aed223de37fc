package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// upkeepTime is how long a machine is away for its upkeep ("maintenance-s"),
	// moveTime for a move ("migrate-s").
	upkeepTime = 2 * time.Second
	moveTime   = 1500 * time.Millisecond
)

// The states of a machine.
const (
	machineUp     = "up"
	machineMoving = "moving"
	machineUpkeep = "upkeep"
	machineDown   = "down"
)

// machine is a machine of the provider with the minion that lives on it.
type machine struct {
	name, pool, kind, rack, zone string
	state                        string
	minion                       *minion
	lives                        int
	fence                        uint64
	// upkept holds the waves for which the machine had its upkeep.
	upkept map[int64]bool
}

// provider is a stand-in of the provider of machines. It carries an order out as it
// arrives, and answers it answerDelay later.
type provider struct {
	record      *record
	ledger      *ledger
	ip          string
	cores       []string
	answerDelay time.Duration
	// onUpkeep is called with each upkeep that is carried out.
	onUpkeep func(machine string)
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	machines []*machine
	closed   bool
}

func newProvider(rec *record, led *ledger, ip string) (*provider, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &provider{record: rec, ledger: led, ip: ip, listener: listener, onUpkeep: func(string) {}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.path("machines"), p.list)
	mux.HandleFunc("POST "+wire.path("move"), p.order("move", p.move))
	mux.HandleFunc("POST "+wire.path("upkeep"), p.order("upkeep", p.upkeep))
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return p, nil
}

func (p *provider) address() string { return p.listener.Addr().String() }

// start starts a minion on each machine and serves the provider's calls.
func (p *provider) start(cores []string, machines []*machine) error {
	p.cores, p.machines = cores, machines
	for _, m := range machines {
		m.upkept = map[int64]bool{}
		if err := p.startMinion(m); err != nil {
			return err
		}
	}
	go func() { _ = p.server.Serve(p.listener) }() // ends with close
	return nil
}

func (p *provider) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.server.Close()
	_ = p.listener.Close() // server.Close doesn't close it before Serve has begun
	for _, m := range p.machines {
		if m.minion != nil {
			m.minion.end("the case is over")
		}
	}
}

func (p *provider) startMinion(m *machine) error {
	m.lives++
	address := p.ip + ":0"
	if m.minion != nil {
		address = m.minion.address // a machine keeps its address
	}
	minion, err := startMinion(minionConfig{
		id: fmt.Sprintf("i-%s-%d", m.name, m.lives), service: m.pool, zone: m.zone, address: address,
		labels: []string{m.kind, m.rack}, cpu: 32000, memMB: 131072, cores: p.cores,
	}, p.record, p.ledger)
	if err != nil {
		return err
	}
	m.minion, m.state = minion, machineUp
	return nil
}

// away ends everything on a machine; a new minion joins after some time.
func (p *provider) away(m *machine, state string, d time.Duration) {
	m.state = state
	m.minion.end("its machine is away: " + state)
	p.startLater(m, d)
}

// startLater starts the next life of a machine's minion after some time.
func (p *provider) startLater(m *machine, d time.Duration) {
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed {
			return
		}
		if err := p.startMinion(m); err != nil {
			p.record.printf("machine %s: no minion: %v", m.name, err)
		}
	})
}

// crash ends a machine's minion without notice; a new life begins at its address later.
func (p *provider) crash(m *machine, downFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.minion.end("it crashes")
	m.state = machineDown
	p.startLater(m, downFor)
}

// minions returns the present minions of a pool.
func (p *provider) minions(pool string) []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*minion
	for _, m := range p.machines {
		if m.pool == pool && m.state == machineUp && m.minion.isUp() {
			all = append(all, m.minion)
		}
	}
	return all
}

// remove takes a machine away for good, once its minion has left.
func (p *provider) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, m := range p.machines {
		if m.minion.id == id {
			p.machines = append(p.machines[:i:i], p.machines[i+1:]...)
			return
		}
	}
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []map[string]any{}
	for _, m := range p.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"room": map[string]int64{"cpu": 32000, "memory": 131072, "gpu": 0},
		}
		if m.state == machineUp {
			row["id"] = m.minion.id
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows})
}

type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// order returns the handler of an order; do returns the reason of a refusal.
func (p *provider) order(kind string, do func(m *machine, o machineOrder) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o machineOrder
		fence, err := strconv.ParseUint(r.Header.Get("Comfreyloom-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reason := p.carryOut(o, fence, do)
		p.record.printf("provider: %s of %s (wave %d, pool %q) by %s with fence %d: %d %s",
			kind, o.Machine, o.Wave, o.Pool, r.Header.Get("Comfreyloom-Lease-Holder"), fence, status, reason)
		time.Sleep(p.answerDelay)
		body := map[string]string{}
		if reason != "" && status == http.StatusConflict {
			body["reason"] = reason
		}
		writeJSON(w, status, body)
	}
}

func (p *provider) carryOut(o machineOrder, fence uint64, do func(m *machine, o machineOrder) string) (status int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.name != o.Machine {
			continue
		}
		if fence < m.fence {
			return http.StatusConflict, "fence"
		}
		m.fence = fence
		reason := do(m, o)
		if reason == "busy" || reason == "wave" {
			return http.StatusConflict, reason
		}
		return http.StatusOK, reason
	}
	return http.StatusBadRequest, "no such machine"
}

const alreadyDone = "(already done)"

func (p *provider) upkeep(m *machine, o machineOrder) string {
	switch {
	case m.upkept[o.Wave]:
		return alreadyDone
	case m.state != machineUp:
		return "busy"
	}
	m.upkept[o.Wave] = true
	p.away(m, machineUpkeep, upkeepTime)
	p.onUpkeep(m.name)
	return ""
}

func (p *provider) move(m *machine, o machineOrder) string {
	switch {
	case m.pool == o.Pool:
		return alreadyDone
	case m.state != machineUp:
		return "busy"
	}
	m.pool = o.Pool
	p.away(m, machineMoving, moveTime)
	return ""
}
