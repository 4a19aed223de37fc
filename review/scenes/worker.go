package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	holdMax        = 6 * time.Second
	stopTime       = 400 * time.Millisecond
	gangTime       = 3 * time.Second
	drainTime      = 2 * time.Second
	reportInterval = 1500 * time.Millisecond
	startupTime    = 300 * time.Millisecond
	workerPoll     = 10 * time.Millisecond
	maxListedEnds  = 500
)

// taskSpec is what the callers of this review put into a job's payload: how long a task
// runs, and how many members its gang has.
type taskSpec struct {
	MS   int `json:"ms"`
	Gang int `json:"gang"`
	// Lasting tasks run until they are stopped.
	Lasting bool `json:"lasting"`
}

// run is one run on a worker. The worker's lock guards it.
type run struct {
	on                    *worker
	task                  string
	job, occurrence, step string
	attempt               int
	spec                  taskSpec
	started               time.Time
	// works is when it began to work, zero before.
	works time.Time
	// stopAt is when an order ends it, zero without one.
	stopAt time.Time
}

// worker is one life of a minion as the users' pages tell it.
type worker struct {
	site     *site
	id, pool string
	vm       *vm
	listener net.Listener
	server   *http.Server
	began    time.Time

	mu       sync.Mutex
	dead     bool
	draining bool
	sequence int
	fence    uint64
	untilMS  int64
	runs     map[string]*run
	// highest holds the highest attempt of each task that ended or was stopped here.
	highest map[string]int
	ends    []end
	lastEnd uint64
	// failing is until when it fails all that it starts.
	failing time.Time
	// tickets holds the tickets that the advisor gave for this life.
	tickets map[string]bool
}

type end struct {
	number  uint64
	task    string
	attempt int
	how     string
}

// startWorker starts a life of the minion on a VM.
func (s *site) startWorker(v *vm) (*worker, error) {
	listener, err := net.Listen("tcp", s.outsideIP()+":0")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.lives++
	id := fmt.Sprintf("i-%s-%d", v.name, s.lives)
	w := &worker{
		site: s, id: id, pool: v.pool, vm: v, listener: listener, began: time.Now().Add(-time.Minute),
		runs: map[string]*run{}, highest: map[string]int{}, tickets: map[string]bool{},
	}
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.Paths["start"], w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /pace", w.handle(func(*orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }() // closing it ends it
	go w.live()
	go w.report()
	s.record.detail("%s joined pool %s (%s)", id, v.pool, strings.Join(v.labels, " "))
	return w, nil
}

func (w *worker) clockMS() int64 { return time.Since(w.began).Milliseconds() }

// crash ends the life: everything on it is gone, and nobody is told.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	var broken []*run
	for _, r := range w.runs {
		w.site.record.detail("%s: %s attempt %d is gone", w.id, r.task, r.attempt)
		if r.spec.Gang > 0 {
			broken = append(broken, w.site.gangs.leave(r)...)
		}
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
	_ = w.listener.Close()
	breakAll(broken)
}

func breakAll(members []*run) {
	for _, r := range members {
		r.on.mu.Lock()
		r.on.finish(r, "broken")
		r.on.mu.Unlock()
	}
}

// orderBody holds the fields of all orders.
type orderBody struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"until"`
	Fence   uint64 `json:"fence"`
	Ticket  string `json:"ticket"`
	Acked   uint64 `json:"acked"`
	WaitMS  int64  `json:"wait-ms"`
}

// read decodes an order for this life.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (*orderBody, bool) {
	if r.Header.Get("Comfreyloom-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	var o orderBody
	if err := wire.decode(r.Body, &o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return &o, true
}

func (w *worker) handle(do func(*orderBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.read(rw, r)
		if !ok {
			return
		}
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reason = do(o)
		}
		body := map[string]any{"clock-ms": w.clockMS()}
		if reason != "" {
			body["reason"] = reason
		}
		w.mu.Unlock()
		writeJSON(rw, status, body)
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	text, err := wire.encode(body)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text) // a failed write means that the client has gone
}

// extend moves the lease on; it never shortens.
func (w *worker) extend(untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.clockMS()+holdMax.Milliseconds()))
}

func (w *worker) start(o *orderBody) (int, string) {
	key := fmt.Sprintf("%s/%d", o.Task, o.Attempt)
	if w.runs[key] != nil {
		w.extend(o.UntilMS)
		return http.StatusOK, ""
	}
	if o.UntilMS <= w.clockMS() {
		return http.StatusConflict, "late"
	}
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		return http.StatusBadRequest, ""
	}
	w.extend(o.UntilMS)
	if o.Attempt <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if w.site.advisor != "" && !w.tickets[strings.Join(parts[:3], ".")+" "+o.Ticket] {
		w.site.record.detail("%s refuses %s attempt %d: ticket %q", w.id, o.Task, o.Attempt, o.Ticket)
		return http.StatusConflict, "ticket"
	}
	r := &run{on: w, task: o.Task, job: parts[0], occurrence: parts[1], step: parts[2], attempt: o.Attempt, started: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return http.StatusBadRequest, ""
	}
	w.runs[key] = r
	w.site.record.detail("%s starts %s attempt %d", w.id, o.Task, o.Attempt)
	switch {
	case time.Now().Before(w.failing):
		w.finish(r, "failed")
	case r.spec.Gang > 0:
		go w.site.joinGang(r)
	default:
		r.works = r.started
	}
	return http.StatusOK, ""
}

// joinGang lets a gang work once all its members are present.
func (s *site) joinGang(r *run) {
	members := s.gangs.join(r)
	now := time.Now()
	for _, m := range members {
		m.on.mu.Lock()
		m.works = now
		m.on.mu.Unlock()
	}
}

func (w *worker) stop(o *orderBody) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.runs[fmt.Sprintf("%s/%d", o.Task, o.Attempt)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime / 2)
		w.site.record.detail("%s is told to stop %s attempt %d", w.id, o.Task, o.Attempt)
	}
	return http.StatusOK, ""
}

// finish ends a run and lists its end; the caller holds the lock. Other members of its gang
// end as broken, or as done with it.
func (w *worker) finish(r *run, how string) {
	key := fmt.Sprintf("%s/%d", r.task, r.attempt)
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, task: r.task, attempt: r.attempt, how: how})
	w.site.record.detail("%s: %s attempt %d ends %s", w.id, r.task, r.attempt, how)
	w.site.ended(r.task, r.attempt, how)
	if r.spec.Gang > 0 {
		if others := w.site.gangs.leave(r); how != "done" && how != "broken" {
			go breakAll(others)
		}
	}
}

// hold answers with both lists, after a wait for an end.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	deadline := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Fence < w.fence {
			w.mu.Unlock()
			writeJSON(rw, http.StatusConflict, map[string]any{"clock-ms": w.clockMS(), "reason": "fence"})
			return
		}
		if first {
			w.fence = o.Fence
			w.extend(o.UntilMS)
			w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= o.Acked })
		}
		if len(w.ends) > 0 || !time.Now().Before(deadline) {
			body := w.lists()
			w.mu.Unlock()
			writeJSON(rw, http.StatusOK, body)
			return
		}
		w.mu.Unlock()
		time.Sleep(workerPoll)
	}
}

func (w *worker) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.attempt, "", r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return map[string]any{"clock-ms": w.clockMS(), "running": running, "finished": finished}
}

func (r *run) percent() int {
	switch {
	case r.works.IsZero():
		return 0
	case r.spec.Lasting:
		return int(min(100*time.Since(r.works)/startupTime, 100))
	default:
		return int(min(100*time.Since(r.works)/(time.Duration(r.spec.MS)*time.Millisecond), 100))
	}
}

// live ends the runs whose time has come.
func (w *worker) live() {
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := w.clockMS() >= w.untilMS
		for _, r := range w.runs {
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.finish(r, "stopped")
			case lapsed:
				w.finish(r, "lapsed")
			case r.spec.Gang > 0 && r.works.IsZero() && now.Sub(r.started) > gangTime:
				w.finish(r, "alone")
			case !r.spec.Lasting && !r.works.IsZero() && now.Sub(r.works) >= time.Duration(r.spec.MS)*time.Millisecond:
				w.finish(r, "done")
			}
		}
		w.mu.Unlock()
		time.Sleep(workerPoll)
	}
}

// report sends the pings, to another core VM after each one that fails.
func (w *worker) report() {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for core := w.site.lives; ; {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.sequence++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": w.pool, "address": w.listener.Addr().String(), "zone": "zone-a", "version": "v1", "capacity": 8,
			"state": state, "cold-remaining-ms": 0, "free-capacity": w.vm.room(), "labels": w.vm.labels,
			"clock-ms": w.clockMS(), "sequence": w.sequence,
		}
		if w.draining {
			body["remaining-ms"] = drainTime.Milliseconds()
		}
		w.mu.Unlock()
		status, _ := w.site.send(client, http.MethodPost, w.site.core(core%coreCount), "/instances/"+w.id+"/heartbeat", "", body)
		if status != http.StatusOK {
			core++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(reportInterval / 3)
	}
}

// leave drains the worker and ends it as a planned end does: after the ack it serves for
// drain-ms, then sends its notice until it is acknowledged, and ends.
func (w *worker) leave() {
	w.site.record.note("%s drains", w.id)
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	time.Sleep(reportInterval + drainTime)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for try := range 6 {
		status, _ := w.site.send(client, http.MethodPost, w.site.core(try%coreCount), "/instances/"+w.id+"/deregister", "", map[string]any{})
		if status == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.site.record.note("%s ends", w.id)
	w.crash()
}
