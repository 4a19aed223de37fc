package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// sharedServer serves calls over HTTP/2 and returns a client and both gates.
func sharedServer(t *testing.T, connections, calls Config) (*http.Client, string, *Gate, *Gate) {
	is := is.New(t)
	connections.Name, calls.Name = "connections", "calls"
	connections.Metrics, calls.Metrics = metrics.NewRegistry(), metrics.NewRegistry()
	outer, inner := New(connections), New(calls)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refuse := func(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	handler := inner.Calls(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		MarkServed(r)
		answer(w, r)
	}), refuse)
	s := &http.Server{Handler: handler, Protocols: unencryptedHTTP2(), ConnContext: ConnContext}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 3)
	go func() { _ = outer.Run(ctx); ended <- struct{}{} }()
	go func() { _ = inner.Run(ctx); ended <- struct{}{} }()
	go func() { _ = s.Serve(outer.ListenShared(l)); ended <- struct{}{} }()
	transport := &http.Transport{Protocols: unencryptedHTTP2()}
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		_ = s.Close()
		for range cap(ended) {
			<-ended
		}
	})
	return &http.Client{Transport: transport, Timeout: patience}, l.Addr().String(), outer, inner
}

// Connections that nobody uses must not keep a known peer out, nor close its connection.
func TestKnownPeerKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	client, address, outer, _ := sharedServer(t, Config{Memory: testMemory, Connections: 8}, Config{Memory: testMemory, Connections: 8})
	post := func() int {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	is.Equal(post(), http.StatusOK)
	known := onlyAccount(outer)
	is.True(known != nil && known.served)
	for range 30 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
	}
	await(t, "unused connections are shed or refused", func() bool {
		return outer.events.shed.Count()+outer.events.refused.Count() >= 22
	})
	is.Equal(post(), http.StatusOK)
	outer.mu.Lock()
	defer outer.mu.Unlock()
	is.True(!known.leaving && !known.closed)
}

func onlyAccount(g *Gate) (only *account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.ledger.accounts {
		only = a
	}
	return only
}

// A call whose body stops must not hold the memory that others need, on the same
// connection or another.
func TestStalledCallsMakeRoom(t *testing.T) {
	is := is.New(t)
	client, address, _, calls := sharedServer(t, Config{Memory: testMemory, Connections: 8}, Config{Memory: testMemory, Connections: 4})
	statuses := make(chan int, 4)
	for range 4 {
		reader, writer := io.Pipe()
		t.Cleanup(func() { _ = writer.Close() })
		go func() {
			response, err := client.Post("http://"+address, "text/plain", reader)
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	await(t, "they have begun", func() bool {
		calls.mu.Lock()
		defer calls.mu.Unlock()
		return len(calls.ledger.accounts) == 4
	})
	await(t, "a call is served beside them", func() bool {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	is.Equal(<-statuses, http.StatusServiceUnavailable)
}

// A handler that runs without a connection of a gate must work as before.
func TestHandlerWithoutAGate(t *testing.T) {
	is := is.New(t)
	g := New(Config{Name: "test", Memory: testMemory, Connections: 1, Metrics: metrics.NewRegistry()})
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("x"))
	g.Handler(http.HandlerFunc(answer), func(http.ResponseWriter, error) { is.Fail() }).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusOK)
	is.NoErr(Reserve(request, 1<<40))
}
