package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// newPipe returns a connection of a pool and the remote end of it.
func newPipe(t *testing.T) (*conn, net.Conn) {
	near, far := net.Pipe()
	_ = near.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	o := Options{}.withDefaults()
	return newConn(near, newPool(poolKey{}, &o, metrics.NewCounter())), far
}

func newExchange() *exchange {
	_, cancel := context.WithCancelCause(context.Background())
	return &exchange{cancel: cancel}
}

// Guards against a request that is reported as not sent and runs nevertheless: it
// ends before its first byte is written, and its writer wakes up later, on the
// same connection or on another one. Only the connection itself can ensure that
// no byte follows.
func TestEndedExchangeIsNeverWritten(t *testing.T) {
	is := is.New(t)
	c, _ := newPipe(t)
	x := newExchange()
	c.bind(x, false)
	c.enterRead()
	is.Equal(x.end(), NotSent)
	n, err := c.Write([]byte("POST /plan"))
	is.Equal(n, 0)
	is.True(errors.Is(err, errEndedUnsent))

	sent := newExchange()
	is.NoErr(sent.claim(c))
	is.Equal(sent.end(), MaybeSent)
	other, _ := newPipe(t)
	is.True(errors.Is(sent.claim(other), errSecondSend)) // one connection only
}

// Guards against a request that gets bytes of an earlier response, which arrive
// after the connection was selected and before the request is written. On a
// connection, only the order relates a response to its request.
func TestBytesBeforeTheRequestAreRefused(t *testing.T) {
	is := is.New(t)
	c, far := newPipe(t)
	c.bind(newExchange(), true)
	go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK")) }()
	n, err := c.Read(make([]byte, 64))
	is.Equal(n, 0)
	is.True(errors.Is(err, errUnsolicited))
}

// As above, but the bytes of the earlier response are already in the reader's
// buffer when the next request is to be written. The writer must wait for the
// reader to detect this.
func TestWriterWaitsForItsReader(t *testing.T) {
	is := is.New(t)
	c, _ := newPipe(t)
	x := newExchange()
	c.bind(x, true)
	written := make(chan error)
	go func() {
		_, err := c.Write([]byte("POST /plan"))
		written <- err
	}()
	time.Sleep(10 * time.Millisecond) // time for a writer that doesn't wait to write
	is.NoErr(c.Close())
	is.True(errors.Is(<-written, net.ErrClosed))
	is.True(!x.mayHaveSent())
}
