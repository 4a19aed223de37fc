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

// What becomes of a job when its attempt ends, for each outcome: a job that is
// not idempotent goes back to the queue only when it surely did not start.
func TestJobAfterItsAttempt(t *testing.T) {
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
		is.Equal(d.machine.Broken(), nil)
	}
}

// Symptom: a VM is rebooted again and again, by turns for two waves.
// Sequence: it goes through w1, then w2 starts and finds it maintained since.
// Cause: only the last wave of a VM is kept.
func TestOverlappingWavesRebootOnce(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
	is.Equal(d.act(Action{Grant: &Grant{VM: "v1", Wave: "w1"}}), Refusal(""))
	is.True(d.act(Action{Release: &Release{VM: "v1", Generation: 1, Done: true}}) != "") // not soaking yet
	is.Equal(d.act(Action{SetPhase: &SetPhase{VM: "v1", Generation: 1, Phase: model.PhaseSoaking}}), Refusal(""))
	is.True(d.act(Action{Release: &Release{VM: "v1", Generation: 1, Done: true}}) != "") // soaks for 20 ms
	d.at += 20
	is.Equal(d.act(Action{Release: &Release{VM: "v1", Generation: 1, Done: true}}), Refusal(""))
	is.Equal(d.act(Action{Grant: &Grant{VM: "v1", Wave: "w1"}}), Refusal("VM v1 went through wave w1"))
	is.Equal(d.act(Action{Grant: &Grant{VM: "v1", Wave: "w2"}}), Refusal("VM v1 went through wave w2"))
}

// Symptom: a command for a VM that was replaced acts on the VM that now has
// its name. Sequence: forget, enter again, the old command comes. Cause:
// generations that start over.
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

// Kept answers stay within their bound; the claims stay, so that nothing runs
// again because its answer was dropped.
func TestKeptAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	settle := func(key model.RequestKey, size int) {
		d.apply(Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: key, Deadline: 500}}})
		answer := &model.KeptAnswer{Status: 200, Body: make([]byte, size)}
		r := d.apply(Command{SettleRequest: &SettleRequest{Key: key, State: model.ClaimSettled, Verdict: model.Ran, Answer: answer}})
		is.Equal(r.Refused, Refusal(""))
	}
	const fit = MaxKeptBytes / MaxKeptAnswer
	for i := range fit + 2 {
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

// The memory of command IDs is bounded and survives a snapshot in its order.
func TestCommandMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	for range CommandMemory {
		d.apply(Command{ForgetJobs: &ForgetJobs{}})
	}
	is.Equal(len(d.machine.core.commands.byID), CommandMemory)
	_, known := d.machine.core.commands.find("c1")
	is.True(!known) // the manifest's, the oldest
	data, err := d.machine.Snapshot()
	is.NoErr(err)
	is.NoErr(d.machine.Restore(data))
	is.Equal(d.apply(Command{ID: "c2", ForgetJobs: &ForgetJobs{}}).Index, uint64(2)) // still the first answer
}

// A snapshot that is damaged, of another version or older is refused whole.
func TestBadSnapshotsAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
	data, err := d.machine.Snapshot()
	is.NoErr(err)
	d.apply(Command{ForgetJobs: &ForgetJobs{}})
	before := d.machine.View().Digest
	is.True(errors.Is(d.machine.Restore(data), ErrStepBack))
	is.True(d.machine.Restore(data[:len(data)-1]) != nil)
	edited := bytes.Replace(data, []byte("v1"), []byte("v9"), 2)
	is.True(errors.Is(NewMachine(Options{}).Restore(edited), ErrSnapshotDigest))
	other, err := codec.Marshal(snapshotFile{Version: snapshotVersion + 1})
	is.NoErr(err)
	is.True(errors.Is(d.machine.Restore(other), ErrSnapshotVersion))
	is.Equal(d.machine.View().Digest, before)
}

// Readers see whole states while commands are applied: a view never changes.
func TestReadersBesideTheApplier(t *testing.T) {
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
					t.Error("a view changed or is old")
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

// Symptom: a manifest of a large site, of which a line changed, costs each VM
// more than all else that it does. Sequence: it goes to every VM and disk as it
// is. Cause: its text repeats itself for each pool, service and team. A
// compressed command that is cut short or grows without end is refused.
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
	again, err := Decode(data)
	is.NoErr(err)
	is.Equal(again, c)
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

// Any bytes are refused or applied; a machine never breaks on them.
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
		if broken := d.machine.Check(); len(broken) > 0 {
			t.Fatal(broken)
		}
		again, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}

// Any bytes are refused as a snapshot, or restore to a sound state.
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

// Symptom: VMs are moved into a pool beyond its largest size, and refused only
// when the moves are applied. Sequence: a manifest comes that lists a pool
// under the ID of another one. Cause: parts are found by their IDs, so that one
// of the two is never counted.
func TestOneIDForTwoPartsIsRefused(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	for part, repeat := range map[string]func(*model.Site){
		`pool "a"`:        func(s *model.Site) { s.Pools = append(s.Pools, s.Pools[0]) },
		`service "plans"`: func(s *model.Site) { s.Services = append(s.Services, s.Services[0]) },
		`team "berths"`:   func(s *model.Site) { s.Teams = append(s.Teams, s.Teams[0]) },
		`wave "w2"`:       func(s *model.Site) { s.Waves = append(s.Waves, s.Waves[1]) },
	} {
		next := testManifest(2, "")
		repeat(next.Site)
		is.Equal(d.apply(Command{ApplyManifest: next}).Refused, refusef("the manifest names %s twice", part))
		is.Equal(d.machine.View().Site.Revision, uint64(1)) // the one before stays in force
	}
	is.Equal(d.apply(Command{ApplyManifest: testManifest(2, "")}).Refused, Refusal(""))
}
