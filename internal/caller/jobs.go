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

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// jobRequest is the body of POST /jobs.
type jobRequest struct {
	// ID makes a resend harmless; it defaults to the Idempotency-Key.
	ID       string `json:"id"`
	Team     string `json:"team"`
	Pool     string `json:"pool"`
	Kind     string `json:"kind"`
	Priority string `json:"priority"`
	// MilliCPU is in thousandths of a core, MemoryMB in megabytes.
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	// Runtime is a duration with a unit; empty if unknown.
	Runtime      string `json:"runtime"`
	Idempotent   bool   `json:"idempotent"`
	Checkpoints  bool   `json:"checkpoints"`
	Throttleable bool   `json:"throttleable"`
	// Payload is passed to the worker; base64 in JSON.
	Payload []byte `json:"payload"`
}

// jobResponse is the JSON form of a job in responses to callers.
type jobResponse struct {
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

func newJobResponse(j *model.Job) jobResponse {
	return jobResponse{
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

// jobFactor is what a byte of a job holds while it is decoded: the decoder's buffer, which
// doubles as it grows, and the job.
const jobFactor = 4

// jobBytes returns the length of a job's body, at most.
func (s *Server) jobBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return s.limits.JobBytes
	}
	return min(r.ContentLength, s.limits.JobBytes)
}

// submitJob serves POST /jobs.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id string) {
	setReadDeadline(w, time.Now().Add(s.limits.BodyTimeout))
	if f := intakeFailure(intake.Reserve(r, jobFactor*s.jobBytes(r))); f != nil {
		s.writeFailure(w, id, f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.limits.DefaultTimeout)
	defer cancel()
	spec, f := s.decodeJob(http.MaxBytesReader(w, r.Body, s.limits.JobBytes), r.Header)
	setReadDeadline(w, time.Time{})
	if f != nil && f.byManifest {
		f = s.recheckJob(ctx, &spec)
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
		s.writeFailure(w, id, proposalFailure(err, "sending the job again under id "+string(spec.ID)+" is safe"))
	case result.Refused != "":
		s.writeFailure(w, id, refuse(http.StatusConflict, string(result.Refused)))
	case result.Job == nil:
		s.writeFailure(w, id, refuse(http.StatusConflict, "the job was not accepted"))
	default:
		s.writeJSON(w, id, http.StatusAccepted, model.Ran, newJobResponse(result.Job))
	}
}

// proposalFailure turns an error of the control log into a failure with a
// verdict.
func proposalFailure(err error, advice string) *failure {
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

// decodeJob decodes and validates a job. Its failures are all not-run, except
// one with byManifest set: the job may have been accepted before the manifest
// changed.
func (s *Server) decodeJob(from io.Reader, h http.Header) (model.JobSpec, *failure) {
	var in jobRequest
	d := json.NewDecoder(from)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		if f := intakeFailure(err); f != nil {
			return model.JobSpec{}, f
		}
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
	hasID := in.ID != ""
	if !hasID {
		in.ID = uuid.NewString()
	}
	spec, f := in.spec()
	if f != nil {
		return spec, f
	}
	f = validateAgainstManifest(&spec, s.currentSite())
	if f != nil {
		f.byManifest = hasID
	}
	return spec, f
}

// recheckJob validates a job that the manifest refuses once more, against the
// newest state: it may have been accepted before its pool or team was dropped.
// A caller that gets not-run for such a job would submit it elsewhere, and it
// would run twice. The control log distinguishes a resend from another job with
// the same ID.
func (s *Server) recheckJob(ctx context.Context, spec *model.JobSpec) *failure {
	if s.confirm(ctx) != nil {
		return proposalFailure(state.ErrOutcomeUnknown, "sending the job again under id "+string(spec.ID)+" is safe")
	}
	view := s.Log.View()
	if view.Jobs[spec.ID] != nil {
		return nil
	}
	return validateAgainstManifest(spec, view.Site)
}

func (in *jobRequest) spec() (model.JobSpec, *failure) {
	priority, ok := model.ParsePriority(in.Priority)
	if !ok && in.Priority != "" {
		return model.JobSpec{}, invalidJob("priority", "allowed are urgent, normal and batch")
	}
	runtime, f := parseRuntime(in.Runtime)
	if f != nil {
		return model.JobSpec{}, f
	}
	if f := in.validate(); f != nil {
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

func invalidJob(key, message string) *failure {
	return refuse(http.StatusBadRequest, key+": "+message)
}

func parseRuntime(text string) (time.Duration, *failure) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, invalidJob("runtime", "must be a duration with a unit, such as 90m")
	}
	return d, nil
}

// maxResourceAmount bounds each declared amount, so that sums can't overflow.
const maxResourceAmount = 1 << 40

// validate checks what does not depend on the manifest.
func (in *jobRequest) validate() *failure {
	if _, ok := validKey(in.ID); !ok {
		return invalidJob("id", "must have 1 to 128 printable ASCII characters without spaces or slashes")
	}
	if len(in.Kind) > maxKeyBytes {
		return invalidJob("kind", fmt.Sprintf("must have at most %d bytes", maxKeyBytes))
	}
	if f := in.validateAmounts(); f != nil {
		return f
	}
	if in.MilliCPU == 0 && in.MemoryMB == 0 && in.Accelerators == 0 {
		return invalidJob("milli_cpu", "a job must declare processors, memory or accelerators")
	}
	return nil
}

// validateAgainstManifest checks that the manifest has the job's pool and team.
func validateAgainstManifest(spec *model.JobSpec, site *model.Site) *failure {
	if site == nil {
		return overloaded("no manifest is in force yet", time.Second)
	}
	if !slices.ContainsFunc(site.Pools, func(p model.Pool) bool { return p.ID == spec.Pool }) {
		return invalidJob("pool", "allowed are "+strings.Join(poolNames(site), ", "))
	}
	if spec.Team != "" && !knownTeam(site, spec.Team) {
		return invalidJob("team", "allowed are "+strings.Join(teamNames(site), ", "))
	}
	return nil
}

func (in *jobRequest) validateAmounts() *failure {
	for _, amount := range []struct {
		key   string
		value int64
	}{{"milli_cpu", in.MilliCPU}, {"memory_mb", in.MemoryMB}, {"accelerators", in.Accelerators}} {
		if amount.value < 0 || amount.value > maxResourceAmount {
			return invalidJob(amount.key, "must be an amount of at least 0")
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
	s.writeJSON(w, id, http.StatusOK, model.Ran, newJobResponse(job))
}

// findJob returns a job of the applied state. If it is not there, findJob waits
// until everything committed before is applied and looks once more, since
// another entry VM may have accepted it.
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
