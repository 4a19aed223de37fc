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
	log.SetOutput(io.Discard) // net/http logs each unsolicited response
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

// send returns the body of the response.
func send(ctx context.Context, t *upstream.Transport, address string, r *upstream.Request) (string, upstream.SentState, error) {
	resp, sent, err := t.Send(ctx, at(address), r)
	if err != nil {
		return "", sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), sent, err
}

// Guards against a request that runs twice. It is sent on a reused connection;
// the upstream runs it and ends the connection without a response. net/http
// considers a request with an Idempotency-Key safe to repeat and resends it by
// itself, which the first half of the test shows.
func TestResendByNetHTTPIsRefused(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{})
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	runTwice := func(send func(key string) error) int {
		is.NoErr(send("first")) // leaves an idle connection
		u.InjectFault(standin.FaultCut, -1)
		is.True(send("plan") != nil) // the connection was cut
		u.InjectFault(standin.FaultNone, 0)
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

// Guards against a request that is reported as not sent and runs nevertheless.
// It is cancelled when it has a connection and no byte was written yet; the
// transport returns an error, and its writer wakes up afterwards. The error of
// net/http doesn't mean that the writer has stopped.
func TestCancelledRequestIsNeverWritten(t *testing.T) {
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
	time.Sleep(20 * time.Millisecond) // time for late writers to write
	runs := u.AllRuns()
	for _, key := range unsent {
		is.Equal(runs[key], 0) // reported as not sent
	}
	t.Logf("%d of 1000 requests were cancelled before they were sent", len(unsent))
}

// Guards against a response that reaches the wrong caller. An upstream writes one
// response twice, the connection is reused at once, and the second copy is read
// as the response to the next request. On a connection, only the order relates
// a response to its request.
func TestDuplicateResponseIsNotReadForTheNextRequest(t *testing.T) {
	is := is.New(t)
	address := serveRaw(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			if i%2 == 0 {
				response += response
			}
			_, _ = io.WriteString(c, response)
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

// Guards against the reuse of a connection with an outstanding response: an
// earlier request has passed its deadline, and its response arrives while the
// next request to the same upstream is in flight.
func TestLateResponseIsNotReadForTheNextRequest(t *testing.T) {
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

// serveRaw listens, calls serve for each connection, and returns the address.
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

// Guards against a truncated response that is taken for a whole one. The end of
// the connection is the end of a response only if the length or the chunks
// confirm it.
func TestFaultyResponsesAreErrors(t *testing.T) {
	u := newStandin(t, standin.Options{})
	transport := newTransport(t, upstream.Options{})
	for fault, want := range map[standin.Fault]error{
		standin.FaultTruncate:       io.ErrUnexpectedEOF,
		standin.FaultTruncateChunks: io.ErrUnexpectedEOF,
		standin.FaultUndelimited:    upstream.ErrUndelimited,
		standin.FaultWrongID:        upstream.ErrMismatchedResponse,
		standin.FaultCut:            upstream.ErrConnectionLost,
	} {
		u.InjectFault(fault, 1)
		_, sent, err := send(context.Background(), transport, u.Address(), request("GET", "/plan", "k"))
		if !errors.Is(err, want) || sent != upstream.MaybeSent {
			t.Errorf("fault %d: got %v (%d), want %v", fault, err, sent, want)
		}
	}
}

// relay forwards bytes between a transport and an upstream. Frozen connections
// stay open and drop the bytes of one direction or both.
type relay struct {
	target string

	mu     sync.Mutex
	frozen map[net.Conn]bool
	conns  []net.Conn
}

// count returns how many connections were made.
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
		drop := r.frozen[from]
		r.mu.Unlock()
		if err != nil {
			return
		}
		if !drop {
			_, _ = to.Write(part[:n])
		}
	}
}

// freeze drops what the connections that are open now receive from the
// transport (requests) or from the upstream (responses).
func (r *relay) freeze(requests, responses bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = make(map[net.Conn]bool)
	for i, c := range r.conns {
		r.frozen[c] = i%2 == 0 && requests || i%2 == 1 && responses
	}
}

// Guards against requests that fail for minutes after a firewall was restarted.
// Idle connections no longer pass bytes, in one direction or both, while new
// ones work. Nothing closes such a connection, so one request after another
// would be sent on it.
func TestUnresponsiveConnectionsAreAbandoned(t *testing.T) {
	const idle = 6
	for name, frozen := range map[string][2]bool{"requests": {true, false}, "answers": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newStandin(t, standin.Options{Latency: 5 * time.Millisecond})
			r := &relay{target: u.Address()}
			address := serveRaw(t, r.serve)
			transport := newTransport(t, upstream.Options{ReuseWithin: 30 * time.Second})
			var warm sync.WaitGroup
			for range idle {
				warm.Go(func() { _, _, _ = send(context.Background(), transport, address, request("GET", "/warm", "w")) })
			}
			warm.Wait()
			r.freeze(frozen[0], frozen[1])

			stalled := request("GET", "/slots", "silent")
			stalled.SuspectAfter, stalled.AbortReusedAfter, stalled.AbortAfter = 20*time.Millisecond, 40*time.Millisecond, time.Minute
			calls := 0
			stalled.MayAbort = func() bool { calls++; return calls == 2 } // at first no retry is allowed
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, sent, err := send(ctx, transport, address, stalled)
			is.True(errors.Is(err, upstream.ErrUnresponsive))
			is.Equal(sent, upstream.MaybeSent)
			made := r.count()
			for i := range idle {
				_, _, err := send(ctx, transport, address, request("POST", "/book", fmt.Sprint(i)))
				is.NoErr(err) // none is sent on a frozen connection
			}
			is.True(r.count() > made)
		})
	}
}

// Guards against a request that is lost on a connection that has been idle for a
// while and has stopped passing bytes meanwhile. Only connections that were
// active lately may be reused.
func TestLongIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	u := newStandin(t, standin.Options{})
	r := &relay{target: u.Address()}
	address := serveRaw(t, r.serve)
	transport := newTransport(t, upstream.Options{ReuseWithin: 20 * time.Millisecond})
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
