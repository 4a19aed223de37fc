package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// body is a request's body: kept whole for a resend, or streamed and sent once.
type body struct {
	kept []byte
	// rest is nil when kept is whole.
	rest io.Reader
	// length is -1 when it is unknown.
	length int64
	// taken is set once a byte of rest was read.
	taken atomic.Bool
}

// whole reports whether the body can be sent again from memory.
func (b *body) whole() bool { return b.rest == nil }

// resendable reports whether a try that sent no byte can be repeated.
func (b *body) resendable() bool { return b.whole() || !b.taken.Load() }

// reader returns the body from its start.
func (b *body) reader() io.Reader {
	if b.whole() {
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), &restReader{b})
}

// restReader reads the part of a body that was not kept.
type restReader struct{ b *body }

// Read notes that the rest was touched: the body can't be sent again then.
func (r *restReader) Read(p []byte) (int, error) {
	r.b.taken.Store(true)
	return r.b.rest.Read(p)
}

// readBody keeps a body of up to keep bytes and leaves the rest of a longer
// one to be streamed. The bytes kept are reserved in the server's budget until
// release is called.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, keep int64, until time.Time) (b *body, release func(), f *failure) {
	release = func() {}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return &body{}, release, nil
	}
	if r.ContentLength > s.limits.BodyBytes {
		return nil, release, tooLarge(s.limits.BodyBytes)
	}
	limited := http.MaxBytesReader(w, r.Body, s.limits.BodyBytes)
	if r.ContentLength > keep {
		setReadDeadline(w, until)
		return &body{rest: limited, length: r.ContentLength}, release, nil
	}
	size := keep
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	if !s.buffers.take(size) {
		return nil, release, overloaded("this entry VM holds too many bodies", 0)
	}
	release = func() { s.buffers.give(size) }
	b, f = s.keepBody(w, limited, r.ContentLength, size, until)
	return b, release, f
}

// keepBody reads until the end or until size bytes. The deadline on the
// connection ends a caller that sends its body a byte at a time.
func (s *Server) keepBody(w http.ResponseWriter, from io.Reader, length, size int64, until time.Time) (*body, *failure) {
	setReadDeadline(w, earlier(until, time.Now().Add(s.limits.BodyTimeout)))
	var kept bytes.Buffer
	if length > 0 {
		kept.Grow(int(length) + bytes.MinRead)
	}
	n, err := io.CopyN(&kept, from, size)
	if err == nil && length < 0 {
		setReadDeadline(w, until)
		return &body{kept: kept.Bytes(), rest: from, length: -1}, nil
	}
	if err != nil && err != io.EOF {
		return nil, badBody(err)
	}
	setReadDeadline(w, time.Time{})
	return &body{kept: kept.Bytes(), length: n}, nil
}

func badBody(err error) *failure {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(large.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		f := refuse(http.StatusBadRequest, "the body ended early")
		f.gone = true
		return f
	}
}

// setReadDeadline bounds the arrival of the body; zero lifts the bound, or
// net/http would take its passing for the caller's going away.
func setReadDeadline(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
