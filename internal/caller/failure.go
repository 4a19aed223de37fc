package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// failure is the verdict of a request that got no response from an upstream. It
// is the error type of the request path.
type failure struct {
	// status is the HTTP status of the response.
	status int
	// verdict reports whether the request may have run.
	verdict model.Verdict
	// message is the explanation for the caller.
	message string
	// header names the invalid request header; empty if there is none.
	header string
	// allowed lists the values that would have been accepted.
	allowed []string
	// retryAfter is when the caller should retry; 0 sets no header.
	retryAfter time.Duration
	// callerDisconnected reports that the caller disconnected and reads no response.
	callerDisconnected bool
	// final reports that a retry would not help.
	final bool
	// byManifest reports that a job with an ID was refused because the
	// manifest lacks its pool or team.
	byManifest bool
}

// Error returns the verdict and the message.
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

// overloaded returns a failure that asks the caller to retry later.
func overloaded(message string, after time.Duration) *failure {
	return &failure{
		status:     http.StatusServiceUnavailable,
		verdict:    model.NotRun,
		message:    message,
		retryAfter: max(after, time.Second),
	}
}

// errorBody is the body of every error response.
type errorBody struct {
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
	s.writeJSON(w, id, f.status, f.verdict, errorBody{
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
	s.setStandardHeaders(h, id, v)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// setStandardHeaders sets the headers that every response carries.
func (s *Server) setStandardHeaders(h http.Header, id string, v model.Verdict) {
	h.Set(model.VerdictHeader, v.String())
	h.Set(upstream.RequestIDHeader, id)
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
}

func tooLarge(limit int64) *failure {
	return refuse(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}
