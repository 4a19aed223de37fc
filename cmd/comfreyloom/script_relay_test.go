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

// relayMain is a relay of TCP connections on loopback that loses bytes as a
// broken path does. Each line of the file named by -links is "FROM TO LISTEN
// TARGET". It is steered over HTTP:
//
//	POST /cut/FROM/TO  bytes from FROM to TO are lost, on whichever link
//	POST /cut/NODE     all bytes from and to NODE are lost
//	POST /silence      the connections open now are silent for good
//	POST /heal         what is sent from now on arrives, on new connections
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

// direction is one way between two nodes; as a cut, an empty end is any node.
type direction struct{ from, to string }

type relay struct {
	mu   sync.Mutex
	cuts map[direction]bool
	open map[*relayed]bool
	// delay holds up every piece that is passed on.
	delay time.Duration
}

// serve relays the connections of a link until its listener is closed.
func (r *relay) serve(l link, listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go r.join(l, near)
	}
}

// reset breaks all open connections, as a device that restarts does.
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

// silence makes the connections open now silent for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		for d := range c.lost {
			c.lost[d] = true
		}
	}
}

// steer replaces the cuts and the delay.
func (r *relay) steer(delay time.Duration, cuts ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cuts)
	for _, d := range cuts {
		r.cuts[d] = true
	}
	r.delay = delay
}

// relayed is one connection. A direction that lost a byte loses all that
// follow, as TCP never passes on what comes behind a gap.
type relayed struct {
	lost  map[direction]bool
	conns [2]net.Conn
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
		r.silence()
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

func (r *relay) accept(l link, listener net.Listener) {
	for {
		near, err := listener.Accept()
		exitOn(err)
		go r.join(l, near)
	}
}

func (r *relay) join(l link, near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	there, back := direction{l.from, l.to}, direction{l.to, l.from}
	c := &relayed{lost: map[direction]bool{there: false, back: false}, conns: [2]net.Conn{near, far}}
	r.mu.Lock()
	r.open[c] = true
	r.mu.Unlock()
	go r.copy(c, back, near, far)
	r.copy(c, there, far, near)
}

// copy passes on bytes, and the end, unless the direction is silent.
func (r *relay) copy(c *relayed, d direction, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.loses(c, d) {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(r.delayNow())
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

func (r *relay) delayNow() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *relay) loses(c *relayed, d direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.lost[d] = c.lost[d] || r.cuts[d] || r.cuts[direction{from: d.from}] || r.cuts[direction{to: d.to}]
	return c.lost[d]
}
