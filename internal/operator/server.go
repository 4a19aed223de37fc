package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const (
	// MaxWait bounds the time an answer is held back for ?wait and ?follow.
	MaxWait = 5 * time.Minute
	// proposeTimeout bounds the time until a manifest is in the log.
	proposeTimeout = 15 * time.Second
	// retryAfter is when to come back after a refusal for lack of a leader.
	retryAfter = 2 * time.Second
	// auditPage is how many audit records an answer holds by default.
	auditPage = 200
)

// Authorizer checks who sent a request; it returns the name of the token.
type Authorizer interface {
	Authorize(r *http.Request) (name string, err error)
}

// InForce knows which VMs have applied an index.
type InForce interface {
	// WaitInForce waits until all VMs have applied the index or ctx ends,
	// and returns those that are not known to have.
	WaitInForce(ctx context.Context, index uint64) (behind []model.NodeID)
}

// AuditReader reads the audit trail.
type AuditReader interface {
	Read(from uint64, limit int) (audit.Page, error)
}

// Config says what the handler works on. All members but Site, Logger,
// Registry and Sources must be set.
type Config struct {
	// Site is the name that a manifest must carry; empty accepts any.
	Site       string
	Log        state.Log
	Authorizer Authorizer
	InForce    InForce
	Audit      AuditReader
	Sources    Sources
	Registry   metrics.Registry
	Logger     log.Interface
	Clock      func() time.Time
}

// server answers the operators' requests.
type server struct {
	Config
	requests metrics.Counter
	refused  metrics.Counter
	panics   metrics.Counter
}

// New returns the handler of the operators' listener.
func New(c Config) http.Handler {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Logger == nil {
		c.Logger = log.Log
	}
	s := &server{
		Config:   c,
		requests: metrics.GetOrRegisterCounter("operator.requests", c.Registry),
		refused:  metrics.GetOrRegisterCounter("operator.refused", c.Registry),
		panics:   metrics.GetOrRegisterCounter("operator.panics", c.Registry),
	}
	return s.routes()
}

// handle answers an authorised request of actor.
type handle func(w http.ResponseWriter, r *http.Request, actor string)

func (s *server) routes() http.Handler {
	router := httprouter.New()
	router.PUT("/manifest", s.authorised(s.putManifest))
	router.GET("/manifest", s.authorised(s.getManifest))
	router.GET("/status", s.authorised(s.getStatus))
	router.GET("/jobs", s.authorised(s.getJobs))
	router.GET("/audit", s.authorised(s.getAudit))
	router.GET("/metrics", s.authorised(s.getMetrics))
	router.NotFound = http.HandlerFunc(s.notFound)
	router.MethodNotAllowed = http.HandlerFunc(s.methodNotAllowed)
	router.PanicHandler = s.recovered
	return router
}

// authorised checks the token before anything of the request is read.
func (s *server) authorised(do handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.requests.Inc(1)
		name, err := s.Authorizer.Authorize(r)
		if err != nil {
			s.refused.Inc(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, "the request needs a valid bearer token: Authorization: Bearer TOKEN")
			return
		}
		do(w, r, fmt.Sprintf("%s@%s", name, r.RemoteAddr))
	}
}

func (s *server) notFound(w http.ResponseWriter, _ *http.Request) {
	fail(w, http.StatusNotFound, "no such path; there are /manifest, /status, /jobs, /audit and /metrics")
}

func (s *server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	fail(w, http.StatusMethodNotAllowed, "the path does not take this method; allowed: "+w.Header().Get("Allow"))
}

// recovered answers for a handler that panicked; it may have proposed.
func (s *server) recovered(w http.ResponseWriter, r *http.Request, cause any) {
	s.panics.Inc(1)
	s.Logger.WithFields(log.Fields{"path": r.URL.Path, "stack": string(debug.Stack())}).
		Error(fmt.Sprintf("operator request panicked: %v", cause))
	answer(w, http.StatusInternalServerError, model.MayHaveRun, Failure{Message: "internal error"})
}

// newCommandID returns an ID that no other command has.
func newCommandID() model.CommandID { return model.CommandID(uuid.NewString()) }

// waitParameter reads a duration of the query; 0 when it is absent.
func waitParameter(r *http.Request, key string) (time.Duration, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > MaxWait {
		return 0, fmt.Errorf("%s is %q; allowed: a duration with its unit from 0s to %s", key, text, MaxWait)
	}
	return d, nil
}

// proposeFailure tells the outcome of a command that has no result.
func proposeFailure(w http.ResponseWriter, err error) {
	if errors.Is(err, state.ErrNotProposed) {
		w.Header().Set("Retry-After", fmt.Sprint(int(retryAfter.Seconds())))
		fail(w, http.StatusServiceUnavailable, "the manifest was not handed to the control log, so nothing changed: "+err.Error())
		return
	}
	answer(w, http.StatusGatewayTimeout, model.MayHaveRun, Failure{
		Message: "the outcome is unknown: the manifest may come into force or not. " +
			"Sending the same file again is safe and tells what happened: " + err.Error(),
	})
}
