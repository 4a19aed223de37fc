package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// jobRequest is the body of POST /jobs.
type jobRequest struct {
	// ID makes a resend harmless; the Idempotency-Key stands in for it.
	ID       string `json:"id"`
	Team     string `json:"team"`
	Pool     string `json:"pool"`
	Kind     string `json:"kind"`
	Priority string `json:"priority"`
	// MilliCPU is in thousandths of a core, MemoryMB in megabytes.
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	// Runtime is a duration with a unit; empty when unknown.
	Runtime      string `json:"runtime"`
	Idempotent   bool   `json:"idempotent"`
	Checkpoints  bool   `json:"checkpoints"`
	Throttleable bool   `json:"throttleable"`
	// Payload is handed to the worker; base64 in JSON.
	Payload []byte `json:"payload"`
}

// jobAnswer is how a job is shown to callers.
type jobAnswer struct {
	ID          string `json:"id"`
	Team        string `json:"team,omitempty"`
	Pool        string `json:"pool"`
	Kind        string `json:"kind,omitempty"`
	Priority    string `json:"priority"`
	State       string `json:"state"`
	Reason      string `json:"reason,omitempty"`
	SubmittedMS int64  `json:"submitted_ms"`
	ChangedMS   int64  `json:"changed_ms"`
	Attempts    int    `json:"attempts"`
	Moves       int    `json:"moves"`
	Cancelled   bool   `json:"cancelled,omitempty"`
}

func answerOfJob(j *model.Job) jobAnswer {
	return jobAnswer{
		ID:          string(j.Spec.ID),
		Team:        string(j.Spec.Team),
		Pool:        string(j.Spec.Pool),
		Kind:        j.Spec.Kind,
		Priority:    j.Spec.Priority.String(),
		State:       j.State.String(),
		Reason:      j.Reason,
		SubmittedMS: int64(j.Submitted),
		ChangedMS:   int64(j.Changed),
		Attempts:    j.Attempts,
		Moves:       j.Moves,
		Cancelled:   j.Cancelled,
	}
}

// submitJob serves POST /jobs.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id string) {
	setReadDeadline(w, time.Now().Add(s.limits.BodyTimeout))
	ctx, cancel := context.WithTimeout(r.Context(), s.limits.DefaultTimeout)
	defer cancel()
	spec, f := s.decodeJob(http.MaxBytesReader(w, r.Body, s.limits.JobBytes), r.Header)
	setReadDeadline(w, time.Time{})
	if f != nil && f.bySite {
		f = s.checkAgain(ctx, &spec)
	}
	if f != nil {
		s.writeFailure(w, id, f)
		return
	}
	result, err := s.Log.Propose(ctx, state.Command{
		ID:        model.CommandID("submit/" + uuid.NewString()),
		At:        model.InstantOf(s.Now()),
		Actor:     "caller",
		SubmitJob: &state.SubmitJob{Spec: spec},
	})
	switch {
	case err != nil:
		s.writeFailure(w, id, notProposed(err, "sending the job again under id "+string(spec.ID)+" is safe"))
	case result.Refused != "":
		s.writeFailure(w, id, refuse(http.StatusConflict, string(result.Refused)))
	case result.Job == nil:
		s.writeFailure(w, id, refuse(http.StatusConflict, "the job was not accepted"))
	default:
		s.writeJSON(w, id, http.StatusAccepted, model.Ran, answerOfJob(result.Job))
	}
}

// notProposed turns an error of the control log into a verdict.
func notProposed(err error, advice string) *failure {
	if errors.Is(err, state.ErrNotProposed) {
		return overloaded("the control log takes no changes at present", time.Second)
	}
	return &failure{
		status:     http.StatusServiceUnavailable,
		verdict:    model.MayHaveRun,
		message:    "whether the change was accepted is unknown; " + advice,
		retryAfter: time.Second,
	}
}

// decodeJob reads and checks a job; its failures are all not-run, but for one
// bySite: the job may have been accepted before the manifest changed.
func (s *Server) decodeJob(from io.Reader, h http.Header) (model.JobSpec, *failure) {
	var in jobRequest
	d := json.NewDecoder(from)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return model.JobSpec{}, tooLarge(large.Limit)
		}
		return model.JobSpec{}, refuse(http.StatusBadRequest, "body is not a job: "+err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return model.JobSpec{}, refuse(http.StatusBadRequest, "body holds more than one JSON object")
	}
	var o options
	if f := parseKey(h, &o); f != nil {
		return model.JobSpec{}, f
	}
	if in.ID == "" {
		in.ID = string(o.key)
	}
	named := in.ID != ""
	if !named {
		in.ID = uuid.NewString()
	}
	spec, f := in.spec()
	if f != nil {
		return spec, f
	}
	f = checkSite(&spec, s.currentSite())
	if f != nil {
		f.bySite = named
	}
	return spec, f
}

// checkAgain looks again at a job that the manifest refuses, by the newest
// state: it may have been accepted before its pool or team was dropped. Told
// that it was not run, its caller would submit it elsewhere, and it would run
// twice. The control log tells a resend from another job.
func (s *Server) checkAgain(ctx context.Context, spec *model.JobSpec) *failure {
	if s.confirm(ctx) != nil {
		return notProposed(state.ErrOutcomeUnknown, "sending the job again under id "+string(spec.ID)+" is safe")
	}
	view := s.Log.View()
	if view.Jobs[spec.ID] != nil {
		return nil
	}
	return checkSite(spec, view.Site)
}

func (in *jobRequest) spec() (model.JobSpec, *failure) {
	priority, ok := model.ParsePriority(in.Priority)
	if !ok && in.Priority != "" {
		return model.JobSpec{}, badJob("priority", "allowed are urgent, normal and batch")
	}
	runtime, f := parseRuntime(in.Runtime)
	if f != nil {
		return model.JobSpec{}, f
	}
	if f := in.check(); f != nil {
		return model.JobSpec{}, f
	}
	return model.JobSpec{
		ID:           model.JobID(in.ID),
		Team:         model.TeamID(in.Team),
		Pool:         model.PoolID(in.Pool),
		Kind:         in.Kind,
		Priority:     priority,
		Declared:     model.Resources{MilliCPU: in.MilliCPU, MemoryMB: in.MemoryMB, Accelerators: in.Accelerators},
		Runtime:      runtime,
		Idempotent:   in.Idempotent,
		Checkpoints:  in.Checkpoints,
		Throttleable: in.Throttleable,
		Payload:      in.Payload,
	}, nil
}

func badJob(key, message string) *failure {
	return refuse(http.StatusBadRequest, key+": "+message)
}

func parseRuntime(text string) (time.Duration, *failure) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, badJob("runtime", "must be a duration with a unit, such as 90m")
	}
	return d, nil
}

// maxAmount bounds each declared amount, so that sums can't overflow.
const maxAmount = 1 << 40

// check looks at what does not depend on the manifest.
func (in *jobRequest) check() *failure {
	if _, ok := validKey(in.ID); !ok {
		return badJob("id", "must have 1 to 128 printable ASCII characters without spaces or slashes")
	}
	if len(in.Kind) > maxKeyBytes {
		return badJob("kind", fmt.Sprintf("must have at most %d bytes", maxKeyBytes))
	}
	if f := in.checkAmounts(); f != nil {
		return f
	}
	if in.MilliCPU == 0 && in.MemoryMB == 0 && in.Accelerators == 0 {
		return badJob("milli_cpu", "a job must declare processors, memory or accelerators")
	}
	return nil
}

// checkSite looks at what the manifest must have.
func checkSite(spec *model.JobSpec, site *model.Site) *failure {
	if site == nil {
		return overloaded("no manifest is in force yet", time.Second)
	}
	if !slices.ContainsFunc(site.Pools, func(p model.Pool) bool { return p.ID == spec.Pool }) {
		return badJob("pool", "allowed are "+strings.Join(poolNames(site), ", "))
	}
	if spec.Team != "" && !knownTeam(site, spec.Team) {
		return badJob("team", "allowed are "+strings.Join(teamNames(site), ", "))
	}
	return nil
}

func (in *jobRequest) checkAmounts() *failure {
	for _, amount := range []struct {
		key   string
		value int64
	}{{"milli_cpu", in.MilliCPU}, {"memory_mb", in.MemoryMB}, {"accelerators", in.Accelerators}} {
		if amount.value < 0 || amount.value > maxAmount {
			return badJob(amount.key, "must be an amount of at least 0")
		}
	}
	return nil
}

func poolNames(site *model.Site) []string {
	var names []string
	for i := range site.Pools {
		if i == maxAllowedInError {
			break
		}
		names = append(names, string(site.Pools[i].ID))
	}
	return names
}

// getJob serves GET /jobs/:id.
func (s *Server) getJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	job, f := s.findJob(r.Context(), model.JobID(p.ByName("id")))
	if f != nil {
		s.writeFailure(w, id, f)
		return
	}
	s.writeJSON(w, id, http.StatusOK, model.Ran, answerOfJob(job))
}

// findJob looks a job up here and, when it is not known, once more after what
// other entry VMs committed has been applied.
func (s *Server) findJob(ctx context.Context, id model.JobID) (*model.Job, *failure) {
	if job := s.Log.View().Jobs[id]; job != nil {
		return job, nil
	}
	if f := s.confirm(ctx); f != nil {
		return nil, f
	}
	if job := s.Log.View().Jobs[id]; job != nil {
		return job, nil
	}
	return nil, refuse(http.StatusNotFound, "no such job")
}
