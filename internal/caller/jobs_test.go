package caller

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const goodJob = `{"id":"j1","team":"planners","pool":"drafting","kind":"reconcile","milli_cpu":500,"runtime":"90m"}`

func TestJobIsTakenOnceAndCancelled(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 2, Limits{})
	for _, e := range w.entries { // the resend goes through another entry VM
		got, err := e.call("POST", "/jobs", goodJob)
		is.NoErr(err)
		is.Equal(got.status, 202)
		is.Equal(got.verdict, "ran")
		is.True(strings.Contains(got.body, `"state":"queued"`))
	}
	is.Equal(len(w.log.View().Jobs), 1)
	other, err := w.entries[0].call("POST", "/jobs", strings.Replace(goodJob, "500", "900", 1))
	is.NoErr(err)
	is.Equal(other.status, 409) // the id with another job
	is.Equal(other.verdict, "not-run")
	got, err := w.entries[1].call("DELETE", "/jobs/j1", "")
	is.NoErr(err)
	is.Equal(got.status, 200)
	got, err = w.entries[0].call("GET", "/jobs/j1", "")
	is.NoErr(err)
	is.True(strings.Contains(got.body, `"state":"cancelled"`))
}

func TestBadJobsNameTheKey(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 1, Limits{})
	for _, bad := range []struct{ old, new, want string }{
		{`"drafting"`, `"elsewhere"`, "pool: allowed are drafting"},
		{`"planners"`, `"strangers"`, "team: allowed are planners"},
		{`"90m"`, `"90"`, "runtime"},
		{`500`, `-1`, "milli_cpu"},
		{`500`, `0`, "declare"},
		{`"kind"`, `"sort"`, `unknown field \"sort\"`},
		{`"j1"`, `"a/b"`, "id"},
		{`"reconcile"`, `"x","priority":"soon"`, "urgent"},
		{`"90m"}`, `"90m"} 1`, "more than one"},
	} {
		got, err := w.entries[0].call("POST", "/jobs", strings.Replace(goodJob, bad.old, bad.new, 1))
		is.NoErr(err)
		is.Equal(got.status, 400)
		is.Equal(got.verdict, "not-run")
		is.True(strings.Contains(got.body, bad.want))
	}
	is.Equal(len(w.log.View().Jobs), 0)
}

// Symptom: the control log is busy for minutes with one wave of cancellations.
// Sequence: hundreds of callers cancel their jobs while one command commits.
// Cause: a command for each of them.
func TestCancellationsGoTogether(t *testing.T) {
	is := is.New(t)
	const jobs = 200
	w := newWorld(t, 0, 1, Limits{})
	for i := range jobs {
		got, err := w.entries[0].call("POST", "/jobs", strings.Replace(goodJob, "j1", fmt.Sprint("j", i), 1))
		is.NoErr(err)
		is.Equal(got.status, 202)
	}
	release := make(chan struct{})
	letGo := sync.OnceFunc(func() { close(release) })
	t.Cleanup(letGo) // a failure must not leave the duty waiting
	var commands atomic.Int64
	w.log.onCommand(&w.log.before, func(c state.Command) bool { return c.CancelJobs != nil }, func() error {
		commands.Add(1)
		<-release
		return nil
	})
	var all sync.WaitGroup
	cancel := func(i int) {
		all.Go(func() {
			got, err := w.entries[0].call("DELETE", fmt.Sprint("/jobs/j", i), "")
			is.NoErr(err)
			is.True(strings.Contains(got.body, `"state":"cancelled"`))
		})
	}
	cancel(0)
	eventually(t, "the first command commits", func() bool { return commands.Load() == 1 })
	for i := 1; i < jobs; i++ {
		cancel(i)
	}
	eventually(t, "the wave waits", func() bool { return w.entries[0].server.cancels.Len() == jobs-1 })
	letGo()
	all.Wait()
	is.Equal(commands.Load(), int64(2))
}

// FuzzRequest feeds the decoders of a request's path and headers.
func FuzzRequest(f *testing.F) {
	f.Add("/s/drafts/plans?x=1", "k", "true", "urgent", "5s", "planners")
	f.Add("/s/%2e%2e//..%2f/%00", "", "maybe", "", "1e9h", "")
	s := &Server{limits: Limits{}.withDefaults()}
	s.Log = &sharedLog{machine: state.NewMachine(state.Options{})}
	site := testSite()
	f.Fuzz(func(t *testing.T, path, key, mark, priority, timeout, team string) {
		u, err := url.ParseRequestURI(path)
		if err != nil || !strings.HasPrefix(u.Path, servicePrefix) {
			return
		}
		_, target, failed := splitPath(u)
		if failed == nil && (hasDotSegment(target.Path) || !strings.HasPrefix(target.RequestURI(), "/")) {
			t.Errorf("%q is passed on as %q", path, target.RequestURI())
		}
		h := http.Header{headerKey: {key}, headerIdempotent: {mark}, headerPriority: {priority}, headerTimeout: {timeout}, headerTeam: {team}}
		o, failed := s.parseOptions(h, site, &site.Services[0])
		if failed != nil {
			if failed.verdict != model.NotRun || failed.header == "" {
				t.Errorf("%v names no header", failed)
			}
			return
		}
		if o.timeout < s.limits.MinTimeout || o.timeout > s.limits.MaxTimeout || len(o.key) > maxKeyBytes {
			t.Errorf("%+v is beyond the limits", o)
		}
	})
}

// FuzzJob feeds the decoder of jobs.
func FuzzJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"milli_cpu":1e30}`))
	s := &Server{limits: Limits{}.withDefaults()}
	s.site.site.Store(testSite())
	s.Now = func() time.Time { return time.Time{} }
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, failed := s.decodeJob(strings.NewReader(string(body)), http.Header{})
		if failed == nil && (spec.ID == "" || spec.Pool != "drafting" || spec.Declared.IsZero()) {
			t.Errorf("%q gives %+v", body, spec)
		}
	})
}
