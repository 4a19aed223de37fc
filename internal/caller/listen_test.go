package caller

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a planned stop exits 1, now and then. Sequence: Drain closes the
// listener, and http.Server.Shutdown closes it again before Serve has returned.
// Cause: the second close of a listener is an error.
func TestListenerMayBeClosedTwice(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newListener(raw, nil)
	is.NoErr(l.Close())
	is.NoErr(l.Close())
}
