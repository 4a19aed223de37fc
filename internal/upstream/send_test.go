package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs each answer that nobody asked for
	os.Exit(m.Run())
}

func newTransport(t *testing.T, o upstream.Options) *upstream.Transport {
	o.Metrics = metrics.NewRegistry()
	transport := upstream.NewTransport(o)
	t.Cleanup(transport.Close)
	return transport
}

func newStandin(t *testing.T, o standin.Options) *standin.Upstream {
	t.Helper()
	u, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

func at(address string) model.Upstream { return model.Upstream{Address: address, Connections: 64} }

func request(method, path, key string) *upstream.Request {
	return &upstream.Request{
		ID: "id-" + key, Method: method, URL: url.URL{Path: path}, Host: "drafts",
		Header: http.Header{"Idempotency-Key": {key}, upstream.RequestIDHeader: {"id-" + key}},
	}
}

// send returns the whole answer's text.
func send(ctx context.Context, t *upstream.Transport, address string, r *upstream.Request) (string, upstream.SentState, error) {
	resp, sent, err := t.Send(ctx, at(address), r)
	if err != nil {
		return "", sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), sent, err
}

// Symptom: one stowage plan was drafted twice, with one request of the planner.
// Sequence: a connection carried a request before; the next request goes out
// on it, the upstream runs it and ends the connection without an answer.
// Cause: net/http takes a request with an Idempotency-Key for safe to repeat
// and sends it again by itself. The first half of the test shows that it does.
func TestLibraryResendIsRefused(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{})
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	runTwice := func(send func(key string) error) int {
		is.NoErr(send("first")) // leaves a kept connection behind
		u.Fail(standin.FaultCut, -1)
		is.True(send("plan") != nil) // cut
		u.Fail(standin.FaultNone, 0)
		return u.Runs("plan")
	}
	doubled := runTwice(func(key string) error {
		r, _ := http.NewRequest("POST", "http://"+u.Address()+"/plan", nil)
		r.Header.Set("Idempotency-Key", key)
		resp, err := plain.RoundTrip(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	})
	is.Equal(doubled, 2) // net/http alone runs it twice

	transport := newTransport(t, upstream.Options{})
	before := u.Runs("plan")
	after := runTwice(func(key string) error {
		_, sent, err := send(context.Background(), transport, u.Address(), request("POST", "/plan", key))
		is.Equal(sent, upstream.MaybeSent)
		return err
	})
	is.Equal(after-before, 1)
}

// Symptom: a caller was told not-run, and the plan was drafted all the same.
// Sequence: a caller goes away while its request has a connection and no byte
// was written yet; the transport returns an error, then its writer wakes up.
// Cause: the error says when we stopped to wait, not what the writer does.
func TestGivenUpRequestIsNeverWritten(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{Slots: 1000})
	transport := newTransport(t, upstream.Options{})
	random := rand.New(rand.NewPCG(1, 2))
	var unsent []string
	for i := range 1000 {
		key := fmt.Sprintf("k%d", i)
		ctx, cancel := context.WithCancel(context.Background())
		stop := time.AfterFunc(time.Duration(random.IntN(150))*time.Microsecond, cancel)
		_, sent, err := send(ctx, transport, u.Address(), request("POST", "/plan", key))
		if err != nil && sent == upstream.NotSent {
			unsent = append(unsent, key)
		}
		stop.Stop()
		cancel()
	}
	_, _, err := send(context.Background(), transport, u.Address(), request("POST", "/plan", "last"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // lets late writers do their harm
	runs := u.AllRuns()
	for _, key := range unsent {
		is.Equal(runs[key], 0) // reported as not sent
	}
	t.Logf("%d of 1000 requests were given up unsent", len(unsent))
}

// Symptom: a household got another household's visit slots.
// Sequence: an upstream writes one answer twice; the connection is used again
// at once, and the second copy is read as the answer to the next request.
// Cause: on one connection, order is all that ties an answer to its request.
func TestLeftoverAnswerIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	address := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			if i%2 == 0 {
				answer += answer
			}
			_, _ = io.WriteString(c, answer)
		}
	})
	transport := newTransport(t, upstream.Options{})
	for i := range 500 {
		path := fmt.Sprintf("/%04d", i)
		text, _, err := send(context.Background(), transport, address, request("GET", path, ""))
		if err == nil {
			is.Equal(text, path)
		}
	}
}

// Symptom: a caller gets the answer to a request that was given up before.
// Sequence: a request passes its deadline; its answer comes afterwards, while
// the next request is on its way to the same upstream.
// Cause: a connection that still owes an answer was used again.
func TestLateAnswerIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{Latency: 20 * time.Millisecond})
	transport := newTransport(t, upstream.Options{})
	for i := range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		_, sent, err := send(ctx, transport, u.Address(), request("GET", "/late", "late"))
		cancel()
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(sent, upstream.MaybeSent)
		text, _, err := send(context.Background(), transport, u.Address(), request("GET", fmt.Sprint("/next", i), "next"))
		is.NoErr(err)
		is.True(strings.Contains(text, fmt.Sprint("/next", i)))
	}
}

// serveRaw serves each connection with a function.
func serveRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); open.Wait() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				defer open.Done()
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Symptom: half a loading plan was passed on as the plan.
// Sequence: an upstream ends its connection in the middle of an answer, or
// gives an answer that is no whole answer to this request.
// Cause: an end of file is the end of the answer only if a length says so.
func TestFaultyAnswersAreErrors(t *testing.T) {
	u := newStandin(t, standin.Options{})
	transport := newTransport(t, upstream.Options{})
	for fault, want := range map[standin.Fault]error{
		standin.FaultTruncate:       io.ErrUnexpectedEOF,
		standin.FaultTruncateChunks: io.ErrUnexpectedEOF,
		standin.FaultUndelimited:    upstream.ErrUndelimited,
		standin.FaultForeign:        upstream.ErrForeign,
		standin.FaultCut:            upstream.ErrLost,
	} {
		u.Fail(fault, 1)
		_, sent, err := send(context.Background(), transport, u.Address(), request("GET", "/plan", "k"))
		if !errors.Is(err, want) || sent != upstream.MaybeSent {
			t.Errorf("fault %d: got %v (%d), want %v", fault, err, sent, want)
		}
	}
}

// relay passes bytes between a transport and an upstream. Frozen connections
// stay open and swallow what comes in one direction or both.
type relay struct {
	target string

	mu     sync.Mutex
	frozen map[net.Conn]bool
	conns  []net.Conn
}

// count is how many connections were made.
func (r *relay) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) / 2
}

func (r *relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, client, server)
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		r.copy(server, client)
	}()
	r.copy(client, server)
	both.Wait()
}

func (r *relay) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	part := make([]byte, 4096)
	for {
		n, err := from.Read(part)
		r.mu.Lock()
		swallow := r.frozen[from]
		r.mu.Unlock()
		if err != nil {
			return
		}
		if !swallow {
			_, _ = to.Write(part[:n])
		}
	}
}

// freeze swallows, on the connections that are open now, what comes from the
// transport's side or from the upstream's.
func (r *relay) freeze(requests, answers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = make(map[net.Conn]bool)
	for i, c := range r.conns {
		r.frozen[c] = i%2 == 0 && requests || i%2 == 1 && answers
	}
}

// Symptom: bookings fail for minutes after a firewall was restarted.
// Sequence: kept connections go silent, in one direction or both, while new
// ones work; request after request goes out on a silent one.
// Cause: nothing ends a connection that is merely silent.
func TestSilentConnectionsAreLeft(t *testing.T) {
	const kept = 6
	for name, side := range map[string][2]bool{"requests": {true, false}, "answers": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newStandin(t, standin.Options{Latency: 5 * time.Millisecond})
			r := &relay{target: u.Address()}
			address := serveRaw(t, r.serve)
			transport := newTransport(t, upstream.Options{FreshFor: 30 * time.Second})
			var warm sync.WaitGroup
			for range kept {
				warm.Go(func() { _, _, _ = send(context.Background(), transport, address, request("GET", "/warm", "w")) })
			}
			warm.Wait()
			r.freeze(side[0], side[1])

			silent := request("GET", "/slots", "silent")
			silent.SuspectAfter, silent.GiveUpReused, silent.GiveUpAfter = 20*time.Millisecond, 40*time.Millisecond, time.Minute
			asked := 0
			silent.GiveUp = func() bool { asked++; return asked == 2 } // no retry can be paid for at first
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, sent, err := send(ctx, transport, address, silent)
			is.True(errors.Is(err, upstream.ErrSilent))
			is.Equal(sent, upstream.MaybeSent)
			made := r.count()
			for i := range kept {
				_, _, err := send(ctx, transport, address, request("POST", "/book", fmt.Sprint(i)))
				is.NoErr(err) // none goes out on a silent connection
			}
			is.True(r.count() > made)
		})
	}
}

// Symptom: a booking is lost on a connection that nobody used for a while.
// Sequence: connections go silent while idle; the next request comes later.
// Cause: an idle connection proves nothing, so only lately proved ones serve.
func TestUnprovedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{})
	r := &relay{target: u.Address()}
	address := serveRaw(t, r.serve)
	transport := newTransport(t, upstream.Options{FreshFor: 20 * time.Millisecond})
	_, _, err := send(context.Background(), transport, address, request("GET", "/warm", "w"))
	is.NoErr(err)
	r.freeze(true, true)
	time.Sleep(25 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	text, _, err := send(ctx, transport, address, request("POST", "/book", "k"))
	is.NoErr(err)
	is.True(strings.Contains(text, "/book"))
}
