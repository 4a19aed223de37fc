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

// applyManifest applies the next revision of the site with a change, and waits
// until the entry VMs use it.
func (cl *cluster) applyManifest(t *testing.T, change func(*model.Site)) {
	t.Helper()
	site := testSite()
	site.Revision = cl.log.View().Site.Revision + 1
	change(site)
	text := []byte(site.Name + string(rune('0'+site.Revision)))
	digest := sha256.Sum256(text)
	_, err := cl.log.Propose(context.Background(), state.Command{ID: model.CommandID(text), ApplyManifest: &state.ApplyManifest{
		Revision: site.Revision, Digest: hex.EncodeToString(digest[:]), Text: text, Site: site,
	}})
	must(t, err)
	eventually(t, "the manifest is in force", func() bool {
		for _, e := range cl.entries {
			if e.server.currentSite().Revision != site.Revision {
				return false
			}
		}
		return true
	})
}

// A keyed request ran and its response was lost; a manifest then drops its
// service or its team, or marks its route as idempotent, and the caller resends.
// If the manifest were checked before the claim of the key, the caller would get
// not-run, or the request would run a second time.
func TestResendAfterManifestChange(t *testing.T) {
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
			cl := newCluster(t, 1, 2, Limits{})
			headers := []string{"Idempotency-Key: k", "Comfreyloom-Team: planners"}
			first, err := cl.entries[0].call("POST", "/s/drafts/plan", "grain", headers...)
			is.NoErr(err)
			is.Equal(first.verdict, "ran")
			eventually(t, "the response is stored", func() bool { c := cl.log.Claim("k"); return c != nil && c.Answer != nil })
			cl.applyManifest(t, change)
			for _, e := range cl.entries {
				again, err := e.call("POST", "/s/drafts/plan", "grain", headers...)
				is.NoErr(err)
				is.Equal(again.verdict, "ran")
				is.Equal(again.body, first.body)
			}
			is.Equal(cl.runs("k"), 1)
		})
	}
}

// A job is accepted and the response lost; a manifest then drops its pool or
// team, and the caller submits the job again. If the manifest were checked
// before the job's ID, the caller would get not-run, although the job ran.
func TestJobResendAfterManifestChange(t *testing.T) {
	for name, change := range map[string]func(*model.Site){
		"pool": func(m *model.Site) { m.Pools[0].ID = "other" },
		"team": func(m *model.Site) { m.Teams = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 0, 2, Limits{})
			_, err := cl.entries[0].call("POST", "/jobs", goodJob)
			is.NoErr(err)
			cl.applyManifest(t, change)
			again, err := cl.entries[1].call("POST", "/jobs", goodJob)
			is.NoErr(err)
			is.Equal(again.status, 202)
			is.Equal(again.verdict, "ran")
			fresh, err := cl.entries[1].call("POST", "/jobs", strings.Replace(goodJob, "j1", "j2", 1))
			is.NoErr(err)
			is.Equal(fresh.status, 400)
			is.Equal(fresh.verdict, "not-run")
			is.True(strings.Contains(fresh.body, name+": allowed are"))
			unknown, err := cl.entries[1].call("GET", "/jobs/j2", "")
			is.NoErr(err)
			is.Equal(unknown.status, 404)
		})
	}
}
