package caller

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequestIsAnsweredWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1, Limits{})
	e := w.entries[0]

	got, err := e.call("POST", "/s/drafts/search?q=1", "grain")
	is.NoErr(err)
	is.Equal(got.status, 200)
	is.Equal(got.verdict, "ran")
	is.True(strings.HasSuffix(got.body, " POST /search?q=1 grain"))
	is.True(got.header.Get("Comfreyloom-Request-Id") != "")

	large, err := e.call("GET", "/s/drafts/big?bytes=300000", "")
	is.NoErr(err)
	is.Equal(len(large.body), 300000)
	eventually(t, "slots are given back", func() bool {
		w.broker.mu.Lock()
		defer w.broker.mu.Unlock()
		return w.broker.held == 0
	})
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, Limits{})
	first, err := w.entries[0].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(first.verdict, "ran")
	eventually(t, "the answer is kept", func() bool {
		c := w.log.Claim("k1")
		return c != nil && c.Answer != nil
	})
	again, err := w.entries[1].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(again.body, first.body)
	is.Equal(again.header.Get("Comfreyloom-Kept"), "true")
	late, err := w.entries[1].call("GET", "/requests/k1", "")
	is.NoErr(err)
	is.Equal(late.body, first.body)
	other, err := w.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(other.status, 422)
	is.Equal(other.verdict, "not-run")
	is.Equal(w.instances[0].Runs("k1")+w.instances[1].Runs("k1"), 1)
}
