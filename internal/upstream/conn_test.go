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

// newPipe returns a connection of a pool and its other end.
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

// Symptom: a caller was told not-run, and its request ran.
// Sequence: a request is given up before its first byte; its writer wakes up
// later, on the connection that it had, or on another one.
// Cause: nothing but the connection itself can know that no byte will follow.
func TestSealedExchangeIsNeverWritten(t *testing.T) {
	is := is.New(t)
	c, _ := newPipe(t)
	x := newExchange()
	c.bind(x, false)
	c.enterRead()
	is.Equal(x.seal(), NotSent)
	n, err := c.Write([]byte("POST /plan"))
	is.Equal(n, 0)
	is.True(errors.Is(err, errGivenUp))

	begun := newExchange()
	is.NoErr(begun.begin(c))
	is.Equal(begun.seal(), MaybeSent)
	other, _ := newPipe(t)
	is.True(errors.Is(begun.begin(other), errSecondSend)) // one connection only
}

// Symptom: a request got bytes that belong to an earlier answer.
// Sequence: they arrive after the connection was handed out and before the
// request was written.
// Cause: on one connection, order is all that ties an answer to its request.
func TestBytesBeforeTheRequestAreRefused(t *testing.T) {
	is := is.New(t)
	c, far := newPipe(t)
	c.bind(newExchange(), true)
	go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK")) }()
	n, err := c.Read(make([]byte, 64))
	is.Equal(n, 0)
	is.True(errors.Is(err, errUnsolicited))
}

// Symptom: as above.
// Sequence: the earlier answer's copy already lies in the reader's buffer when
// the next request is about to be written.
// Cause: a writer that does not wait for its reader can't know.
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
	time.Sleep(10 * time.Millisecond) // lets a writer that does not wait go on
	is.NoErr(c.Close())
	is.True(errors.Is(<-written, net.ErrClosed))
	is.True(!x.begun())
}
