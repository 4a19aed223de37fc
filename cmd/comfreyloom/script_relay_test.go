package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// relayMain is a relay of TCP connections on loopback that drops bytes as a
// broken network does. Each line of the file named by -links is "FROM TO LISTEN
// TARGET". It is controlled over HTTP:
//
//	POST /cut/FROM/TO  drops bytes from FROM to TO on all links
//	POST /cut/NODE     drops all bytes from and to NODE
//	POST /silence      drops all further bytes of the currently open connections
//	POST /heal         removes the cuts; connections that lost bytes stay broken
func relayMain() {
	control := flag.String("control", "", "IP:port that steers the relay")
	file := flag.String("links", "", "file that lists the links")
	flag.Parse()
	text, err := os.ReadFile(*file)
	exitOn(err)
	r := &relay{cuts: map[direction]bool{}, open: map[*relayed]bool{}}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var l link
		_, err := fmt.Sscan(line, &l.from, &l.to, &l.listen, &l.target)
		exitOn(err)
		listener, err := net.Listen("tcp", l.listen)
		exitOn(err)
		go r.accept(l, listener)
	}
	serveOrExit(*control, r.control())
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type link struct{ from, to, listen, target string }

// direction is one direction between two nodes; in a cut an empty end matches
// any node.
type direction struct{ from, to string }

type relay struct {
	mu   sync.Mutex
	cuts map[direction]bool
	open map[*relayed]bool
	// delay is added before each chunk that is forwarded.
	delay time.Duration
	// link limits the bandwidth; nil does not.
	link *slowLink
}

// serve forwards the connections of a link until its listener is closed.
func (r *relay) serve(l link, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(l, client)
	}
}

// reset resets all open connections, as a network device that restarts does.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		for _, conn := range c.conns {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		delete(r.open, c)
	}
}

// blackhole drops all further bytes of the currently open connections.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		for d := range c.dropping {
			c.dropping[d] = true
		}
	}
}

// configure replaces the cuts and the delay.
func (r *relay) configure(delay time.Duration, cuts ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	for _, d := range cuts {
		r.cuts[d] = true
	}
	r.delay = delay
}

// relayed is one connection. A direction that dropped a byte drops all later
// ones too, because TCP delivers nothing after a gap.
type relayed struct {
	dropping map[direction]bool
	conns    [2]net.Conn
}

func (r *relay) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut/{from}/{to}", func(_ http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cuts[direction{q.PathValue("from"), q.PathValue("to")}] = true
	})
	mux.HandleFunc("POST /cut/{node}", func(_ http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cuts[direction{from: q.PathValue("node")}] = true
		r.cuts[direction{to: q.PathValue("node")}] = true
	})
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		r.blackhole()
		r.mu.Lock()
		defer r.mu.Unlock()
		fmt.Fprintf(w, "silent connections: %d\n", len(r.open))
	})
	mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		clear(r.cuts)
	})
	return mux
}

// accept is serve for a relay process, which exits if the listener fails.
func (r *relay) accept(l link, listener net.Listener) {
	for {
		client, err := listener.Accept()
		exitOn(err)
		go r.forward(l, client)
	}
}

func (r *relay) forward(l link, client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	forth, back := direction{l.from, l.to}, direction{l.to, l.from}
	c := &relayed{dropping: map[direction]bool{forth: false, back: false}, conns: [2]net.Conn{client, server}}
	r.mu.Lock()
	r.open[c] = true
	r.mu.Unlock()
	slow := r.link
	if slow == nil {
		slow = &slowLink{}
	}
	go r.copyBytes(c, back, client, server, &slow.out)
	r.copyBytes(c, forth, server, client, &slow.in)
}

// copyBytes forwards bytes and the end of the stream, unless the direction drops them.
func (r *relay) copyBytes(c *relayed, d direction, to, from net.Conn, slow *slowDirection) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.drops(c, d) {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(r.currentDelay())
		slow.transmit(n)
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = to.Close()
			_ = from.Close()
			r.mu.Lock()
			delete(r.open, c)
			r.mu.Unlock()
			return
		}
	}
}

func (r *relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *relay) drops(c *relayed, d direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.dropping[d] = c.dropping[d] || r.cuts[d] || r.cuts[direction{from: d.from}] || r.cuts[direction{to: d.to}]
	return c.dropping[d]
}
