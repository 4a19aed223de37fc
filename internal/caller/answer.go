package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// response is an upstream's response: buffered whole, or partly read with the
// rest to be streamed.
type response struct {
	status int
	header http.Header
	// body is the whole body, or its beginning if stream is set.
	body []byte
	// stream yields the rest; nil if body is whole.
	stream io.ReadCloser
	// contentLength is the length of the whole body; -1 if the upstream did not
	// declare it.
	contentLength int64
	trailer       http.Header
	// readToEnd makes streamResponse read to the end even if the caller has
	// disconnected, so that the outcome of the request is known.
	readToEnd bool
	// onEnd is called once, when the response ends; whole reports whether the
	// upstream sent all of it.
	onEnd func(whole bool)
}

// readResponse reads up to limit bytes of the response's body. A body that ends
// within the limit is whole; a truncated one is an error.
func readResponse(httpResp *http.Response, limit int64) (*response, error) {
	resp := &response{status: httpResp.StatusCode, header: httpResp.Header, contentLength: httpResp.ContentLength, onEnd: func(bool) {}}
	if httpResp.Body == http.NoBody {
		return resp, nil
	}
	size := limit
	if httpResp.ContentLength >= 0 && httpResp.ContentLength < limit {
		size = httpResp.ContentLength
	}
	buffer := make([]byte, 0, initialBufferBytes(httpResp.ContentLength, size))
	buffer, err := readUpTo(buffer, httpResp.Body, size)
	if err == io.EOF {
		_ = httpResp.Body.Close()
		resp.body, resp.trailer = buffer, httpResp.Trailer
		return resp, nil
	}
	if err != nil {
		return nil, err
	}
	resp.body, resp.stream = buffer, httpResp.Body
	return resp, nil
}

const minBufferBytes = 512

func initialBufferBytes(length, size int64) int64 {
	if length >= 0 {
		return size + 1
	}
	return min(minBufferBytes, size+1)
}

// readUpTo fills b until it holds more than size bytes, or until an error.
// Reading one byte beyond size distinguishes a body of that size from a longer
// one.
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

// writeResponse passes a response on to the caller. If a streamed response
// breaks off, the caller's connection is closed, so that the caller can't take
// the part that arrived for the whole.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, id string, resp *response) {
	if resp.stream == nil {
		defer resp.onEnd(true)
	}
	if resp.stream != nil && resp.contentLength < 0 && !r.ProtoAtLeast(1, 1) {
		_ = resp.stream.Close()
		resp.onEnd(false)
		s.writeFailure(w, id, &failure{status: http.StatusBadGateway, verdict: model.Ran,
			message: "the answer has no length, and HTTP/1.0 could not show whether it is whole"})
		return
	}
	h := w.Header()
	copyResponseHeader(h, resp.header)
	s.setStandardHeaders(h, id, model.Ran)
	s.counters.verdicts[model.Ran].Inc(1)
	setContentLength(h, r, resp)
	s.extendWriteDeadline(w)
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	if resp.stream != nil {
		s.streamResponse(w, resp, err == nil)
	}
	writeTrailer(h, resp.trailer)
}

func copyResponseHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		if !isReservedHeader(name) {
			to[name] = values
		}
	}
}

// isReservedHeader reports whether only comfreyloom may set the header towards
// callers.
func isReservedHeader(name string) bool {
	return name == model.VerdictHeader || name == upstream.RequestIDHeader || name == headerKept
}

func setContentLength(h http.Header, r *http.Request, resp *response) {
	switch {
	case len(resp.trailer) > 0 || !bodyAllowed(resp.status):
		return
	case resp.stream == nil && r.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	case resp.contentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.contentLength, 10))
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

const streamBufferBytes = 16 * kilobyte

// streamResponse passes on the rest of a response. It closes the caller's
// connection if the response breaks off or the caller does not receive it.
func (s *Server) streamResponse(w http.ResponseWriter, resp *response, delivered bool) {
	chunk := make([]byte, streamBufferBytes)
	for delivered || resp.readToEnd {
		n, err := resp.stream.Read(chunk)
		delivered = delivered && s.writeAndFlush(w, chunk[:n])
		if err == io.EOF {
			_ = resp.stream.Close()
			resp.onEnd(true)
			if !delivered {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if err != nil {
			break
		}
	}
	_ = resp.stream.Close()
	resp.onEnd(false)
	s.counters.responsesAborted.Inc(1)
	panic(http.ErrAbortHandler)
}

// writeAndFlush writes one chunk to the caller and reports whether that worked.
func (s *Server) writeAndFlush(w http.ResponseWriter, chunk []byte) bool {
	if len(chunk) == 0 {
		return true
	}
	s.extendWriteDeadline(w)
	if _, err := w.Write(chunk); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// extendWriteDeadline bounds how long a caller may take to receive the next
// write.
func (s *Server) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
}
