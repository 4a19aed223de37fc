package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/intake"
)

// body is a request's body: buffered whole for retries, or streamed and sent
// once.
type body struct {
	buffered []byte
	// rest is nil if buffered is whole.
	rest io.Reader
	// length is -1 if it is unknown.
	length int64
	// restRead is set once rest has been read from.
	restRead atomic.Bool
}

// fullyBuffered reports whether the body can be sent again from memory.
func (b *body) fullyBuffered() bool { return b.rest == nil }

// resendable reports whether an attempt that sent no byte can be repeated.
func (b *body) resendable() bool { return b.fullyBuffered() || !b.restRead.Load() }

// reader returns the body from its start.
func (b *body) reader() io.Reader {
	if b.fullyBuffered() {
		return bytes.NewReader(b.buffered)
	}
	return io.MultiReader(bytes.NewReader(b.buffered), &restReader{b})
}

// restReader reads the part of a body that was not buffered.
type restReader struct{ b *body }

// Read records that rest was read: the body can't be sent again after that.
func (r *restReader) Read(p []byte) (int, error) {
	r.b.restRead.Store(true)
	return r.b.rest.Read(p)
}

// readBody buffers a body of up to bufferLimit bytes and leaves the rest of a
// longer one to be streamed. The buffered bytes are reserved in the server's
// budget until release is called.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, bufferLimit int64, until time.Time) (b *body, release func(), f *failure) {
	release = func() {}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return &body{}, release, nil
	}
	if r.ContentLength > s.limits.BodyBytes {
		return nil, release, tooLarge(s.limits.BodyBytes)
	}
	limited := http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	if r.ContentLength > bufferLimit {
		setReadDeadline(w, until)
		return &body{rest: limited, length: r.ContentLength}, release, nil
	}
	size := bufferLimit
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	if release, f = s.reserveBody(r, size); f != nil {
		return nil, release, f
	}
	b, f = s.bufferBody(w, limited, r.ContentLength, size, until)
	return b, release, f
}

// reserveBody reserves the memory for a body, until release is called. With a gate it is
// charged to the connection: a sender that stops must not hold what others need.
func (s *Server) reserveBody(r *http.Request, size int64) (release func(), f *failure) {
	if s.Gate != nil {
		return func() {}, intakeFailure(intake.Reserve(r, size))
	}
	if !s.buffers.reserve(size) {
		return func() {}, overloaded("this entry VM holds too many bodies", 0)
	}
	return func() { s.buffers.release(size) }, nil
}

// intakeFailure returns the failure of a request that was not run because of an error of
// package intake, nil for other errors.
func intakeFailure(err error) *failure {
	switch status := intake.Status(err); status {
	case 0:
		return nil
	case http.StatusServiceUnavailable:
		return overloaded("this entry VM holds too much for other requests", 0)
	case http.StatusRequestTimeout:
		return refuse(status, "the body did not arrive in time")
	default:
		return refuse(status, "the body is too large for this entry VM")
	}
}

// bufferBody reads until the end or until size bytes. The read deadline on the
// connection stops a caller that sends its body a byte at a time.
func (s *Server) bufferBody(w http.ResponseWriter, from io.Reader, length, size int64, until time.Time) (*body, *failure) {
	setReadDeadline(w, earlierTime(until, time.Now().Add(s.limits.BodyTimeout)))
	var buffered bytes.Buffer
	if length > 0 {
		buffered.Grow(int(length) + bytes.MinRead)
	}
	n, err := io.CopyN(&buffered, from, size)
	if err == nil && length < 0 {
		setReadDeadline(w, until)
		return &body{buffered: buffered.Bytes(), rest: from, length: -1}, nil
	}
	if err != nil && err != io.EOF {
		return nil, bodyFailure(err)
	}
	setReadDeadline(w, time.Time{})
	return &body{buffered: buffered.Bytes(), length: n}, nil
}

func bodyFailure(err error) *failure {
	if f := intakeFailure(err); f != nil {
		return f
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(large.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		f := refuse(http.StatusBadRequest, "the body ended early")
		f.callerDisconnected = true
		return f
	}
}

// setReadDeadline bounds the arrival of the body. The zero time removes the
// bound: net/http would treat an expired deadline as a caller that
// disconnected.
func setReadDeadline(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
