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

// request is one request of a caller on its way to a service.
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
	// beforeSend is called once a slot is held and before the first byte
	// leaves; a failure stops the request unsent. It may be nil.
	beforeSend func(context.Context) *failure
	// answerLimit bounds the answer that is read whole.
	answerLimit int64
	// streaming says that the answer passes on to the caller while it comes.
	streaming atomic.Bool
	// prepaid says that the retry after a silent try is charged already.
	prepaid atomic.Bool
}

// keyed reports whether the request must be claimed before it is sent. One that
// is known from an earlier send stays so when the manifest changes its route.
func (q *request) keyed() bool { return q.key != "" && (!q.idempotent || q.claimed) }

// forward serves /s/:service/*path.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	q, f := s.parse(r, p, id)
	if f != nil {
		s.writeFailure(w, id, f)
		return
	}
	keep := s.limits.ResendBytes
	if q.keyed() {
		keep = s.limits.KeyedBytes
	}
	body, release, f := s.readBody(w, r, keep, q.deadline)
	defer release()
	if f != nil {
		w.Header().Set("Connection", "close")
		s.writeFailure(w, id, f)
		return
	}
	q.body = body
	if q.keyed() {
		s.forwardKeyed(w, r, q)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a, f := s.run(ctx, q)
	s.finish(w, r, q, a, f)
}

// finish answers the caller.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, q *request, a *answer, f *failure) {
	if f != nil {
		s.writeFailure(w, q.id, f)
		return
	}
	s.writeAnswer(w, r, q.id, a)
}

// parse reads everything but the body. Its failures are all not-run.
func (s *Server) parse(r *http.Request, p httprouter.Params, id string) (*request, *failure) {
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
	service := s.serviceOf(site, name, r.Header)
	if service == nil {
		return nil, refuse(http.StatusNotFound, "no such service in the manifest")
	}
	o, f := s.parseOptions(r.Header, site, service)
	if f != nil {
		return nil, f
	}
	q := &request{
		options:     o,
		id:          id,
		service:     service,
		method:      r.Method,
		url:         target,
		host:        r.Host,
		header:      upstreamHeader(r.Header, id),
		idempotent:  idempotent(r.Method, target.Path, service.Routes, o.idempotent),
		deadline:    s.Now().Add(o.timeout),
		answerLimit: s.limits.AnswerBytes,
	}
	return q, nil
}

// serviceOf is the service of the manifest, or a stand-in for one that the
// manifest dropped after a request of this key was claimed for it.
//
// Told that there is no such service, and so that its request was not run, a
// caller who sends again after a lost answer would give it to somebody else;
// but it ran. The claim has the answer.
func (s *Server) serviceOf(site *model.Site, name model.ServiceID, h http.Header) *model.Service {
	if service := findService(site, name); service != nil {
		return service
	}
	var o options
	if f := parseKey(h, &o); f != nil || !s.claimedBefore(o.key, name) {
		return nil
	}
	return &model.Service{ID: name}
}

// claimedBefore reports whether a request of this key to the service may have
// run, as far as is known here.
func (s *Server) claimedBefore(key model.RequestKey, service model.ServiceID) bool {
	if key == "" {
		return false
	}
	c := s.Log.Claim(key)
	return c != nil && c.Service == service && !reclaimable(c)
}

// upstreamHeader is what the upstream gets: the caller's header and our id.
func upstreamHeader(h http.Header, id string) http.Header {
	out := forwarded(h)
	out[upstream.RequestIDHeader] = []string{id}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}
