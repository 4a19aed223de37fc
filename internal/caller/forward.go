package caller

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// request is a caller's request that is being forwarded to a service.
type request struct {
	options
	id         string
	service    *model.Service
	method     string
	url        url.URL
	host       string
	header     http.Header
	idempotent bool
	deadline   time.Time
	body       *body
	// beforeSend is called after a slot was acquired and before the first byte
	// is sent; if it fails, the request is not sent. It may be nil.
	beforeSend func(context.Context) *failure
	// responseLimit bounds the size of a response that is buffered whole.
	responseLimit int64
	// streaming reports that the response is being streamed to the caller.
	streaming atomic.Bool
	// retryPrepaid reports that the retry after an unresponsive attempt is
	// already charged to the budget.
	retryPrepaid atomic.Bool
}

// needsClaim reports whether the request must be claimed before it is sent. A
// request that was claimed before still needs its claim after the manifest
// changes its route.
func (q *request) needsClaim() bool { return q.key != "" && (!q.idempotent || q.alreadyClaimed) }

// forward serves /s/:service/*path.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	q, f := s.parseRequest(r, p, id)
	if f != nil {
		s.writeFailure(w, id, f)
		return
	}
	bufferLimit := s.limits.BufferedBodyBytes
	if q.needsClaim() {
		bufferLimit = s.limits.KeyedBodyBytes
	}
	body, release, f := s.readBody(w, r, bufferLimit, q.deadline)
	defer release()
	if f != nil {
		w.Header().Set("Connection", "close")
		s.writeFailure(w, id, f)
		return
	}
	q.body = body
	if q.needsClaim() {
		s.forwardKeyed(w, r, q)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	resp, f := s.run(ctx, q)
	s.respond(w, r, q, resp, f)
}

// respond writes the response or the failure to the caller.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, q *request, resp *response, f *failure) {
	if f != nil {
		s.writeFailure(w, q.id, f)
		return
	}
	s.writeResponse(w, r, q.id, resp)
}

// parseRequest reads everything but the body. All its failures are not-run.
func (s *Server) parseRequest(r *http.Request, p httprouter.Params, id string) (*request, *failure) {
	name, target, f := splitPath(r.URL)
	if f != nil {
		return nil, f
	}
	if string(name) != p.ByName("service") {
		return nil, refuse(http.StatusBadRequest, "path: the service's name must not hold an escaped slash")
	}
	site := s.currentSite()
	if site == nil {
		return nil, overloaded("no manifest is in force yet", time.Second)
	}
	service := s.resolveService(site, name, r.Header)
	if service == nil {
		return nil, refuse(http.StatusNotFound, "no such service in the manifest")
	}
	o, f := s.parseOptions(r.Header, site, service)
	if f != nil {
		return nil, f
	}
	q := &request{
		options:       o,
		id:            id,
		service:       service,
		method:        r.Method,
		url:           target,
		host:          r.Host,
		header:        upstreamHeader(r.Header, id),
		idempotent:    isIdempotent(r.Method, target.Path, service.Routes, o.idempotent),
		deadline:      s.Now().Add(o.timeout),
		responseLimit: s.limits.BufferedResponseBytes,
	}
	return q, nil
}

// resolveService returns the service of the manifest, or a placeholder for one
// that the manifest dropped after a request with this key was claimed for it.
//
// Without the placeholder, a caller who resends after a lost response would be
// told that the service does not exist and that the request was not run, and
// would send it elsewhere, although it ran. The claim holds the response.
func (s *Server) resolveService(site *model.Site, name model.ServiceID, h http.Header) *model.Service {
	if service := findService(site, name); service != nil {
		return service
	}
	var o options
	if f := parseKey(h, &o); f != nil || !s.claimedBefore(o.key, name) {
		return nil
	}
	return &model.Service{ID: name}
}

// claimedBefore reports whether a request with this key to the service may have
// run, as far as this VM has applied the control log.
func (s *Server) claimedBefore(key model.RequestKey, service model.ServiceID) bool {
	if key == "" {
		return false
	}
	c := s.Log.Claim(key)
	return c != nil && c.Service == service && !reclaimable(c)
}

// upstreamHeader returns the caller's end-to-end headers and the request ID.
func upstreamHeader(h http.Header, id string) http.Header {
	out := endToEndHeaders(h)
	out[upstream.RequestIDHeader] = []string{id}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
