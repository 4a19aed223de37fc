package operator

import (
	"encoding/json"
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The headers of the response to GET /manifest.
const (
	// RevisionHeader carries the revision in force.
	RevisionHeader = "Comfreyloom-Revision"
	// DigestHeader carries the hex SHA-256 of the manifest in force.
	DigestHeader = "Comfreyloom-Digest"
	// IndexHeader carries the index at which it was accepted.
	IndexHeader = "Comfreyloom-Index"
)

// Failure is the body of the response to a request that was refused or whose
// outcome is unknown.
type Failure struct {
	Message string `json:"message"`
	// Problems lists all problems of a manifest.
	Problems []manifest.Problem `json:"problems,omitempty"`
	// Text holds the problems as plain text, one per line.
	Text string `json:"text,omitempty"`
}

// ManifestResponse is the body of the response to a manifest whose outcome is known.
type ManifestResponse struct {
	// Outcome is accepted, already, conflict or stale.
	Outcome string `json:"outcome"`
	Message string `json:"message"`
	// Revision, Digest and Index are those of the manifest in force.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Index    uint64 `json:"index"`
	// InForce reports, after ?wait, whether every VM has applied it; Behind
	// lists those that have not.
	InForce *bool          `json:"in_force,omitempty"`
	Behind  []model.NodeID `json:"behind,omitempty"`
}

// respond writes body as JSON with the verdict of the request.
func respond(w http.ResponseWriter, status int, verdict model.Verdict, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(model.VerdictHeader, verdict.String())
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // a disconnected peer can't be sent an error
}

// respondError responds to a request that changed nothing.
func respondError(w http.ResponseWriter, status int, message string) {
	respond(w, status, model.NotRun, Failure{Message: message})
}
