package intake

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// patience bounds the waits of a test whose condition doesn't come.
const patience = 20 * time.Second

// served is a gate in front of a handler that reads the body and answers.
type served struct {
	gate    *Gate
	address string
}

func serve(t *testing.T, c Config) *served {
	is := is.New(t)
	c.Name, c.Metrics = "test", metrics.NewRegistry()
	if c.Memory == 0 {
		c.Memory = testMemory
	}
	if c.Connections == 0 {
		c.Connections = 100
	}
	g := New(c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refuse := func(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	s := g.Server(http.HandlerFunc(answer), refuse)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { _ = g.Run(ctx); ended <- struct{}{} }()
	go func() { _ = s.Serve(g.Listen(l)); ended <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
		<-ended
		<-ended
	})
	return &served{gate: g, address: l.Addr().String()}
}

// largeResponse is longer than the socket buffers of a connection, in bytes.
const largeResponse = 32 << 20

// answer reads the body. Its status tells the error, if there is one.
func answer(w http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	switch {
	case errors.Is(err, ErrOverloaded):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrTooSlow):
		w.WriteHeader(http.StatusRequestTimeout)
	case r.URL.Path == "/shed":
		c := connOf(r)
		c.gate.mu.Lock()
		c.gate.ledger.leave(c.account)
		c.account.leftIn = phaseBody // as it was when it was chosen
		c.gate.mu.Unlock()
		c.interrupt(ErrOverloaded)
	case r.URL.Path == "/large":
		_, _ = w.Write(make([]byte, largeResponse)) // the peer may close
	case r.URL.Path == "/reserve" && Reserve(r, testMemory) != nil:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
}

// dial opens a connection and sends a text.
func (s *served) dial(t *testing.T, text string) net.Conn {
	is := is.New(t)
	c, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	return c
}

// status returns the status of the next response, 0 if the connection ends before it.
func status(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

const unfinished = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n{"

// The configured limits must hold, and whoever exceeds them is told so if he can be.
func TestLimitsAreEnforced(t *testing.T) {
	short := Limits{HeaderBytes: 2000, HeaderTimeout: 50 * time.Millisecond, BodyTimeout: 50 * time.Millisecond,
		IdleTimeout: 50 * time.Millisecond, WriteTimeout: 50 * time.Millisecond}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"a head that doesn't end":     {"GET / HTTP/1.1\r\nHost: x", 0},
		"a head that is too large":    {"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431},
		"a head of too many lines":    {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n", 431},
		"a body that doesn't end":     {unfinished, 408},
		"chunks that don't end":       {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", 408},
		"nothing":                     {"", 0},
		"more than may be held":       {"GET /reserve HTTP/1.1\r\nHost: x\r\n\r\n", 413},
		"a request within the limits": {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{", 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, Config{Limits: func() Limits { return short }})
			is.New(t).Equal(status(s.dial(t, c.text)), c.status)
		})
	}
	t.Run("a response that nobody reads", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, Config{Limits: func() Limits { return short }})
		c := s.dial(t, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
		await(t, "the connection is closed", func() bool { return s.gate.events.late.Count() > 0 })
		n, err := io.Copy(io.Discard, c)
		is.True(err != nil || n < largeResponse)
	})
}

// A response that is read slowly, but is read, must arrive whole.
func TestSlowReaderGetsItsResponse(t *testing.T) {
	is := is.New(t)
	s := serve(t, Config{Limits: func() Limits { return Limits{WriteTimeout: time.Second} }})
	c := s.dial(t, "GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	n := int64(0)
	for pieces := 0; ; pieces++ {
		read, err := io.CopyN(io.Discard, c, largeResponse/16)
		n += read
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(n > largeResponse)
}

// Senders that have stopped make room for a request, are told that they didn't run, and
// nothing remains charged when all are gone.
func TestStalledBodiesAreAnsweredWhenTheyMakeRoom(t *testing.T) {
	is := is.New(t)
	s := serve(t, Config{Connections: 8})
	var stalled []net.Conn
	for range 8 {
		stalled = append(stalled, s.dial(t, unfinished))
	}
	await(t, "a request is served beside them", func() bool {
		c, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // refused connections are closed
		_ = c.SetReadDeadline(time.Now().Add(patience))
		return status(c) == http.StatusOK
	})
	first := make(chan int, len(stalled))
	for _, c := range stalled {
		go func() { first <- status(c) }()
	}
	is.Equal(<-first, http.StatusServiceUnavailable) // whichever arrived first
	for _, c := range stalled {
		_ = c.Close()
	}
	await(t, "all is credited", func() bool {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		return len(s.gate.ledger.accounts) == 0 && s.gate.ledger.charged == 0 && s.gate.ledger.leaving == 0
	})
}

// A request that has arrived just before its connection is ended has run: it must get its
// response, and the connection ends after it.
func TestRequestInProgressIsNotCut(t *testing.T) {
	is := is.New(t)
	s := serve(t, Config{})
	c := s.dial(t, "POST /shed HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// A connection that is kept open must not stay charged for its earlier requests.
func TestKeptConnectionIsCharged(t *testing.T) {
	is := is.New(t)
	s := serve(t, Config{})
	c := s.dial(t, "")
	reader := bufio.NewReader(c)
	for range 50 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 60_000))
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
