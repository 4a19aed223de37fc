package state

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The state of a job after its attempt ended, for each outcome: a job that is not
// idempotent is queued again only if its attempt surely did not start.
func TestJobStateAfterAttemptEnds(t *testing.T) {
	cases := []struct {
		outcome               TaskOutcome
		idempotent, cancelled bool
		after                 model.JobState
	}{
		{OutcomeSucceeded, false, false, model.JobDone},
		{OutcomeSucceeded, true, true, model.JobDone},
		{OutcomeFailed, true, false, model.JobQueued},
		{OutcomeFailed, false, false, model.JobFailed},
		{OutcomeNeverStarted, false, false, model.JobQueued},
		{OutcomeNeverStarted, false, true, model.JobCancelled},
		{OutcomeStopped, true, false, model.JobQueued},
		{OutcomeStopped, false, false, model.JobOutcomeUnknown},
		{OutcomeStopped, false, true, model.JobCancelled},
		{OutcomeLapsed, true, false, model.JobQueued},
		{OutcomeLapsed, true, true, model.JobCancelled},
		{OutcomeLapsed, false, false, model.JobOutcomeUnknown},
		{OutcomeLapsed, false, true, model.JobOutcomeUnknown},
	}
	for _, c := range cases {
		is := is.New(t)
		d := newDriver(t, Rules{})
		is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
		spec := model.JobSpec{ID: "j", Team: "berths", Pool: "a", Idempotent: c.idempotent}
		is.Equal(d.apply(Command{SubmitJob: &SubmitJob{Spec: spec}}).Job.State, model.JobQueued)
		task := model.Task{ID: "t", Job: "j", VM: "v1", Worker: "k1", LeaseUntil: 200}
		is.Equal(d.act(Action{StartTask: &StartTask{Task: task, Pool: "a"}}), Refusal(""))
		if c.cancelled {
			is.Equal(d.apply(Command{CancelJobs: &CancelJobs{Jobs: []model.JobID{"j"}}}).Job.Cancelled, true)
		}
		d.at = model.Instant(200).Add(DriftMargin)
		is.Equal(d.act(Action{EndTask: &EndTask{Task: "t", Outcome: c.outcome}}), Refusal(""))
		if got := d.machine.View().Jobs["j"].State; got != c.after {
			t.Errorf("%+v: job is %s", c, got)
		}
		is.Equal(d.machine.Violations(), nil)
	}
}

// Two waves over the same pool must not reboot a VM alternately without end. Only
// the last wave of a VM is stored, so maintenance by w1 after the start of w2
// must count for w2 too.
func TestOverlappingWavesRebootOnce(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
	is.Equal(d.act(Action{GrantPermit: &GrantPermit{VM: "v1", Wave: "w1"}}), Refusal(""))
	is.True(d.act(Action{ReleasePermit: &ReleasePermit{VM: "v1", Generation: 1, Done: true}}) != "") // not soaking yet
	is.Equal(d.act(Action{SetPhase: &SetPhase{VM: "v1", Generation: 1, Phase: model.PhaseSoaking}}), Refusal(""))
	is.True(d.act(Action{ReleasePermit: &ReleasePermit{VM: "v1", Generation: 1, Done: true}}) != "") // soaks for 20 ms
	d.at += 20
	is.Equal(d.act(Action{ReleasePermit: &ReleasePermit{VM: "v1", Generation: 1, Done: true}}), Refusal(""))
	is.Equal(d.act(Action{GrantPermit: &GrantPermit{VM: "v1", Wave: "w1"}}), Refusal("VM v1 went through wave w1"))
	is.Equal(d.act(Action{GrantPermit: &GrantPermit{VM: "v1", Wave: "w2"}}), Refusal("VM v1 went through wave w2"))
}

// A command for a forgotten VM must not act on a new VM with the same ID: the
// generations of the new VM continue after those of the forgotten one.
func TestGenerationGrowsAcrossForget(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	for _, a := range []Action{
		{BeginMove: &BeginMove{VM: "v1", Target: "a"}},
		{BeginMove: &BeginMove{VM: "v1", Target: "b", Generation: 1}},
		{FinishMove: &FinishMove{VM: "v1", Generation: 2}},
		{ForgetVM: &ForgetVM{VM: "v1", Generation: 3}},
		{BeginMove: &BeginMove{VM: "v1", Target: "a"}},
	} {
		is.Equal(d.act(a), Refusal(""))
	}
	is.Equal(d.machine.View().Owners["v1"].Generation, uint64(4))
	is.True(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "b", Generation: 1}}) != "")
}

// The bodies of stored answers stay within their bound. The claims are kept, so
// that no request runs again because its answer was dropped.
func TestKeptAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	settle := func(key model.RequestKey, size int) {
		d.apply(Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: key, Deadline: 500}}})
		answer := &model.KeptAnswer{Status: 200, Body: make([]byte, size)}
		r := d.apply(Command{SettleRequest: &SettleRequest{Key: key, State: model.ClaimSettled, Verdict: model.Ran, Answer: answer}})
		is.Equal(r.Refused, Refusal(""))
	}
	const capacity = MaxKeptBytes / MaxKeptAnswer
	for i := range capacity + 2 {
		settle(model.RequestKey(fmt.Sprintf("k%03d", i)), MaxKeptAnswer)
	}
	settle("large", MaxKeptAnswer+1)
	is.True(d.machine.Claim("large").Answer.Dropped)
	is.True(d.machine.Claim("k001").Answer.Dropped) // the oldest
	is.Equal(len(d.machine.Claim("k002").Answer.Body), MaxKeptAnswer)
	is.Equal(d.apply(Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: "k001"}}}).Claim.Granted, false)
	is.Equal(d.machine.Check(), nil)
	d.apply(Command{ForgetClaims: &ForgetClaims{Before: 501}})
	is.Equal(len(d.machine.Claims()), 0)
	is.Equal(d.machine.Check(), nil)
}

// The deduplication table is bounded and keeps its order in a snapshot.
func TestDedupTableIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	for range MaxDedupEntries {
		d.apply(Command{ForgetJobs: &ForgetJobs{}})
	}
	is.Equal(len(d.machine.core.dedup.byID), MaxDedupEntries)
	_, known := d.machine.core.dedup.lookup("c1")
	is.True(!known) // the ID of the manifest command, the oldest
	data, err := d.machine.Snapshot()
	is.NoErr(err)
	is.NoErr(d.machine.Restore(data))
	is.Equal(d.apply(Command{ID: "c2", ForgetJobs: &ForgetJobs{}}).Index, uint64(2)) // still the first result
}

// A snapshot that is damaged, older or of another version is refused and leaves
// the state unchanged.
func TestInvalidSnapshotsAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
	data, err := d.machine.Snapshot()
	is.NoErr(err)
	d.apply(Command{ForgetJobs: &ForgetJobs{}})
	before := d.machine.View().Digest
	is.True(errors.Is(d.machine.Restore(data), ErrStaleSnapshot))
	is.True(d.machine.Restore(data[:len(data)-1]) != nil)
	edited := bytes.Replace(data, []byte("v1"), []byte("v9"), 2)
	is.True(errors.Is(NewMachine(Options{}).Restore(edited), ErrSnapshotDigest))
	other, err := codec.Marshal(snapshotFile{Version: snapshotVersion + 1})
	is.NoErr(err)
	is.True(errors.Is(d.machine.Restore(other), ErrSnapshotVersion))
	is.Equal(d.machine.View().Digest, before)
}

// Concurrent readers see consistent states while commands are applied: a view
// never changes.
func TestConcurrentReaders(t *testing.T) {
	d := newDriver(t, Rules{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var readers conc.WaitGroup
	for range 4 {
		readers.Go(func() {
			for index := uint64(1); index < 300; index++ {
				if err := d.machine.Wait(ctx, index); err != nil {
					t.Error(err)
					return
				}
				view := d.machine.View()
				rows := len(view.Jobs)
				_ = d.machine.Claim("k")
				_ = d.machine.Audit(0, 10)
				if index%50 == 0 {
					_, _ = d.machine.Snapshot()
				}
				if len(view.Jobs) != rows || view.Index < index {
					t.Error("a view changed or is outdated")
				}
			}
		})
	}
	for i := range 300 {
		id := model.JobID(fmt.Sprint(i % 20))
		d.apply(Command{SubmitJob: &SubmitJob{Spec: model.JobSpec{ID: id, Team: "berths", Pool: "a"}}})
	}
	readers.Wait()
}

// Large manifests are compressed. Uncompressed, a one-line change to the manifest
// of a large site cost each VM more than all its other work, since the manifest is
// sent to every VM and disk and repeats the same text for each pool, service and
// team. A compressed command that is truncated or too large is refused.
func TestLargeCommandsAreCompressed(t *testing.T) {
	is := is.New(t)
	m := testManifest(2, "")
	for i := range 200 {
		m.Site.Teams = append(m.Site.Teams, model.Team{ID: model.TeamID(fmt.Sprintf("t%03d", i)), MaxJobs: 100})
		m.Text = fmt.Appendf(m.Text, "[team t%03d]\nmax_jobs = 100\n", i)
	}
	c := Command{ID: "1", ApplyManifest: m}
	data, err := Encode(c)
	is.NoErr(err)
	is.True(3*len(data) < len(m.Text))
	decoded, err := Decode(data)
	is.NoErr(err)
	is.Equal(decoded, c)
	_, err = Decode(data[:len(data)-1])
	is.True(err != nil)
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err = w.Write(make([]byte, maxCommandBytes+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = Decode(bomb.Bytes())
	is.True(errors.Is(err, errTooLarge))
}

// Arbitrary bytes are refused or applied without violating an invariant.
func FuzzApply(f *testing.F) {
	for _, c := range []Command{
		{ID: "1", ApplyManifest: testManifest(2, "")},
		{ID: "2", Term: 1, Plan: &Plan{Actions: []Action{{BeginMove: &BeginMove{VM: "v", Target: "a"}}}}},
		{Batch: []Command{{ID: "3", ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: "k"}}}}},
	} {
		data, err := Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDriver(t, Rules{})
		d.machine.Apply(2, data)
		c, err := Decode(data)
		if err != nil {
			return
		}
		if violations := d.machine.Check(); len(violations) > 0 {
			t.Fatal(violations)
		}
		reencoded, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(reencoded); err != nil {
			t.Fatal(err)
		}
	})
}

// Arbitrary bytes are refused as a snapshot or restore a usable state.
func FuzzRestore(f *testing.F) {
	m := NewMachine(Options{})
	data, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine(Options{})
		if m.Restore(data) == nil {
			m.View()
		}
	})
}

// A manifest with two pools of the same ID caused moves of VMs into a pool beyond
// its largest size, which were refused only when they were applied: parts are
// found by ID, so one of the two pools was never counted. Such manifests are
// refused.
func TestDuplicateIDsAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	for part, duplicate := range map[string]func(*model.Site){
		`pool "a"`:        func(s *model.Site) { s.Pools = append(s.Pools, s.Pools[0]) },
		`service "plans"`: func(s *model.Site) { s.Services = append(s.Services, s.Services[0]) },
		`team "berths"`:   func(s *model.Site) { s.Teams = append(s.Teams, s.Teams[0]) },
		`wave "w2"`:       func(s *model.Site) { s.Waves = append(s.Waves, s.Waves[1]) },
	} {
		next := testManifest(2, "")
		duplicate(next.Site)
		is.Equal(d.apply(Command{ApplyManifest: next}).Refused, refusef("the manifest names %s twice", part))
		is.Equal(d.machine.View().Site.Revision, uint64(1)) // the previous one stays in force
	}
	is.Equal(d.apply(Command{ApplyManifest: testManifest(2, "")}).Refused, Refusal(""))
}
