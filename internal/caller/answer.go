package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// answer is an upstream's answer: whole in memory, or begun and to be streamed.
type answer struct {
	status int
	header http.Header
	// body is the whole body, or its beginning when stream is set.
	body []byte
	// stream yields the rest; nil when body is whole.
	stream io.ReadCloser
	// length is the length of the whole, -1 when the upstream did not say.
	length  int64
	trailer http.Header
	// readToEnd has a streamed answer read to its end even when the caller is
	// gone, so that its outcome is known.
	readToEnd bool
	// done is called once, when the answer came to its end; whole says that
	// the upstream gave all of it.
	done func(whole bool)
}

// readAnswer reads up to limit bytes of the answer's body. A body that ends
// within the limit is whole; a cut one is an error.
func readAnswer(resp *http.Response, limit int64) (*answer, error) {
	a := &answer{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, done: func(bool) {}}
	if resp.Body == http.NoBody {
		return a, nil
	}
	size := limit
	if resp.ContentLength >= 0 && resp.ContentLength < limit {
		size = resp.ContentLength
	}
	buffer := make([]byte, 0, initialBuffer(resp.ContentLength, size))
	buffer, err := readUpTo(buffer, resp.Body, size)
	if err == io.EOF {
		_ = resp.Body.Close()
		a.body, a.trailer = buffer, resp.Trailer
		return a, nil
	}
	if err != nil {
		return nil, err
	}
	a.body, a.stream = buffer, resp.Body
	return a, nil
}

const smallBuffer = 512

func initialBuffer(length, size int64) int64 {
	if length >= 0 {
		return size + 1
	}
	return min(smallBuffer, size+1)
}

// readUpTo fills b until it holds more than size bytes, or until an error.
// The byte beyond size is what tells a body that ends there from a longer one.
func readUpTo(b []byte, from io.Reader, size int64) ([]byte, error) {
	for int64(len(b)) <= size {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := from.Read(b[len(b):min(int64(cap(b)), size+1)])
		b = b[:len(b)+n]
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// writeAnswer passes an answer on. A streamed answer that breaks off ends the
// caller's connection, so that what arrived can't be taken for the whole.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, id string, a *answer) {
	if a.stream == nil {
		defer a.done(true)
	}
	if a.stream != nil && a.length < 0 && !r.ProtoAtLeast(1, 1) {
		_ = a.stream.Close()
		a.done(false)
		s.writeFailure(w, id, &failure{status: http.StatusBadGateway, verdict: model.Ran,
			message: "the answer has no length, and HTTP/1.0 could not show whether it is whole"})
		return
	}
	h := w.Header()
	copyAnswerHeader(h, a.header)
	s.stamp(h, id, model.Ran)
	s.counters.verdicts[model.Ran].Inc(1)
	setLength(h, r, a)
	s.writeBy(w)
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.stream != nil {
		s.stream(w, a, err == nil)
	}
	writeTrailer(h, a.trailer)
}

func copyAnswerHeader(to, from http.Header) {
	for name, values := range forwarded(from) {
		if !isOurs(name) {
			to[name] = values
		}
	}
}

// isOurs reports a header that only we may set towards callers.
func isOurs(name string) bool {
	return name == model.VerdictHeader || name == upstream.RequestIDHeader || name == headerKept
}

func setLength(h http.Header, r *http.Request, a *answer) {
	switch {
	case len(a.trailer) > 0 || !bodyAllowed(a.status):
		return
	case a.stream == nil && r.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		h[http.TrailerPrefix+name] = values
	}
}

const streamBuffer = 16 * kilobyte

// stream passes on the rest of an answer and ends the caller's connection
// when the answer breaks off or the caller does not take it.
func (s *Server) stream(w http.ResponseWriter, a *answer, taken bool) {
	part := make([]byte, streamBuffer)
	for taken || a.readToEnd {
		n, err := a.stream.Read(part)
		taken = taken && s.pass(w, part[:n])
		if err == io.EOF {
			_ = a.stream.Close()
			a.done(true)
			if !taken {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if err != nil {
			break
		}
	}
	_ = a.stream.Close()
	a.done(false)
	s.counters.aborted.Inc(1)
	panic(http.ErrAbortHandler)
}

// pass writes one part through to the caller and reports whether it was taken.
func (s *Server) pass(w http.ResponseWriter, part []byte) bool {
	if len(part) == 0 {
		return true
	}
	s.writeBy(w)
	if _, err := w.Write(part); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// writeBy bounds how long a caller may take to receive what is written next.
func (s *Server) writeBy(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
}
