package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// inWave is a small site in mid-wave: permits are out, some in the phase.
func inWave(t *testing.T, phase model.MaintenancePhase, o simOptions) *sim {
	o.platform.RebootTime = 30 * time.Second
	s := smallSim(3, o)
	is.New(t).True(s.until(15*time.Minute, func() bool { return s.inPhase(phase) != "" }))
	return s
}

// inPhase is a VM whose permit is in the phase; empty for none.
func (s *sim) inPhase(phase model.MaintenancePhase) model.VMID {
	found := model.VMID("")
	for id, p := range s.view().Permits {
		if p.Phase == phase && (found == "" || id < found) {
			found = id
		}
	}
	return found
}

// rebootedTwice lists the VMs that were commanded to reboot twice.
func (s *sim) rebootedTwice() []model.VMID {
	var twice []model.VMID
	for id, n := range s.platform.Tally().Asked {
		if n > 1 {
			twice = append(twice, id)
		}
	}
	return twice
}

// finish ends failures and lets the wave end, and checks what must hold.
func (s *sim) finish(t *testing.T) {
	is := is.New(t)
	everything := func(standin.VM) bool { return true }
	s.platform.Repair(everything)
	s.platform.Reconnect(everything)
	s.client.SetFaults(standin.Faults{})
	is.True(s.until(3*time.Hour, s.waveDone("kernel")))
	is.True(s.until(10*time.Minute, func() bool { return len(s.view().Permits) == 0 && len(s.serving()) == 15 }))
	is.Equal(s.rebootedTwice(), nil)
	is.Equal(s.broken(), nil)
}

// Symptom: services stay below their budgets for as long as a rack is away.
// Sequence: VMs are drained for a wave; a rack elsewhere fails.
// Cause: the permits were granted for one failure and the drains go on.
func TestRackFailsInMidWave(t *testing.T) {
	is := is.New(t)
	s := inWave(t, model.PhaseDraining, simOptions{platform: standin.Config{StopGrace: time.Minute}})
	drained := map[model.VMID]bool{}
	for id, p := range s.view().Permits {
		if p.Phase < model.PhaseRebooting && p.Pool != "" {
			drained[id] = true
		}
	}
	is.True(len(drained) > 0)
	s.platform.Fail(func(v standin.VM) bool { return v.Zone != "az2" && !drained[v.ID] })
	is.True(s.until(2*time.Minute, func() bool {
		for id := range drained {
			if s.view().Permits[id] != nil {
				return false
			}
		}
		return true
	}))
	for _, v := range s.platform.Truth() {
		is.True(!drained[v.ID] || !v.Drained)                          // they take work again
		is.True(!drained[v.ID] || s.platform.Tally().Asked[v.ID] == 0) // were not rebooted
		is.True(!drained[v.ID] || s.view().Maintained[v.ID] == nil)    // nor count as done
	}
	s.finish(t)
}

// Symptom: a budget is missed though only one VM at a time fails.
// Sequence: a VM fails, is repaired, and fails again at once.
// Cause: the repaired VM counted, and a grant spent what it gave back.
func TestSecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	s := inWave(t, model.PhaseSoaking, simOptions{})
	victim := model.VMID("")
	for _, task := range sortedTasks(s.view(), func(t *model.Task) bool { return t.Service == "checks" }) {
		if s.view().Permits[task.VM] == nil {
			victim = task.VM
		}
	}
	s.platform.Fail(standin.OneVM(victim))
	s.until(90*time.Second, func() bool { return false })
	s.platform.Repair(standin.OneVM(victim))
	for range 60 {
		s.step(time.Second)
		is.True(s.node("a").last.ledger.Down(s.node("a").last.ix.VM(victim)) != budget.Available)
	}
	s.platform.Fail(standin.OneVM(victim))
	for range 120 {
		s.step(time.Second)
		up := 0
		for id := range s.serving() {
			if task := s.view().Tasks[id]; task != nil && task.Service == "checks" {
				up++
			}
		}
		is.True(up >= 4) // the least of service checks
	}
	s.finish(t)
}

// Symptom: a service has one instance less for a minute after a VM failed, and
// a second failure in that minute takes it below its budget.
// Sequence: a VM fails; the lease of its instance has not ended.
// Cause: the ordinal may not start again before the lease ends.
func TestLostInstanceIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := smallSim(7, simOptions{})
	is.True(s.until(time.Minute, func() bool { return len(s.serving()) == 15 }))
	victim := sortedTasks(s.view(), func(t *model.Task) bool { return t.Service == "checks" })[0].VM
	s.platform.Fail(standin.OneVM(victim))
	is.True(s.until(6*time.Second, func() bool { return len(s.serving()) == 15 }))
	s.until(2*time.Minute, func() bool { return false })
	is.Equal(len(s.serving()), 15) // the stand-in stopped when the ordinal was back
	is.Equal(s.broken(), nil)
}

// Symptom: a VM is rebooted twice in one wave.
// Sequence: the leader changes between the commit and each command, in every
// phase; each new leader finds the permit.
// Cause: the new leader repeats the command instead of comparing boot IDs.
func TestLeaderChangesInEveryPhase(t *testing.T) {
	for phase := model.PhaseGranted; phase <= model.PhaseSoaking; phase++ {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			s := inWave(t, phase, simOptions{})
			s.elect("b")
			s.step(time.Second)
			s.elect("c")
			s.finish(t)
		})
	}
}

// Symptom: two leaders command the platform against one another.
// Sequence: the leader is cut off and still takes itself for the leader, with
// an old state, while the others elect another one.
// Cause: nothing at the platform tells the two apart.
func TestCutOffLeader(t *testing.T) {
	is := is.New(t)
	s := inWave(t, model.PhaseDraining, simOptions{})
	s.cutLeader("b")
	s.until(20*time.Minute, func() bool { return false })
	old := s.node("a")
	is.True(old.superseded())
	is.True(s.node("b").counts.commands.Count() > 0)
	sent := old.counts.commands.Count()
	s.until(time.Minute, func() bool { return false })
	is.Equal(old.counts.commands.Count(), sent) // it found out and is silent
	clear(s.log.cut)
	s.finish(t)
}

// Symptom: after a restart the platform sees actions of hours ago.
// Sequence: no leader for a while; hundreds of jobs are submitted, most are
// cancelled, the manifest changes ten times; then a leader starts.
// Cause: the log is replayed as commands.
func TestRestartAfterManyChanges(t *testing.T) {
	is := is.New(t)
	s := smallSim(4, simOptions{platform: standin.Config{RebootTime: 30 * time.Second}})
	is.True(s.until(time.Minute, func() bool { return len(s.serving()) == 15 }))
	s.log.leader = ""
	for i := range 500 {
		s.submit(job(fmt.Sprintf("j%03d", i), "night", model.Batch, cores(1), 20*time.Second))
		if i >= 10 {
			s.propose(state.Command{CancelJobs: &state.CancelJobs{Jobs: []model.JobID{model.JobID(fmt.Sprintf("j%03d", i))}}})
		}
	}
	site := smallSite()
	for range 10 {
		site.Revision++
		site.Services[2].Instances = 4 + int(site.Revision%2)
		s.apply(site)
	}
	s.step(30 * time.Second)
	s.elect("b")
	commands := s.node("b").counts.commands
	is.True(s.until(time.Minute, func() bool { return len(s.platform.Tally().Done) == 10 }))
	is.Equal(len(s.platform.Tally().Starts), 10) // no cancelled job was started
	is.True(commands.Count() < 10+15+30)         // each job and lease once, not 500 changes
	is.Equal(s.broken(), nil)
}

// Symptom: a wave of cancellations stalls everything.
// Sequence: 10,000 jobs are queued and cancelled in one batch.
// Cause: each cancellation costs a round.
func TestCancelWave(t *testing.T) {
	is := is.New(t)
	s := smallSim(5, simOptions{platform: standin.Config{Behaviour: func(p platform.TaskSpec) standin.Work {
		return standin.Work{Runtime: time.Hour, Used: p.Size}
	}}})
	var jobs []model.JobID
	for i := range 10_000 {
		spec := job(fmt.Sprintf("j%05d", i), "night", model.Batch, cores(1), time.Hour)
		s.submit(spec)
		jobs = append(jobs, spec.ID)
	}
	is.True(s.until(time.Minute, func() bool { return len(s.platform.Tally().Starts) > 30 }))
	s.propose(state.Command{CancelJobs: &state.CancelJobs{Jobs: jobs}})
	started := len(s.platform.Tally().Starts)
	s.submit(job("urgent", "night", model.Urgent, cores(1), time.Second))
	is.True(s.until(6*time.Second, func() bool { return s.platform.Tally().Starts["urgent"] == 1 }))
	is.True(s.until(time.Minute, func() bool {
		for _, j := range s.view().Jobs {
			if !j.State.Final() && j.Spec.ID != "urgent" {
				return false
			}
		}
		return true
	}))
	is.Equal(len(s.platform.Tally().Starts), started+1) // a cancelled job never starts
	is.Equal(s.broken(), nil)
}

// Symptom: the wrong VM reboots, and the right one never does.
// Sequence: the platform accepts a reboot and reboots another VM.
// Cause: the accepted command is taken for its effect.
func TestWrongVMRebooted(t *testing.T) {
	is := is.New(t)
	s := smallSim(6, simOptions{platform: standin.Config{RebootTime: 30 * time.Second, WrongVM: 0.5}, config: Config{RebootTimeout: time.Minute}})
	is.True(s.until(50*time.Minute, s.waveDone("kernel")))
	tally := s.platform.Tally()
	is.True(tally.WrongReboots > 0)
	for id := range s.view().Maintained {
		is.True(tally.Reboots[id] > 0) // each really went through
	}
	is.Equal(s.broken(), nil)
}

// Symptom: an operator cannot tell where a wave is and why it waits.
func TestStatusTellsTheArithmetic(t *testing.T) {
	is := is.New(t)
	s := inWave(t, model.PhaseSoaking, simOptions{})
	is.NoErr(s.node("a").Step(context.Background()))
	status := s.node("a").Status()
	is.Equal(len(status.Budgets.Services), 3)
	is.Equal(status.Budgets.Services[0].Left, status.Budgets.Services[0].Available-status.Budgets.Services[0].Reserve-4)
	is.Equal(len(status.Waves), 1)
	is.True(status.Waves[0].Active > 0 && status.Waves[0].Total > status.Waves[0].Done)
	is.True(status.Waves[0].End > status.At)
	is.Equal(len(status.Pools), 2)
	is.Equal(status.Broken, nil)
}
