package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	decisionTime  = 50 * time.Millisecond
	perWorkerTime = 5 * time.Millisecond
)

// startAdvisor starts the service that says which workers may run a step: those on the
// named machines. It handles one call at a time.
func (s *site) startAdvisor(allowed map[string]bool, valid time.Duration) (stop func(), err error) {
	listener, err := net.Listen("tcp", s.outsideIP()+":0")
	if err != nil {
		return nil, err
	}
	var turn sync.Mutex
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(rw http.ResponseWriter, r *http.Request) {
		var call struct {
			Phase   string   `json:"phase"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(decisionTime + time.Duration(len(call.Workers))*perWorkerTime)
		rows := s.giveTickets(call.Phase, call.Workers, allowed)
		s.record.detail("advisor: %s, %d workers named, %d may run it", call.Phase, len(call.Workers), len(rows))
		writeJSON(rw, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": valid.Milliseconds()})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // closing it ends it
	s.advisor = listener.Addr().String()
	return func() { _ = server.Close() }, nil
}

// giveTickets returns rows of worker and ticket, and makes the tickets known to the workers.
func (s *site) giveTickets(phase string, ids []string, allowed map[string]bool) [][]string {
	s.mu.Lock()
	workers := append([]*worker(nil), s.workers...)
	s.mu.Unlock()
	rows := [][]string{}
	for _, id := range ids {
		for _, w := range workers {
			if w.id != id || !allowed[w.vm.name] {
				continue
			}
			ticket := fmt.Sprintf("t-%s", id)
			w.mu.Lock()
			w.tickets[phase+" "+ticket] = true
			w.mu.Unlock()
			rows = append(rows, []string{id, ticket})
		}
	}
	return rows
}
