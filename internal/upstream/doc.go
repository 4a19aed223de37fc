// Package upstream talks with upstreams: it takes their announcements over
// HTTP and sends them the requests of callers.
//
// Transport answers the one question that the caller path can't do without:
// may a request have reached an upstream? It decides this at the connection,
// where the bytes are written, and not from the error that comes back.
package upstream
