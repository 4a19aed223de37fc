package caller

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ReadinessCondition must hold before the load balancer sends callers to this
// VM.
type ReadinessCondition struct {
	// Name is the condition's key in the response of /readyz.
	Name string
	// Check returns nil if the condition holds. It must not block.
	Check func() error
}

// AddReadinessCondition adds a condition of readiness.
func (s *Server) AddReadinessCondition(c ReadinessCondition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conditions = append(s.conditions, c)
}

// readiness is the body of /readyz.
type readiness struct {
	Ready bool `json:"ready"`
	// Failing maps each condition that does not hold to the reason.
	Failing map[string]string `json:"failing,omitempty"`
}

func (s *Server) readiness() readiness {
	s.mu.Lock()
	conditions := s.conditions
	s.mu.Unlock()
	failing := make(map[string]string)
	if s.draining.Load() {
		failing["draining"] = "the process is stopping"
	}
	for _, c := range conditions {
		if err := c.Check(); err != nil {
			failing[c.Name] = err.Error()
		}
	}
	return readiness{Ready: len(failing) == 0, Failing: failing}
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, id string) {
	state := s.readiness()
	if !state.Ready {
		s.writeJSON(w, id, http.StatusServiceUnavailable, model.NotRun, state)
		return
	}
	s.writeJSON(w, id, http.StatusOK, model.Ran, state)
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, id string) {
	s.writeJSON(w, id, http.StatusOK, model.Ran, struct {
		Healthy bool `json:"healthy"`
	}{true})
}
