// Package upstream communicates with upstreams: it accepts their announcements
// over HTTP and sends them the requests of callers.
//
// Transport also reports whether a failed request may have reached the
// upstream, which decides whether the request can be sent again. It knows this
// from the connection, where the bytes are written, not from the error that
// net/http returns.
package upstream
