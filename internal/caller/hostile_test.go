package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// A planned stop must not cut a request: an entry VM is drained while callers
// keep it busy over open connections; they stop when it refuses connections.
func TestDrainUnderLoadCutsNoRequest(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 0, Limits{})
	e := cl.addEntry(t, Config{BalancerDelay: 100 * time.Millisecond, Linger: 50 * time.Millisecond})
	for _, u := range cl.instances {
		u.SetLatency(5 * time.Millisecond)
	}
	var answered, cut atomic.Int64
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			for i := 0; ; i++ {
				got, err := e.call("POST", "/s/drafts/book", fmt.Sprint(n, i))
				switch {
				case err != nil && strings.Contains(err.Error(), "refused"):
					return // the listener is closed: the balancer uses other VMs
				case err != nil || got.status != 200:
					cut.Add(1)
					t.Logf("cut: %v %d", err, got.status)
					return
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "load", func() bool { return answered.Load() > 100 })
	ready, err := e.call("GET", "/readyz", "")
	is.NoErr(err)
	is.Equal(ready.status, 200)
	slow, rest := io.Pipe() // one request ends after all others
	callers.Go(func() {
		resp, err := http.Post(e.url+"/s/drafts/book", "text/plain", slow)
		if err != nil || resp.StatusCode != 200 {
			cut.Add(1)
			t.Logf("slow request cut: %v", err)
		}
	})
	_, err = io.WriteString(rest, "grain")
	is.NoErr(err)
	time.AfterFunc(400*time.Millisecond, func() { _ = rest.Close() })
	drained := make(chan error, 1)
	go func() { drained <- e.server.Drain(t.Context()) }()
	eventually(t, "readiness turns off", func() bool {
		ready, err := e.call("GET", "/readyz", "")
		return err == nil && ready.status == 503
	})
	is.NoErr(<-drained)
	callers.Wait()
	is.Equal(cut.Load(), int64(0))
	t.Logf("%d requests answered, %d cut", answered.Load(), cut.Load())
}

// Guards against responses without a verdict, and against one peer that exhausts
// the memory or the connections of a VM.
func TestHostileInput(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 1, Limits{
		HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond, MaxHeaderBytes: 4096,
		BodyBytes: 1 << 20, KeyedBodyBytes: 1000, Connections: 8, ConnectionsPerIP: 8,
	})
	address := strings.TrimPrefix(cl.entries[0].url, "http://")
	raw := func(text string) (*http.Response, error) {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	for text, status := range map[string]int{
		"NONSENSE\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\n\r\n":                                         400, // no host
		"GET /healthz HTTP/9.9\r\nHost: x\r\n\r\n":                       505,
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20_000): 431,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nTransfer-Encoding: odd\r\n\r\n": 501,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nslow":                       408,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n":                    413,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 2000\r\n\r\n":  413,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc":   400,
		"POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":            400,
		"DELETE /jobs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n":                                404,
		"GET /requests/" + strings.Repeat("k", 200) + " HTTP/1.1\r\nHost: x\r\n\r\n":                     400,
		"POST /jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n[]":                                  400,
	} {
		resp, err := raw(text)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
		is.Equal(resp.Header.Get(model.VerdictHeader), "not-run")
		is.True(resp.Header.Get("Comfreyloom-Request-Id") != "")
	}
	_, err := raw("GET /healthz HTTP/1.1\r\nHost: x\r\nX: slow")
	is.True(err != nil) // closed without a response
	is.Equal(cl.instances[0].Total(), 0)

	var held []net.Conn
	for range 9 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		held = append(held, c)
	}
	_, err = io.WriteString(held[8], "GET /s/drafts/x HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(held[8]), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503) // surplus: refused at once, with Retry-After
	is.Equal(resp.Header.Get("Retry-After"), "1")
	for _, c := range held {
		_ = c.Close()
	}
	eventually(t, "connections are released", func() bool { return cl.entries[0].server.conns.openCount() <= 1 })
}

func TestVerdictAddedOnlyToNetHTTPErrors(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	c := &callerConn{Conn: near, conns: newConnLimiter(9, 9, newCounters(nil))}
	c.handlerStarted.Store(true)
	got := make(chan []byte, 1)
	go func() {
		part := make([]byte, 256)
		n, _ := far.Read(part)
		got <- part[:n]
	}()
	text := []byte("HTTP/1.1 400 is the body of an answer\r\n\r\n")
	_, err := c.Write(text)
	is.NoErr(err)
	is.True(bytes.Equal(<-got, text)) // the bytes of a handler's response are never changed
}
