package caller

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Drain closes the listener, and http.Server.Shutdown closes it again before
// Serve has returned. The second close of a net.Listener is an error, which made
// planned stops exit with 1 now and then.
func TestListenerClosesTwice(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newListener(raw, nil, nil)
	is.NoErr(l.Close())
	is.NoErr(l.Close())
}
