package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

func verdict(w *httptest.ResponseRecorder) string { return w.Header().Get(model.VerdictHeader) }

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var body T
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatalf("%v: %s", err, w.Body)
	}
	return body
}

func TestManifestIsAcceptedAndShown(t *testing.T) {
	is := is.New(t)
	h := newHandler(newFakeLog(), "n7")
	is.Equal(send(h, "GET", "/manifest", "").Code, http.StatusNotFound)

	w := send(h, "PUT", "/manifest?wait=1ms", exampleManifest(t, 1))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(verdict(w), "ran")
	body := decode[ManifestResponse](t, w)
	is.Equal(body.Outcome, "accepted")
	is.Equal(*body.InForce, false)
	is.Equal(body.Behind, []model.NodeID{"n7"}) // lists the VMs that have not applied it

	w = send(h, "GET", "/manifest", "")
	is.Equal(w.Body.String(), exampleManifest(t, 1))
	is.Equal(w.Header().Get(DigestHeader), manifest.Digest([]byte(exampleManifest(t, 1))))
	page := decode[audit.Page](t, send(h, "GET", "/audit", ""))
	is.Equal(len(page.Records), 1)
	is.True(strings.HasPrefix(page.Records[0].Actor, "pipeline@"))
	is.Equal(send(h, "GET", "/metrics", "").Code, http.StatusOK)
}

// Several operators send different manifests with the same revision at the same
// time, and the one that was accepted sends it again. The log must decide for
// one of them; otherwise two operators would each believe that their manifest is
// in force.
func TestOperatorsRaceWithOneRevision(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	h := newHandler(l)
	const operators = 8
	responses := make([]*httptest.ResponseRecorder, operators)
	var wg conc.WaitGroup
	for i := range operators {
		wg.Go(func() {
			own := exampleManifest(t, 2) + fmt.Sprintf("\n# by operator %d\n", i)
			responses[i] = send(h, "PUT", "/manifest", own)
			if responses[i].Code == http.StatusOK {
				responses[i] = send(h, "PUT", "/manifest", own)
			}
		})
	}
	wg.Wait()
	accepted := 0
	for _, w := range responses {
		body := decode[ManifestResponse](t, w)
		is.Equal(body.Digest, l.View().ManifestDigest) // every response names the manifest in force
		if w.Code == http.StatusOK {
			accepted++
			is.Equal(body.Outcome, "already")
			continue
		}
		is.Equal(w.Code, http.StatusConflict)
		is.Equal(body.Outcome, "conflict")
		is.Equal(verdict(w), "not-run")
	}
	is.Equal(accepted, 1)
	is.Equal(l.Violations(), nil)
}

// The response to an accepted manifest is lost, a later revision is accepted, and
// the operator sends the first one again. It must be reported as accepted before,
// which fails when only the manifest in force is remembered.
func TestResendAfterLostResponse(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	h := newHandler(l)
	l.errAfterApply = fmt.Errorf("connection reset: %w", state.ErrOutcomeUnknown)
	w := send(h, "PUT", "/manifest", exampleManifest(t, 1))
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(verdict(w), "may-have-run")
	is.True(strings.Contains(decode[Failure](t, w).Message, "again is safe"))

	l.errAfterApply = nil
	is.Equal(decode[ManifestResponse](t, send(h, "PUT", "/manifest", exampleManifest(t, 1))).Outcome, "already")
	is.Equal(send(h, "PUT", "/manifest", exampleManifest(t, 3)).Code, http.StatusOK)
	again := decode[ManifestResponse](t, send(h, "PUT", "/manifest", exampleManifest(t, 1)))
	is.Equal(again.Outcome, "already")
	is.Equal(again.Revision, uint64(3)) // the revision that replaced it
	w = send(h, "PUT", "/manifest", exampleManifest(t, 2))
	is.Equal(w.Code, http.StatusConflict)
	is.Equal(decode[ManifestResponse](t, w).Outcome, "stale")
}

func TestRefusalsChangeNothing(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	h := newHandler(l)
	is.Equal(send(h, "PUT", "/manifest", exampleManifest(t, 1)).Code, http.StatusOK)
	before := l.View().Digest

	l.errBeforeApply = state.ErrNotProposed
	w := send(h, "PUT", "/manifest", exampleManifest(t, 2))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "2")
	is.Equal(verdict(w), "not-run")
	l.errBeforeApply = nil

	cases := []struct {
		method, target, body string
		status               int
	}{
		{"PUT", "/manifest", "revision = 2", 400},
		{"PUT", "/manifest", strings.Replace(exampleManifest(t, 2), "port-klang", "kapljica", 1), 400},
		{"PUT", "/manifest", strings.Repeat("#", 2<<20), 413},
		{"PUT", "/manifest?wait=10", exampleManifest(t, 2), 400},
		{"PUT", "/manifest?wait=1h", exampleManifest(t, 2), 400},
		{"POST", "/manifest", "", 405},
		{"GET", "/audit?from=-1", "", 400},
		{"GET", "/audit?limit=0", "", 400},
		{"GET", "/jobs?limit=x", "", 400},
		{"GET", "/nothing", "", 404},
	}
	for _, c := range cases {
		w := send(h, c.method, c.target, c.body)
		is.Equal(w.Code, c.status)
		is.Equal(verdict(w), "not-run")
		is.True(decode[Failure](t, w).Message != "")
	}
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("PUT", "/manifest", strings.NewReader(exampleManifest(t, 2))))
	is.Equal(w.Code, http.StatusUnauthorized)
	is.Equal(l.View().Digest, before)
}

func TestAuditFollowWaitsForTheNextRecord(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	h := newHandler(l)
	var wg conc.WaitGroup
	var page audit.Page
	wg.Go(func() { page = decode[audit.Page](t, send(h, "GET", "/audit?from=1&follow=60s", "")) })
	is.Equal(send(h, "PUT", "/manifest", exampleManifest(t, 1)).Code, http.StatusOK)
	wg.Wait()
	is.Equal(len(page.Records), 1)
	is.Equal(page.Next, uint64(2))
	// A client that disconnects ends the wait.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r := httptest.NewRequest("GET", "/audit?from=2&follow=60s", nil).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer good")
	h.ServeHTTP(httptest.NewRecorder(), r)
}

func TestStatusGivesReasons(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	h := newHandler(l)
	is.Equal(send(h, "GET", "/status", "").Code, http.StatusOK) // before the first manifest
	send(h, "PUT", "/manifest", exampleManifest(t, 1))
	_, err := l.Propose(t.Context(), state.Command{ID: "p", Term: 1, At: 5, Plan: &state.Plan{Actions: []state.Action{
		{Reason: "pool berths is below min_vms", BeginMove: &state.BeginMove{VM: "v1", Target: "berths"}},
		{BeginMove: &state.BeginMove{VM: "v2"}},
	}}})
	is.NoErr(err)
	_, err = l.Propose(t.Context(), state.Command{ID: "j", At: 5, SubmitJob: &state.SubmitJob{
		Spec: model.JobSpec{ID: "j1", Team: "offices", Pool: "overnight", Priority: model.Urgent},
	}})
	is.NoErr(err)

	status := decode[Status](t, send(h, "GET", "/status", ""))
	is.Equal(status.Leader, model.NodeID("n1"))
	is.Equal(status.VMs[0].Reason, "pool berths is below min_vms")
	is.Equal(status.Pools[0].VMs, 1)
	is.Equal(status.Pools[3].VMs, 1) // the spares come last
	is.Equal(status.Jobs.Waiting[0].Reason, "waits for its first placement")
	is.Equal(len(status.Budgets), 5)
	is.Equal(status.Waves[0].State, "scheduled")
	is.Equal(status.Waves[0].Waiting, 1)
	is.Equal(status.Violations, []state.Violation{})
	table := send(h, "GET", "/status?format=text", "").Body.String()
	is.True(strings.Contains(table, "pool berths is below min_vms"))
	is.Equal(decode[JobList](t, send(h, "GET", "/jobs?team=offices", "")).Total, 1)
	is.Equal(decode[JobList](t, send(h, "GET", "/jobs?team=planners", "")).Total, 0)
}

// Any body gets a response with a verdict, and changes the manifest in force only
// when the response reports success.
func FuzzPutManifest(f *testing.F) {
	f.Add([]byte("[site]\nname = port-klang\nrevision = 1\n"))
	f.Add([]byte(exampleManifest(f, 1)))
	l := newFakeLog()
	h := newHandler(l)
	f.Fuzz(func(t *testing.T, body []byte) {
		before := l.View().ManifestDigest
		w := send(h, "PUT", "/manifest", string(body))
		if w.Code != http.StatusOK && (verdict(w) != "not-run" || l.View().ManifestDigest != before) {
			t.Fatalf("status %d, verdict %s", w.Code, verdict(w))
		}
		if w.Code >= 500 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}

// Accepted queries of GET /audit hold numbers and durations within their bounds.
func FuzzAuditQuery(f *testing.F) {
	f.Add("from=1&limit=2&follow=1s")
	f.Fuzz(func(t *testing.T, query string) {
		r := httptest.NewRequest("GET", "/audit", nil)
		r.URL.RawQuery = query
		q, err := parseAuditQuery(r)
		if err == nil && (q.limit < 1 || q.limit > audit.MaxRead || q.follow < 0 || q.follow > time.Hour) {
			t.Fatalf("%+v", q)
		}
	})
}

// A VM that lost its disk catches up while a status is built: revision 4 is
// applied and the VM becomes ready after the tables were read but before its
// readiness is. The status would then show the VM ready with revision 3 after it
// was seen with 4, so readiness must be read first.
func TestStatusDuringCatchUp(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	apply := func(revision uint64) {
		digest := sha256.Sum256([]byte{byte(revision)})
		_, err := l.Propose(t.Context(), state.Command{
			ID: model.CommandID(fmt.Sprint("manifest-", revision)),
			ApplyManifest: &state.ApplyManifest{
				Revision: revision, Digest: hex.EncodeToString(digest[:]), Text: []byte{byte(revision)},
				Site: &model.Site{Name: "port-klang", Revision: revision},
			},
		})
		is.NoErr(err)
	}
	apply(3)
	ready := func() []NodeStatus {
		apply(4)
		return []NodeStatus{{Node: "n1", Ready: true}}
	}
	h := New(Config{Site: "port-klang", Log: l, Authorizer: fakeAuthorizer{}, Sources: Sources{Nodes: ready}, Clock: time.Now})
	status := decode[Status](t, send(h, "GET", "/status", ""))
	is.True(status.Nodes[0].Ready)
	is.Equal(status.Revision, uint64(4))
}
