package agent

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/caller"
	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// peerStopTimeout bounds the end of the requests of upstreams and operators at a stop.
const peerStopTimeout = 5 * time.Second

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
