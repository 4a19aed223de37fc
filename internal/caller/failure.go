package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// failure is the verdict of a request that got no answer from an upstream. It
// is the error type of the caller path.
type failure struct {
	// status is the HTTP status of the answer.
	status int
	// verdict says whether the request may have run.
	verdict model.Verdict
	// message is for the caller, in words.
	message string
	// header names the request header at fault; empty when none is.
	header string
	// allowed lists the values that would have been accepted.
	allowed []string
	// retryAfter says when to come back; 0 says nothing.
	retryAfter time.Duration
	// gone says that the caller went away, so that nobody reads the answer.
	gone bool
	// final says that another try would do no better.
	final bool
	// bySite says that a named job was refused for what the manifest lacks.
	bySite bool
}

// Error returns the message with the verdict.
func (f *failure) Error() string { return f.verdict.String() + ": " + f.message }

func refuse(status int, message string) *failure {
	return &failure{status: status, verdict: model.NotRun, message: message}
}

func refuseHeader(header, message string, allowed ...string) *failure {
	return &failure{
		status:  http.StatusBadRequest,
		verdict: model.NotRun,
		message: header + ": " + message,
		header:  header,
		allowed: allowed,
	}
}

// overloaded tells the caller at once when to come back.
func overloaded(message string, after time.Duration) *failure {
	return &failure{
		status:     http.StatusServiceUnavailable,
		verdict:    model.NotRun,
		message:    message,
		retryAfter: max(after, time.Second),
	}
}

// errorAnswer is the body of every error.
type errorAnswer struct {
	Error     string   `json:"error"`
	Verdict   string   `json:"verdict"`
	RequestID string   `json:"request_id"`
	Header    string   `json:"header,omitempty"`
	Allowed   []string `json:"allowed,omitempty"`
}

func (s *Server) writeFailure(w http.ResponseWriter, id string, f *failure) {
	s.counters.failure(f)
	if f.retryAfter > 0 {
		seconds := (f.retryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	s.writeJSON(w, id, f.status, f.verdict, errorAnswer{
		Error:     f.message,
		Verdict:   f.verdict.String(),
		RequestID: id,
		Header:    f.header,
		Allowed:   f.allowed,
	})
}

func (s *Server) writeJSON(w http.ResponseWriter, id string, status int, v model.Verdict, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"answer can't be encoded"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	s.stamp(h, id, v)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// stamp sets the headers that every response carries.
func (s *Server) stamp(h http.Header, id string, v model.Verdict) {
	h.Set(model.VerdictHeader, v.String())
	h.Set(upstream.RequestIDHeader, id)
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
}

func tooLarge(limit int64) *failure {
	return refuse(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}
