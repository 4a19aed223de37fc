package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

const (
	// maxAnnouncementBytes bounds the body of one announcement.
	maxAnnouncementBytes = 8 << 10
	// fullRetryAfter is when an upstream should retry while the registry is full.
	fullRetryAfter = 1 * time.Second
)

// Announcer registers upstreams; *registry.Registry implements it.
type Announcer interface {
	// Announce registers or renews an instance. It refuses an announcement that
	// is older than the registered one.
	Announce(u model.Upstream, now model.Instant) (registry.Lease, error)
	// Withdraw ends an instance's announcement of this incarnation.
	Withdraw(service model.ServiceID, instance model.InstanceID, incarnation uint64, now model.Instant) error
}

// Authorizer checks the bearer token of an announcement; *security.Authorizer
// implements it.
type Authorizer interface {
	// Authorize returns the peer's name, or an error unless the request carries
	// a valid token.
	Authorize(r *http.Request) (string, error)
}

// HandlerConfig holds the dependencies and limits of the announcement handler.
type HandlerConfig struct {
	Announcer Announcer
	// Authorizer may be nil; then no token is required.
	Authorizer Authorizer
	// Limits bounds the announcements of each remote IP.
	Limits RateLimits
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Metrics receives the counters; the default registry if nil.
	Metrics metrics.Registry
}

// handler serves announcements.
type handler struct {
	HandlerConfig
	limiter  *rateLimiter
	accepted metrics.Counter
	refused  metrics.Counter
}

// NewHandler returns the HTTP handler of the listener for upstreams.
func NewHandler(c HandlerConfig) http.Handler {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
	h := &handler{
		HandlerConfig: c,
		limiter:       newRateLimiter(c.Limits),
		accepted:      metrics.GetOrRegisterCounter("upstream.announcements.accepted", c.Metrics),
		refused:       metrics.GetOrRegisterCounter("upstream.announcements.refused", c.Metrics),
	}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.PUT("/upstreams/:service/*instance", h.guarded(h.announce))
	router.DELETE("/upstreams/:service/*instance", h.guarded(h.withdraw))
	return router
}

// guarded checks the rate limit and the token before the body is read.
func (h *handler) guarded(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if !h.limiter.allow(r.RemoteAddr, h.Now()) {
			w.Header().Set("Retry-After", "1")
			h.refuse(w, http.StatusTooManyRequests, &InputError{Message: "too many announcements from this address"})
			return
		}
		if h.Authorizer != nil {
			if _, err := h.Authorizer.Authorize(r); err != nil {
				h.refuse(w, http.StatusUnauthorized, &InputError{Key: "Authorization", Message: "a valid bearer token is required"})
				return
			}
		}
		next(w, r, p)
	}
}

// instanceOf returns the rest of the path as the instance's name. The name may
// contain a slash, since identifiers are region-qualified. A parameter for one
// path segment would not match such a name, even with the slash escaped.
func instanceOf(p httprouter.Params) string {
	return strings.TrimPrefix(p.ByName("instance"), "/")
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	a, err := DecodeAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		h.refuse(w, statusOfInput(err), err)
		return
	}
	now := model.InstantOf(h.Now())
	u, err := a.Upstream(p.ByName("service"), instanceOf(p))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err)
		return
	}
	lease, err := h.Announcer.Announce(u, now)
	if err != nil {
		h.refuseAnnouncement(w, err)
		return
	}
	h.accepted.Inc(1)
	writeJSON(w, http.StatusOK, announceResponse{
		RenewAfter: lease.RenewAfter.String(),
		Lease:      lease.Expires.Sub(now).String(),
		Leaving:    lease.Leaving,
	})
}

func (h *handler) withdraw(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	if err != nil || incarnation == 0 {
		h.refuse(w, http.StatusBadRequest, &InputError{Key: "incarnation", Message: "the query must name the incarnation to withdraw, an integer of at least 1"})
		return
	}
	service, instance, err := parseNames(p.ByName("service"), instanceOf(p))
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err)
		return
	}
	err = h.Announcer.Withdraw(service, instance, incarnation, model.InstantOf(h.Now()))
	if err != nil && !errors.Is(err, registry.ErrUnknown) {
		h.refuseAnnouncement(w, err)
		return
	}
	writeJSON(w, http.StatusOK, announceResponse{})
}

func (h *handler) refuseAnnouncement(w http.ResponseWriter, err error) {
	var invalid *registry.InvalidError
	switch {
	case errors.Is(err, registry.ErrFull):
		w.Header().Set("Retry-After", strconv.Itoa(int(fullRetryAfter/time.Second)))
		h.refuse(w, http.StatusServiceUnavailable, err)
	case errors.As(err, &invalid):
		h.refuse(w, http.StatusBadRequest, err)
	default:
		h.refuse(w, http.StatusConflict, err)
	}
}

func (h *handler) refuse(w http.ResponseWriter, status int, err error) {
	h.refused.Inc(1)
	body := errorResponse{Error: err.Error()}
	var input *InputError
	if errors.As(err, &input) {
		body.Key = input.Key
	}
	writeJSON(w, status, body)
}

func statusOfInput(err error) int {
	if status := intake.Status(err); status != 0 {
		return status
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
