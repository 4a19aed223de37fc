package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// Sender sends one request to one upstream; *upstream.Transport implements it.
type Sender interface {
	Send(ctx context.Context, u model.Upstream, r *upstream.Request) (*http.Response, upstream.SentState, error)
}

// Config holds the dependencies and options of a Server.
type Config struct {
	// Self names this entry VM as the owner of claims.
	Self   model.NodeID
	Log    state.Log
	Broker slots.Broker
	Sender Sender
	Limits Limits
	// Gate bounds what connections hold; nil means that only Limits does.
	Gate *intake.Gate
	// BalancerDelay is how long connections are still accepted after readiness
	// turned off, so that the load balancer notices it first.
	BalancerDelay time.Duration
	// Linger is how long, after that, callers' open connections are still
	// served; 0 means one second.
	Linger time.Duration
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// BrokerNow is the clock on which Broker reads deadlines; nil means
	// slots.Clock. With the wall clock every deadline would look expired after
	// the clock was set back, and none after it was set forward.
	BrokerNow func() model.Instant
	// Metrics registers the counters; nil means the default registry.
	Metrics metrics.Registry
	// Logger logs state changes and faults; nil means the default logger.
	Logger log.Interface
}

// Server serves callers.
type Server struct {
	Config
	limits       Limits
	http         *http.Server
	counters     *counters
	budgets      retryBudgets
	latency      latencyEstimators
	buffers      byteBudget
	breaker      claimBreaker
	active       atomic.Int64
	site         siteCache
	confirmSlots chan struct{}

	draining atomic.Bool
	// outcomeQueue and cancelQueue pass work from request handlers to the tasks
	// of Run.
	outcomeQueue *ring.Ring[claimOutcome]
	cancelQueue  *ring.Ring[cancellation]
	// unrecorded counts claims of this process whose outcome is not yet in the
	// control log.
	unrecorded sync.WaitGroup
	pending    pendingOutcomes

	mu         sync.Mutex
	conditions []ReadinessCondition
	conns      *connLimiter
	violations []string
	listeners  []*listener
}

// New returns a server. Outcomes and cancellations are only processed while Run
// is running.
func New(c Config) *Server {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.BrokerNow == nil {
		c.BrokerNow = slots.Clock()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.DefaultRegistry
	}
	if c.Logger == nil {
		c.Logger = log.Log
	}
	setDefault(&c.Linger, defaultLinger)
	s := &Server{
		Config:       c,
		limits:       c.Limits.withDefaults(),
		counters:     newCounters(c.Metrics),
		confirmSlots: make(chan struct{}, maxConcurrentConfirms),
		outcomeQueue: ring.New[claimOutcome](outcomeQueueSize),
		cancelQueue:  ring.New[cancellation](cancelQueueSize),
	}
	s.buffers.limit = s.limits.TotalBufferedBytes
	s.conns = newConnLimiter(s.limits.Connections, s.limits.ConnectionsPerIP, s.counters)
	s.http = s.newHTTPServer()
	return s
}

// Handler returns the HTTP handler, for use without a listener.
func (s *Server) Handler() http.Handler { return s.http.Handler }

func (s *Server) routes() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = s.fixedFailure(http.StatusNotFound, "no such path; allowed are /s/:service/*path, /jobs, /jobs/:id, /requests/:key, /readyz and /healthz")
	router.MethodNotAllowed = s.fixedFailure(http.StatusMethodNotAllowed, "this method is not allowed here")
	for _, method := range forwardedMethods {
		router.Handle(method, "/s/:service/*path", s.limitRequests(s.forward))
	}
	router.GET("/readyz", s.withRequestID(s.readyz))
	router.GET("/healthz", s.withRequestID(s.healthz))
	router.POST("/jobs", s.limitRequests(s.submitJob))
	router.GET("/jobs/:id", s.limitRequests(s.getJob))
	router.DELETE("/jobs/:id", s.limitRequests(s.cancelJob))
	router.GET("/requests/:key", s.limitRequests(s.getRequest))
	return router
}

// forwardedMethods are the methods with which a service can be called. CONNECT
// and TRACE concern the connection to this VM and are not passed on.
var forwardedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// idHandle is a handler that receives the ID of its request.
type idHandle func(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string)

// withRequestID generates the request's ID.
func (s *Server) withRequestID(next idHandle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		next(w, r, p, uuid.NewString())
	}
}

// limitRequests bounds the requests in progress. A request beyond the bound is
// refused at once: waiting would hold memory for work that can't start.
func (s *Server) limitRequests(next idHandle) httprouter.Handle {
	return s.withRequestID(func(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
		defer s.active.Add(-1)
		if s.active.Add(1) > s.limits.Requests || isSurplus(r) {
			w.Header().Set("Connection", "close")
			s.writeFailure(w, id, overloaded("this entry VM has too many requests in progress", 0))
			return
		}
		next(w, r, p, id)
	})
}

// refuseAtGate responds to a request that the gate refuses.
func (s *Server) refuseAtGate(w http.ResponseWriter, err error) {
	f := intakeFailure(err)
	if f == nil {
		f = overloaded(err.Error(), 0)
	}
	s.writeFailure(w, uuid.NewString(), f)
}

func (s *Server) fixedFailure(status int, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeFailure(w, uuid.NewString(), refuse(status, message))
	})
}
