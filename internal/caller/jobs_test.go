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

func TestJobAcceptedOnceAndCancelled(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 0, 2, Limits{})
	for _, e := range cl.entries { // the resend goes through another entry VM
		got, err := e.call("POST", "/jobs", goodJob)
		is.NoErr(err)
		is.Equal(got.status, 202)
		is.Equal(got.verdict, "ran")
		is.True(strings.Contains(got.body, `"state":"queued"`))
	}
	is.Equal(len(cl.log.View().Jobs), 1)
	other, err := cl.entries[0].call("POST", "/jobs", strings.Replace(goodJob, "500", "900", 1))
	is.NoErr(err)
	is.Equal(other.status, 409) // the same ID with a different job
	is.Equal(other.verdict, "not-run")
	got, err := cl.entries[1].call("DELETE", "/jobs/j1", "")
	is.NoErr(err)
	is.Equal(got.status, 200)
	got, err = cl.entries[0].call("GET", "/jobs/j1", "")
	is.NoErr(err)
	is.True(strings.Contains(got.body, `"state":"cancelled"`))
}

func TestInvalidJobNamesTheKey(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 0, 1, Limits{})
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
		got, err := cl.entries[0].call("POST", "/jobs", strings.Replace(goodJob, bad.old, bad.new, 1))
		is.NoErr(err)
		is.Equal(got.status, 400)
		is.Equal(got.verdict, "not-run")
		is.True(strings.Contains(got.body, bad.want))
	}
	is.Equal(len(cl.log.View().Jobs), 0)
}

// Hundreds of callers cancel their jobs while one command is being committed. A
// command for each of them would keep the control log busy for minutes.
func TestCancellationsAreBatched(t *testing.T) {
	is := is.New(t)
	const jobs = 200
	cl := newCluster(t, 0, 1, Limits{})
	for i := range jobs {
		got, err := cl.entries[0].call("POST", "/jobs", strings.Replace(goodJob, "j1", fmt.Sprint("j", i), 1))
		is.NoErr(err)
		is.Equal(got.status, 202)
	}
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock) // a failure must not leave the background task waiting
	var commands atomic.Int64
	cl.log.onCommand(&cl.log.before, func(c state.Command) bool { return c.CancelJobs != nil }, func() error {
		commands.Add(1)
		<-release
		return nil
	})
	var all sync.WaitGroup
	cancel := func(i int) {
		all.Go(func() {
			got, err := cl.entries[0].call("DELETE", fmt.Sprint("/jobs/j", i), "")
			is.NoErr(err)
			is.True(strings.Contains(got.body, `"state":"cancelled"`))
		})
	}
	cancel(0)
	eventually(t, "the first command commits", func() bool { return commands.Load() == 1 })
	for i := 1; i < jobs; i++ {
		cancel(i)
	}
	eventually(t, "the cancellations wait", func() bool { return cl.entries[0].server.cancelQueue.Len() == jobs-1 })
	unblock()
	all.Wait()
	is.Equal(commands.Load(), int64(2))
}

// FuzzRequest fuzzes the decoders of a request's path and headers.
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
			t.Errorf("%q is forwarded as %q", path, target.RequestURI())
		}
		h := http.Header{headerKey: {key}, headerIdempotent: {mark}, headerPriority: {priority}, headerTimeout: {timeout}, headerTeam: {team}}
		o, failed := s.parseOptions(h, site, &site.Services[0])
		if failed != nil {
			if failed.verdict != model.NotRun || failed.header == "" {
				t.Errorf("failure names no header: %v", failed)
			}
			return
		}
		if o.timeout < s.limits.MinTimeout || o.timeout > s.limits.MaxTimeout || len(o.key) > maxKeyBytes {
			t.Errorf("options exceed the limits: %+v", o)
		}
	})
}

// FuzzJob fuzzes the decoder of jobs.
func FuzzJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"milli_cpu":1e30}`))
	s := &Server{limits: Limits{}.withDefaults()}
	s.site.site.Store(testSite())
	s.Now = func() time.Time { return time.Time{} }
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, failed := s.decodeJob(strings.NewReader(string(body)), http.Header{})
		if failed == nil && (spec.ID == "" || spec.Pool != "drafting" || spec.Declared.IsZero()) {
			t.Errorf("decoding %q gives %+v", body, spec)
		}
	})
}
