package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two pings ("heartbeat-ms").
	heartbeatInterval = 1500 * time.Millisecond
	// pingTimeout is how long a minion waits for the answer to a ping.
	pingTimeout = time.Second
	// longestHold is the longest lease that a minion grants ("hold-max-ms").
	longestHold = 6 * time.Second
	// longestWait is the longest wait of a hold ("wait-ms").
	longestWait = 2 * time.Second
	// listLimit is how many ends one list holds.
	listLimit = 500
	// stopTime is how long a minion takes to stop a run; at most "stop-ms".
	stopTime = 50 * time.Millisecond
	// pollInterval is how often a minion looks for ends.
	pollInterval = 2 * time.Millisecond
	// lastingSpec is the spec of tasks that last, lastingStartup how long they take until
	// they are at work.
	lastingSpec    = "lasts"
	lastingStartup = 300 * time.Millisecond
	// firstClockMS is what a minion's steady clock shows at its start.
	firstClockMS = 1000
)

// minionConfig describes one life of a minion.
type minionConfig struct {
	id, service, zone string
	address           string // to listen on; a port of 0 takes any
	labels            []string
	cpu, memMB        int64
	cores             []string // addresses of the nodes that serve control
}

// minion is one life of a minion, as PROTOCOL.md describes it. The spec of a task is
// how long it works, in milliseconds.
type minion struct {
	minionConfig
	record *record
	ledger *ledger
	link   *link
	client *http.Client
	server *http.Server
	stop   context.CancelFunc
	began  time.Time

	mu       sync.Mutex
	sequence int
	refusing bool // answers 429 to starts
	draining bool
	ended    bool
	endpoint string // for later pings
	fence    uint64
	untilMS  int64
	runs     map[string]*taskRun
	highest  map[string]int // the highest run stopped or ended, by task
	ends     []runEnd
	lastEnd  uint64
	// lapsed is the number of the last end that was listed when the lease was over.
	lapsed uint64
}

type taskRun struct {
	attempt       int
	spec          string
	began, endsAt time.Time
	work          time.Duration
	// stopsAt is set once the run is being stopped.
	stopsAt time.Time
}

type runEnd struct {
	number  uint64
	task    string
	attempt int
	how     string
}

func startMinion(c minionConfig, rec *record, led *ledger) (*minion, error) {
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	m := &minion{
		minionConfig: c, record: rec, ledger: led, link: newLink(), stop: stop, began: time.Now(),
		runs: map[string]*taskRun{}, highest: map[string]int{},
	}
	m.client = &http.Client{Timeout: pingTimeout, Transport: &http.Transport{DialContext: m.link.dial, MaxIdleConnsPerHost: 4}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST "+wire.path("start"), m.order(m.runStart))
	mux.HandleFunc("POST "+wire.path("stop"), m.order(m.runStop))
	mux.HandleFunc("POST "+wire.path("pace"), m.order(m.pace))
	mux.HandleFunc("POST "+wire.path("hold"), m.hold)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.server.Serve(gatedListener{listener, m.link}) }() // ends with the minion
	go m.work(ctx)
	go m.ping(ctx)
	rec.printf("minion %s of %s begins at %s", c.id, c.service, c.address)
	return m, nil
}

func (m *minion) clockMS() int64 { return firstClockMS + time.Since(m.began).Milliseconds() }

// end ends this life; everything that runs on it terminates.
func (m *minion) end(why string) {
	m.mu.Lock()
	if m.ended {
		m.mu.Unlock()
		return
	}
	m.ended = true
	m.record.printf("minion %s ends: %s", m.id, why)
	for task, r := range m.runs {
		m.ledger.ended(m.id, task, r.attempt, "terminated")
	}
	m.runs = map[string]*taskRun{}
	m.mu.Unlock()
	m.stop()
	_ = m.server.Close()
	m.client.CloseIdleConnections()
}

// refuseStarts makes the minion answer 429 to starts for some time.
func (m *minion) refuseStarts(d time.Duration) {
	set := func(refusing bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.refusing = refusing
	}
	set(true)
	m.record.printf("minion %s refuses starts for %v", m.id, d)
	time.AfterFunc(d, func() { set(false) })
}

func (m *minion) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.ended
}

// runningTasks returns the tasks that run here.
func (m *minion) runningTasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var tasks []string
	for task := range m.runs {
		tasks = append(tasks, task)
	}
	return tasks
}

// work ends the runs whose work is done, whose stop is due or whose lease is over.
func (m *minion) work(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.endRuns()
		m.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

func (m *minion) endRuns() {
	now := time.Now()
	if m.clockMS() >= m.untilMS {
		m.lapsed = m.lastEnd
	}
	for task, r := range m.runs {
		switch {
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			m.endRun(task, "stopped")
		case m.clockMS() >= m.untilMS:
			m.endRun(task, "lapsed")
		case now.After(r.endsAt):
			m.endRun(task, "done")
		}
	}
}

func (m *minion) endRun(task, how string) {
	r := m.runs[task]
	delete(m.runs, task)
	m.lastEnd++
	m.ends = append(m.ends, runEnd{m.lastEnd, task, r.attempt, how})
	m.highest[task] = max(m.highest[task], r.attempt)
	m.ledger.ended(m.id, task, r.attempt, how)
}

// orderBody holds the fields of all orders.
type orderBody struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"leaseUntil"`
	Fence   uint64 `json:"fence"`
	Acked   uint64 `json:"acked"`
	WaitMS  int64  `json:"wait"`
}

// readOrder answers 421 to an order for another life.
func (m *minion) readOrder(w http.ResponseWriter, r *http.Request) (o orderBody, ok bool) {
	if expected := r.Header.Get("Comfreyloom-Expected-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = wire.decode(text, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// order returns the handler of an order; do returns the reason of a refusal.
func (m *minion) order(do func(o orderBody) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := m.readOrder(w, r)
		if !ok {
			return
		}
		m.mu.Lock()
		if m.ended {
			m.mu.Unlock()
			panic(http.ErrAbortHandler) // breaks the channel off
		}
		m.endRuns()
		if m.refusing && r.URL.Path == wire.path("start") {
			body := map[string]any{"clock": m.clockMS()}
			m.mu.Unlock()
			writeJSON(w, http.StatusTooManyRequests, body)
			return
		}
		reason := "fence"
		if o.Fence >= m.fence {
			m.fence = o.Fence
			reason = do(o)
		}
		body := map[string]any{"clock": m.clockMS()}
		m.mu.Unlock()
		status := http.StatusOK
		if reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
		writeJSON(w, status, body)
	}
}

func (m *minion) renew(untilMS int64) {
	m.untilMS = max(m.untilMS, min(untilMS, m.clockMS()+longestHold.Milliseconds()))
}

func (m *minion) runStart(o orderBody) string {
	if r := m.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		m.renew(o.UntilMS)
		return ""
	}
	if o.UntilMS <= m.clockMS() {
		return "late"
	}
	m.renew(o.UntilMS)
	if r := m.runs[o.Task]; r != nil || o.Attempt <= m.highest[o.Task] {
		return "old"
	}
	m.runs[o.Task] = newTaskRun(o)
	m.ledger.started(m.id, o.Task, o.Attempt)
	return ""
}

func newTaskRun(o orderBody) *taskRun {
	now := time.Now()
	r := &taskRun{attempt: o.Attempt, spec: o.Spec, began: now}
	if o.Spec == lastingSpec {
		r.endsAt = now.Add(time.Hour) // longer than any case
		r.work = lastingStartup
		return r
	}
	ms, err := strconv.Atoi(o.Spec)
	if err != nil {
		ms = 0
	}
	r.work = time.Duration(ms) * time.Millisecond
	r.endsAt = now.Add(r.work)
	return r
}

// percent is 100 for a lasting task that is at work, and the progress of any other.
func (r *taskRun) percent() int {
	if r.work <= 0 {
		return 0
	}
	done := int(100 * time.Since(r.began) / r.work)
	if r.spec == lastingSpec {
		return min(done, 100)
	}
	return min(done, 99)
}

func (m *minion) runStop(o orderBody) string {
	m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
	if r := m.runs[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
	}
	return ""
}

func (m *minion) pace(orderBody) string { return "" }

// hold renews the lease and returns both lists, after a wait for an end.
func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.readOrder(w, r)
	if !ok {
		return
	}
	deadline := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, longestWait))
	for first := true; ; first = false {
		m.mu.Lock()
		if m.ended {
			m.mu.Unlock()
			panic(http.ErrAbortHandler) // breaks the channel off
		}
		m.endRuns()
		if o.Fence < m.fence {
			body := map[string]any{"clock": m.clockMS(), "reason": "fence"}
			m.mu.Unlock()
			writeJSON(w, http.StatusConflict, body)
			return
		}
		m.fence = o.Fence
		if first {
			m.renew(o.UntilMS)
			m.forgetEnds(o.Acked)
		}
		if len(m.ends) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			body := m.lists()
			m.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
			return
		}
		m.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// forgetEnds forgets the ends up to a cursor: the system has taken note of them, but
// for those before the lease lapsed.
func (m *minion) forgetEnds(cursor uint64) {
	m.ends = slices.DeleteFunc(m.ends, func(e runEnd) bool {
		if e.number <= cursor && e.number > m.lapsed {
			m.ledger.noted(m.id, e.task, e.attempt)
		}
		return e.number <= cursor
	})
}

func (m *minion) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for task, r := range m.runs {
		running = append(running, []any{task, r.attempt, "", r.percent(), 1000})
	}
	for _, e := range m.ends[:min(len(m.ends), listLimit)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return map[string]any{"clock": m.clockMS(), "running": running, "finished": finished}
}

// ping sends pings until the minion ends. A node that gives no 2xx within a second
// is left for the next one.
func (m *minion) ping(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		if !m.sendPing(ctx, next) {
			next++
			continue
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (m *minion) sendPing(ctx context.Context, next int) bool {
	m.mu.Lock()
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "capacity": 8, "state": state,
		"cold": 0, "room": map[string]int64{"cpu": m.cpu, "memory": m.memMB, "gpu": 0},
		"labels": m.labels, "clock": m.clockMS(), "sequence": m.sequence,
	}
	node := m.endpoint
	m.mu.Unlock()
	if node == "" {
		node = m.cores[next%len(m.cores)]
	}
	status, answer, err := m.post(ctx, node, "/instances/"+m.id+"/heartbeat", body)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || status/100 != 2 {
		m.endpoint = ""
		return false
	}
	var response struct {
		Endpoint string `json:"endpoint"`
	}
	if wire.decode(answer, &response) == nil {
		m.endpoint = response.Endpoint
	}
	return true
}

func (m *minion) post(ctx context.Context, node, path string, body any) (int, []byte, error) {
	text, err := wire.encode(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return exchange(m.client, request)
}

// drain reports that the minion is about to leave, and returns once a node has
// acknowledged it.
func (m *minion) drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for next := 0; ctx.Err() == nil && m.isUp(); next++ {
		if m.sendPing(ctx, next) {
			m.record.printf("minion %s is draining, acknowledged", m.id)
			return
		}
	}
}

// leave says that the minion leaves, and ends it with the acknowledgement, or some
// seconds later without one.
func (m *minion) leave(ctx context.Context, atMost time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	m.mu.Lock()
	node := m.endpoint
	m.mu.Unlock()
	for next := 0; ctx.Err() == nil; next++ {
		if node == "" {
			node = m.cores[next%len(m.cores)]
		}
		m.record.printf("minion %s sends deregister to %s", m.id, node)
		status, _, err := m.post(ctx, node, "/instances/"+m.id+"/deregister", struct{}{})
		if err == nil && status/100 == 2 {
			m.end("it has left; deregister was acknowledged")
			return
		}
		m.record.printf("minion %s has no acknowledgement of deregister: status %d, %v", m.id, status, err)
		node = ""
	}
	m.end(fmt.Sprintf("it has left; deregister was not acknowledged within %v", atMost))
}
