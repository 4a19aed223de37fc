package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// revise accepts the next revision of the site, changed, and waits until the
// entry VMs serve by it.
func (w *world) revise(t *testing.T, change func(*model.Site)) {
	t.Helper()
	site := testSite()
	site.Revision = w.log.View().Site.Revision + 1
	change(site)
	text := []byte(site.Name + string(rune('0'+site.Revision)))
	digest := sha256.Sum256(text)
	_, err := w.log.Propose(context.Background(), state.Command{ID: model.CommandID(text), ApplyManifest: &state.ApplyManifest{
		Revision: site.Revision, Digest: hex.EncodeToString(digest[:]), Text: text, Site: site,
	}})
	must(t, err)
	eventually(t, "the manifest is in force", func() bool {
		for _, e := range w.entries {
			if e.server.currentSite().Revision != site.Revision {
				return false
			}
		}
		return true
	})
}

// Symptom: a caller who sends a request again is told that it was not run, or
// it runs a second time, though it ran.
// Sequence: a keyed request ran and its answer was lost; a manifest drops its
// service or its team, or marks its route as idempotent; the caller resends.
// Cause: the manifest is looked at before the claim of the key.
func TestResendAfterTheManifestChanged(t *testing.T) {
	for name, change := range map[string]func(*model.Site){
		"service removed": func(m *model.Site) { m.Services = nil },
		"service renamed": func(m *model.Site) { m.Services[0].ID = "plans" },
		"team removed":    func(m *model.Site) { m.Teams = nil },
		"route idempotent": func(m *model.Site) {
			m.Services[0].Routes = []model.Route{{Method: "*", Prefix: "/", Idempotent: true}}
		},
		"shorter queue":      func(m *model.Site) { m.Services[0].QueueLimit = 1 },
		"timeout of service": func(m *model.Site) { m.Services[0].Timeout = time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, 2, Limits{})
			headers := []string{"Idempotency-Key: k", "Comfreyloom-Team: planners"}
			first, err := w.entries[0].call("POST", "/s/drafts/plan", "grain", headers...)
			is.NoErr(err)
			is.Equal(first.verdict, "ran")
			eventually(t, "the answer is kept", func() bool { c := w.log.Claim("k"); return c != nil && c.Answer != nil })
			w.revise(t, change)
			for _, e := range w.entries {
				again, err := e.call("POST", "/s/drafts/plan", "grain", headers...)
				is.NoErr(err)
				is.Equal(again.verdict, "ran")
				is.Equal(again.body, first.body)
			}
			is.Equal(w.runs("k"), 1)
		})
	}
}

// Symptom: a caller is told that a job was not run, though it ran.
// Sequence: a job is accepted and the answer lost; a manifest drops its pool or
// team; the caller sends the job again.
// Cause: the manifest is looked at before the job's ID.
func TestJobResentAfterTheManifestChanged(t *testing.T) {
	for name, change := range map[string]func(*model.Site){
		"pool": func(m *model.Site) { m.Pools[0].ID = "other" },
		"team": func(m *model.Site) { m.Teams = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 0, 2, Limits{})
			_, err := w.entries[0].call("POST", "/jobs", goodJob)
			is.NoErr(err)
			w.revise(t, change)
			again, err := w.entries[1].call("POST", "/jobs", goodJob)
			is.NoErr(err)
			is.Equal(again.status, 202)
			is.Equal(again.verdict, "ran")
			fresh, err := w.entries[1].call("POST", "/jobs", strings.Replace(goodJob, "j1", "j2", 1))
			is.NoErr(err)
			is.Equal(fresh.status, 400)
			is.Equal(fresh.verdict, "not-run")
			is.True(strings.Contains(fresh.body, name+": allowed are"))
			unknown, err := w.entries[1].call("GET", "/jobs/j2", "")
			is.NoErr(err)
			is.Equal(unknown.status, 404)
		})
	}
}
