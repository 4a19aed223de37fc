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
	// MaxWait is the longest time that ?wait and ?follow may delay a response.
	MaxWait = 5 * time.Minute
	// proposeTimeout is the timeout for the proposal of a manifest to the log.
	proposeTimeout = 15 * time.Second
	// retryAfter is the Retry-After time when a manifest could not be proposed,
	// as without a leader.
	retryAfter = 2 * time.Second
	// defaultAuditLimit is the default number of audit records in a response.
	defaultAuditLimit = 200
)

// Authorizer authenticates a request and returns the name of its token.
type Authorizer interface {
	Authorize(r *http.Request) (name string, err error)
}

// InForce reports which VMs have applied an index.
type InForce interface {
	// WaitInForce waits until all VMs have applied the index or ctx ends,
	// and returns the VMs that are not known to have applied it.
	WaitInForce(ctx context.Context, index uint64) (behind []model.NodeID)
}

// AuditReader reads the audit trail.
type AuditReader interface {
	Read(from uint64, limit int) (audit.Page, error)
}

// Config holds the dependencies of the handler. All fields but Site, Logger,
// Registry and Sources must be set.
type Config struct {
	// Site is the site name that a manifest must have; empty accepts any.
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

// server handles the operators' requests.
type server struct {
	Config
	requests metrics.Counter
	refused  metrics.Counter
	panics   metrics.Counter
}

// New returns the HTTP handler of the operators' listener.
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

// actorHandler handles an authorised request; actor is the token name and the
// remote address.
type actorHandler func(w http.ResponseWriter, r *http.Request, actor string)

func (s *server) routes() http.Handler {
	router := httprouter.New()
	router.PUT("/manifest", s.authorise(s.putManifest))
	router.GET("/manifest", s.authorise(s.getManifest))
	router.GET("/status", s.authorise(s.getStatus))
	router.GET("/jobs", s.authorise(s.getJobs))
	router.GET("/audit", s.authorise(s.getAudit))
	router.GET("/metrics", s.authorise(s.getMetrics))
	router.NotFound = http.HandlerFunc(s.notFound)
	router.MethodNotAllowed = http.HandlerFunc(s.methodNotAllowed)
	router.PanicHandler = s.recoverPanic
	return router
}

// authorise checks the token before anything else of the request is read.
func (s *server) authorise(next actorHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.requests.Inc(1)
		name, err := s.Authorizer.Authorize(r)
		if err != nil {
			s.refused.Inc(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			respondError(w, http.StatusUnauthorized, "the request needs a valid bearer token: Authorization: Bearer TOKEN")
			return
		}
		next(w, r, fmt.Sprintf("%s@%s", name, r.RemoteAddr))
	}
}

func (s *server) notFound(w http.ResponseWriter, _ *http.Request) {
	respondError(w, http.StatusNotFound, "no such path; there are /manifest, /status, /jobs, /audit and /metrics")
}

func (s *server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	respondError(w, http.StatusMethodNotAllowed, "the path does not take this method; allowed: "+w.Header().Get("Allow"))
}

// recoverPanic responds in place of a handler that panicked. The handler may have
// proposed a command, so the verdict is may-have-run.
func (s *server) recoverPanic(w http.ResponseWriter, r *http.Request, cause any) {
	s.panics.Inc(1)
	s.Logger.WithFields(log.Fields{"path": r.URL.Path, "stack": string(debug.Stack())}).
		Error(fmt.Sprintf("operator request panicked: %v", cause))
	respond(w, http.StatusInternalServerError, model.MayHaveRun, Failure{Message: "internal error"})
}

// newCommandID returns a unique command ID.
func newCommandID() model.CommandID { return model.CommandID(uuid.NewString()) }

// waitParameter parses a duration from the query; 0 when it is absent.
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

// respondProposeError responds to a proposal that failed: either the command was
// not proposed, or its outcome is unknown.
func respondProposeError(w http.ResponseWriter, err error) {
	if errors.Is(err, state.ErrNotProposed) {
		w.Header().Set("Retry-After", fmt.Sprint(int(retryAfter.Seconds())))
		respondError(w, http.StatusServiceUnavailable, "the manifest was not handed to the control log, so nothing changed: "+err.Error())
		return
	}
	respond(w, http.StatusGatewayTimeout, model.MayHaveRun, Failure{
		Message: "the outcome is unknown: the manifest may come into force or not. " +
			"Sending the same file again is safe and tells what happened: " + err.Error(),
	})
}
