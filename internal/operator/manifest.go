package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// manifestFileName is the file name in problems: a manifest sent over HTTP has
// none.
const manifestFileName = "manifest"

// putManifest checks a manifest, proposes it to the control log and responds
// with the outcome.
func (s *server) putManifest(w http.ResponseWriter, r *http.Request, actor string) {
	wait, err := waitParameter(r, "wait")
	if err != nil {
		respondError(w, http.StatusBadRequest, err.Error())
		return
	}
	text, status, err := readBody(w, r)
	if err != nil {
		respondError(w, status, err.Error())
		return
	}
	site, problems := s.parseManifest(text)
	if len(problems) > 0 {
		respondProblems(w, problems)
		return
	}
	result, err := s.propose(r.Context(), actor, text, site)
	if err != nil {
		respondProposeError(w, err)
		return
	}
	if result.Refused != "" || result.Manifest == nil {
		respondError(w, http.StatusConflict, string(result.Refused))
		return
	}
	s.respondManifest(w, r, site.Revision, result.Manifest, wait)
}

// readBody reads the text, at most inifile.MaxSize bytes. The status is the HTTP
// status of the response when it fails.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, inifile.MaxSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the manifest has more than %d bytes", tooLarge.Limit)
	}
	if status := intake.Status(err); status != 0 {
		return nil, status, err
	}
	if err != nil {
		return nil, http.StatusBadRequest, errors.New("the manifest did not arrive whole")
	}
	if err := intake.Reserve(r, parsedBytes(text)); err != nil {
		return nil, intake.Status(err), err
	}
	return text, http.StatusOK, nil
}

// Estimates of what a manifest holds while it is parsed and proposed, in bytes, for each
// byte and for each line of its text: a section or a key.
const (
	bytesPerByte = 8
	bytesPerLine = 1200
)

// parsedBytes returns what a manifest will hold while it is parsed and proposed.
func parsedBytes(text []byte) int64 {
	return bytesPerByte*int64(len(text)) + bytesPerLine*int64(bytes.Count(text, []byte{'\n'}))
}

// parseManifest checks the text and that it belongs to this site: the manifest
// of another site would move every VM.
func (s *server) parseManifest(text []byte) (*model.Site, []manifest.Problem) {
	site, problems := manifest.Parse(manifestFileName, text)
	if len(problems) == 0 && s.Site != "" && site.Name != s.Site {
		message := fmt.Sprintf("is %q; allowed: %s, the site of this VM", site.Name, s.Site)
		problems = []manifest.Problem{{File: manifestFileName, Section: "site", Key: "name", Message: message}}
	}
	return site, problems
}

func respondProblems(w http.ResponseWriter, problems []manifest.Problem) {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	respond(w, http.StatusBadRequest, model.NotRun, Failure{
		Message:  fmt.Sprintf("the manifest has %d problems; nothing changed", len(problems)),
		Problems: problems,
		Text:     strings.Join(lines, "\n"),
	})
}

func (s *server) propose(ctx context.Context, actor string, text []byte, site *model.Site) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.Log.Propose(ctx, state.Command{
		ID:    newCommandID(),
		At:    model.InstantOf(s.Clock()),
		Actor: actor,
		Cause: "manifest handed in",
		ApplyManifest: &state.ApplyManifest{
			Revision: site.Revision,
			Digest:   manifest.Digest(text),
			Text:     text,
			Site:     site,
		},
	})
}

func (s *server) respondManifest(w http.ResponseWriter, r *http.Request, requested uint64, m *state.ManifestResult, wait time.Duration) {
	body := ManifestResponse{Revision: m.Revision, Digest: m.Digest, Index: m.Index}
	switch m.Outcome {
	case state.ManifestConflict:
		body.Outcome = "conflict"
		body.Message = fmt.Sprintf("revision %d is in force with another text, digest %s; nothing changed", m.Revision, m.Digest)
		respond(w, http.StatusConflict, model.NotRun, body)
		return
	case state.ManifestStale:
		body.Outcome = "stale"
		body.Message = fmt.Sprintf("revision %d is in force, digest %s, and revision %d is older; nothing changed", m.Revision, m.Digest, requested)
		respond(w, http.StatusConflict, model.NotRun, body)
		return
	case state.ManifestAlreadyAccepted:
		body.Outcome = "already"
		body.Message = "this manifest was accepted before"
		if m.Revision != requested {
			body.Message = fmt.Sprintf("this manifest was accepted before; revision %d has replaced it since", m.Revision)
		}
	default:
		body.Outcome = "accepted"
		body.Message = "the manifest is accepted"
		s.Logger.WithFields(log.Fields{"revision": m.Revision, "digest": m.Digest}).Info("manifest accepted")
	}
	s.waitInForce(r.Context(), &body, wait)
	respond(w, http.StatusOK, model.Ran, body)
}

// waitInForce waits until every VM has applied the manifest. The manifest stays
// accepted when some have not: they catch up with the log on their own.
func (s *server) waitInForce(ctx context.Context, body *ManifestResponse, wait time.Duration) {
	if wait == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body.Behind = s.InForce.WaitInForce(ctx, body.Index)
	all := len(body.Behind) == 0
	body.InForce = &all
	if !all {
		body.Message += fmt.Sprintf("; %d VMs have not applied it yet and will by themselves", len(body.Behind))
	}
}

// getManifest returns the text in force at this VM.
func (s *server) getManifest(w http.ResponseWriter, _ *http.Request, _ string) {
	view := s.Log.View()
	if view.Site == nil {
		respondError(w, http.StatusNotFound, "no manifest was accepted yet")
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(model.VerdictHeader, model.Ran.String())
	h.Set(RevisionHeader, fmt.Sprint(view.Site.Revision))
	h.Set(DigestHeader, view.ManifestDigest)
	h.Set(IndexHeader, fmt.Sprint(view.ManifestIndex))
	_, _ = w.Write(view.ManifestText) // a disconnected peer can't be sent an error
}
