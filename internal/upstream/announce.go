package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

const (
	// maxAnnouncementBytes bounds the body of one announcement.
	maxAnnouncementBytes = 8 << 10
	// fullRetryAfter is when an upstream should come back after a refusal.
	fullRetryAfter = 1 * time.Second
)

// Announcer is where announcements go; *registry.Registry is one.
type Announcer interface {
	// Announce enters or renews an instance. It refuses an announcement that
	// is older than the one it holds.
	Announce(u model.Upstream, now model.Instant) (registry.Lease, error)
	// Withdraw ends an instance's announcement of this incarnation.
	Withdraw(service model.ServiceID, instance model.InstanceID, incarnation uint64, now model.Instant) error
}

// Authorizer checks the bearer token of an announcement; *security.Authorizer
// is one.
type Authorizer interface {
	// Authorize returns the peer's name, or an error unless the request bears
	// a valid token.
	Authorize(r *http.Request) (string, error)
}

// HandlerConfig is what the announcement handler works with.
type HandlerConfig struct {
	Announcer Announcer
	// Authorizer may be nil: then every upstream that reaches the listener may announce.
	Authorizer Authorizer
	// Limits bounds what one remote IP may announce.
	Limits RateLimits
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Metrics takes the counters; the default registry when nil.
	Metrics metrics.Registry
}

// handler serves announcements.
type handler struct {
	HandlerConfig
	limiter  *rateLimiter
	accepted metrics.Counter
	refused  metrics.Counter
}

// NewHandler returns the handler of the upstreams' listener.
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

// guarded checks the rate and the token before an input is read.
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

// instanceOf returns the rest of the path as the instance's name. It may hold
// a slash, since identifiers are region-qualified; a parameter of one path
// segment would not match then, whether the slash is escaped or not.
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
	writeJSON(w, http.StatusOK, announced{
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
	writeJSON(w, http.StatusOK, announced{})
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
	answer := refused{Error: err.Error()}
	var input *InputError
	if errors.As(err, &input) {
		answer.Key = input.Key
	}
	writeJSON(w, status, answer)
}

func statusOfInput(err error) int {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
