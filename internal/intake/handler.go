package intake

import (
	"io"
	"net/http"
)

// maxHeaderBytes is the limit of net/http for heads. Those of Limits apply before it.
const maxHeaderBytes = 1 << 20

// Server returns a server for a listener of Listen. Refuse writes the response to a
// request that is refused because of its error; it has not run.
func (g *Gate) Server(h http.Handler, refuse func(http.ResponseWriter, error)) *http.Server {
	return &http.Server{
		Handler: g.Handler(h, refuse), MaxHeaderBytes: maxHeaderBytes, ConnContext: ConnContext, ConnState: ConnState,
	}
}

// Handler accounts for each request before it is handled.
func (g *Gate) Handler(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		extra := int64(0)
		if r.ContentLength < 0 {
			extra = trailerBytes
		}
		if err := g.begin(c.account, headCost(r), r.ContentLength != 0, extra); err != nil {
			w.Header().Set("Connection", "close")
			refuse(w, err)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &body{ReadCloser: r.Body, conn: c, header: w.Header()}
		}
		next.ServeHTTP(w, r)
	})
}

// headCost returns what a parsed head holds, in bytes.
func headCost(r *http.Request) int64 {
	cost := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			cost += int64(len(name)+len(value)) + lineBytes
		}
	}
	return cost
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn   *conn
	header http.Header
}

// Read implements io.Reader. The error is ErrOverloaded, ErrTooSlow or ErrTooLarge if
// the request was given up; its connection is then closed after the response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.conn.gate.enter(b.conn.account, phaseHandling)
	case err != nil:
		b.header.Set("Connection", "close")
		if reason := b.conn.refusal(); reason != nil {
			return n, reason
		}
	}
	return n, err
}

// Reserve charges a request with bytes that it is about to hold, until its response is
// written. The error is ErrOverloaded or ErrTooLarge.
func Reserve(r *http.Request, bytes int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	return c.gate.charge(c.account, bytes)
}
