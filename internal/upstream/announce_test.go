package upstream_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

const goodAnnouncement = `{"address":"10.0.0.7:8080","vm":"vm-7","availability_zone":"az-1",` +
	`"incarnation":3,"sequence":1,"slots":8,"connections":64,"state":"serving"}`

// oneToken accepts a single token.
type oneToken string

func (o oneToken) Authorize(r *http.Request) (string, error) {
	if r.Header.Get("Authorization") != "Bearer "+string(o) {
		return "", errors.New("no")
	}
	return "upstream", nil
}

func newHandler(known *registry.Registry, l upstream.RateLimits) http.Handler {
	return upstream.NewHandler(upstream.HandlerConfig{
		Announcer: known, Authorizer: oneToken("t"), Limits: l, Metrics: metrics.NewRegistry(),
		Now: func() time.Time { return time.UnixMilli(1_000_000) },
	})
}

func put(h http.Handler, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("PUT", path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer t")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestBadAnnouncementsNameTheKey(t *testing.T) {
	is := is.New(t)
	known := registry.New(registry.Options{})
	h := newHandler(known, upstream.RateLimits{})
	for _, bad := range []struct{ old, new, key string }{
		{"10.0.0.7:8080", "upstream.example:8080", "address"},
		{"10.0.0.7:8080", "0.0.0.0:8080", "address"},
		{"10.0.0.7:8080", "10.0.0.7:0", "address"},
		{`"vm-7"`, `""`, "vm"},
		{`"az-1"`, `"a b"`, "availability_zone"},
		{`"incarnation":3`, `"incarnation":0`, "incarnation"},
		{`"incarnation":3`, `"incarnation":-3`, "incarnation"},
		{`"sequence":1`, `"sequence":0`, "sequence"},
		{`"slots":8`, `"slots":0`, "slots"},
		{`"connections":64`, `"connections":99999999`, "connections"},
		{`"serving"`, `"resting"`, "state"},
		{`"slots":8`, `"slot":8`, "slot"},
		{`"slots":8`, `"slots":"8"`, "slots"},
		{`"serving"}`, `"serving"}{}`, "one JSON"},
	} {
		w := put(h, "/upstreams/drafts/i1", strings.Replace(goodAnnouncement, bad.old, bad.new, 1))
		is.Equal(w.Code, 400)
		is.True(strings.Contains(w.Body.String(), bad.key)) // the key at fault is named
	}
	is.Equal(put(h, "/upstreams/drafts/i%20x", goodAnnouncement).Code, 400)
	is.Equal(put(h, "/upstreams/drafts/i1", goodAnnouncement+strings.Repeat(" ", 10_000)).Code, 413)
	is.Equal(put(h, "/upstreams/drafts/i1", goodAnnouncement, "Authorization", "Bearer u").Code, 401)
	is.Equal(len(known.All()), 0) // nothing was registered
}

func TestAnnouncementsAreRegisteredInOrder(t *testing.T) {
	is := is.New(t)
	known := registry.New(registry.Options{})
	h := newHandler(known, upstream.RateLimits{PerSecond: 1, Burst: 4})
	w := put(h, "/upstreams/drafts/i1", goodAnnouncement)
	is.Equal(w.Code, 200)
	var body struct {
		RenewAfter string `json:"renew_after"`
	}
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
	renew, err := time.ParseDuration(body.RenewAfter)
	is.NoErr(err)
	is.True(renew > 0)
	got, ok := known.Get("drafts", "i1")
	is.True(ok)
	is.Equal(got.VM, model.VMID("vm-7"))

	stale := strings.Replace(goodAnnouncement, `"incarnation":3`, `"incarnation":2`, 1)
	is.Equal(put(h, "/upstreams/drafts/i1", stale).Code, 409)
	r := httptest.NewRequest("DELETE", "/upstreams/drafts/i1?incarnation=3", nil)
	r.Header.Set("Authorization", "Bearer t")
	w = httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Code, 200)
	is.Equal(len(known.Serving("drafts")), 0)

	// An upstream that announces in a loop must not keep others from announcing.
	is.True(put(h, "/upstreams/drafts/i1", stale).Code != 429)
	is.Equal(put(h, "/upstreams/drafts/i1", stale).Code, 429)
	r = httptest.NewRequest("PUT", "/upstreams/drafts/i2", strings.NewReader(goodAnnouncement))
	r.RemoteAddr = "10.9.9.9:1"
	r.Header.Set("Authorization", "Bearer t")
	w = httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Code, 200) // another address isn't limited
}

func TestStandinAnnouncesAndLeaves(t *testing.T) {
	is := is.New(t)
	known := registry.New(registry.Options{})
	server := httptest.NewServer(newHandler(known, upstream.RateLimits{}))
	defer server.Close()
	u := newStandin(t, standin.Options{
		Service: "drafts", Instance: "i1", VM: "vm-1", AvailabilityZone: "az-1", Token: "t", Announce: []string{server.URL},
	})
	is.NoErr(u.Announce(t.Context()))
	is.Equal(known.Serving("drafts")[0].Address, u.Address())
	is.NoErr(u.Leave(t.Context()))
	is.Equal(len(known.Serving("drafts")), 0)
	is.NoErr(u.Withdraw(t.Context()))
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(goodAnnouncement), "drafts", "i1")
	f.Add([]byte(`{"address":"[::1%eth0]:80"}`), "a/b", "")
	f.Fuzz(func(t *testing.T, body []byte, service, instance string) {
		a, err := upstream.DecodeAnnouncement(bytes.NewReader(body))
		if err != nil {
			return
		}
		u, err := a.Upstream(service, instance)
		if err != nil {
			return
		}
		if _, err := registry.New(registry.Options{}).Announce(u, 0); err != nil {
			t.Errorf("%+v passed the validation but the registry refuses it: %v", u, err)
		}
	})
}
