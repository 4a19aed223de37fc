package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// Bounds of the listeners for upstreams and operators. Each kind of peer has its
// own listener, so that a flood on one can't use the connections of another.
const (
	peerHeaderBytes   = 16 << 10
	peerHeaderTimeout = 5 * time.Second
	peerReadTimeout   = 30 * time.Second
	peerIdleTimeout   = 60 * time.Second
	peerStopTimeout   = 5 * time.Second
	// peerConnections bounds the open connections of one listener.
	peerConnections = 4096
)

// Listeners are the listening sockets of one process, one for each kind of peer.
type Listeners struct {
	Callers, Upstreams, Operators, Nodes net.Listener
}

// OpenListeners listens on each IP:port. An error names the settings key.
func OpenListeners(l settings.Listen) (*Listeners, error) {
	opened := &Listeners{}
	sockets := []struct {
		to           *net.Listener
		key, address string
	}{
		{&opened.Callers, "callers", l.Callers},
		{&opened.Upstreams, "upstreams", l.Upstreams},
		{&opened.Operators, "operators", l.Operators},
		{&opened.Nodes, "nodes", l.Nodes},
	}
	for _, s := range sockets {
		listener, err := caller.Listen(context.Background(), s.address)
		if err != nil {
			opened.close()
			return nil, oops.In("agent").Wrapf(err, "[listen] %s: cannot listen on %s", s.key, s.address)
		}
		*s.to = listener
	}
	return opened, nil
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Upstreams, l.Operators, l.Nodes} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// boundedServer returns an HTTP server with bounds against slow and endless
// input. It sets no write timeout, since the audit trail is followed by long
// polls.
func boundedServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    peerHeaderBytes,
		ReadHeaderTimeout: peerHeaderTimeout,
		ReadTimeout:       peerReadTimeout,
		IdleTimeout:       peerIdleTimeout,
	}
}
