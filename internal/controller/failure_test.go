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

// simInWave returns a simulation of a small site during a wave, with at least
// one permit in the phase.
func simInWave(t *testing.T, phase model.MaintenancePhase, o simOptions) *sim {
	o.platform.RebootTime = 30 * time.Second
	s := smallSim(3, o)
	is.New(t).True(s.until(15*time.Minute, func() bool { return s.vmInPhase(phase) != "" }))
	return s
}

// vmInPhase returns a VM whose permit is in the phase; empty for none.
func (s *sim) vmInPhase(phase model.MaintenancePhase) model.VMID {
	found := model.VMID("")
	for id, p := range s.view().Permits {
		if p.Phase == phase && (found == "" || id < found) {
			found = id
		}
	}
	return found
}

// rebootedTwice returns the VMs that were commanded to reboot more than once.
func (s *sim) rebootedTwice() []model.VMID {
	var twice []model.VMID
	for id, n := range s.platform.Tally().RebootCommands {
		if n > 1 {
			twice = append(twice, id)
		}
	}
	return twice
}

// finishWave ends all failures, waits for the wave to end, and checks that
// every instance serves, no VM was rebooted twice and no invariant was
// violated.
func (s *sim) finishWave(t *testing.T) {
	is := is.New(t)
	everything := func(standin.VM) bool { return true }
	s.platform.Repair(everything)
	s.platform.Reconnect(everything)
	s.client.SetFaults(standin.Faults{})
	is.True(s.until(3*time.Hour, s.waveDone("kernel")))
	is.True(s.until(10*time.Minute, func() bool { return len(s.view().Permits) == 0 && len(s.serving()) == 15 }))
	is.Equal(s.rebootedTwice(), nil)
	is.Equal(s.invariantViolations(), nil)
}

// A rack fails elsewhere while VMs drain for a wave. The permits were granted
// before the failure; if the drains continued, services would stay below their
// budgets for as long as the rack is down.
func TestRackFailsDuringWave(t *testing.T) {
	is := is.New(t)
	s := simInWave(t, model.PhaseDraining, simOptions{platform: standin.Config{StopGrace: time.Minute}})
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
	for _, v := range s.platform.ActualVMs() {
		is.True(!drained[v.ID] || !v.Drained)                                   // accepts work again
		is.True(!drained[v.ID] || s.platform.Tally().RebootCommands[v.ID] == 0) // was not rebooted
		is.True(!drained[v.ID] || s.view().Maintained[v.ID] == nil)             // does not count as maintained
	}
	s.finishWave(t)
}

// A VM fails, is repaired, and fails again at once. If the repaired VM counted
// as available, a new permit could use up the budget that it gave back, and its
// second failure would take a service below its minimum, although only one VM
// at a time fails.
func TestSecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	s := simInWave(t, model.PhaseSoaking, simOptions{})
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
		is.True(s.node("a").lastRound.ledger.VMLoss(s.node("a").lastRound.ix.VM(victim)) != budget.Available)
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
		is.True(up >= 4) // min_available of service checks
	}
	s.finishWave(t)
}

// After a VM fails, the ordinal of its instance may not start again before the
// lease ends. Without a surge instance the service would have one instance
// fewer for that minute, and a second failure would take it below its budget.
func TestLostInstanceIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := smallSim(7, simOptions{})
	is.True(s.until(time.Minute, func() bool { return len(s.serving()) == 15 }))
	victim := sortedTasks(s.view(), func(t *model.Task) bool { return t.Service == "checks" })[0].VM
	s.platform.Fail(standin.OneVM(victim))
	is.True(s.until(6*time.Second, func() bool { return len(s.serving()) == 15 }))
	s.until(2*time.Minute, func() bool { return false })
	is.Equal(len(s.serving()), 15) // the surge instance stopped when the ordinal was back
	is.Equal(s.invariantViolations(), nil)
}

// The leader changes in every phase of a permit, between the commit and the
// command. A new leader that repeated the command instead of comparing boot IDs
// would reboot a VM twice in one wave.
func TestLeaderChangesInEveryPhase(t *testing.T) {
	for phase := model.PhaseGranted; phase <= model.PhaseSoaking; phase++ {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			s := simInWave(t, phase, simOptions{})
			s.elect("b")
			s.step(time.Second)
			s.elect("c")
			s.finishWave(t)
		})
	}
}

// A partitioned leader still considers itself the leader, with an old state,
// while the other voters elect a new one. The platform must distinguish the two
// by their terms, or both would command it with conflicting decisions.
func TestPartitionedLeaderStopsCommanding(t *testing.T) {
	is := is.New(t)
	s := simInWave(t, model.PhaseDraining, simOptions{})
	s.partitionLeader("b")
	s.until(20*time.Minute, func() bool { return false })
	old := s.node("a")
	is.True(old.superseded())
	is.True(s.node("b").counters.commands.Count() > 0)
	sent := old.counters.commands.Count()
	s.until(time.Minute, func() bool { return false })
	is.Equal(old.counters.commands.Count(), sent) // it noticed and sends nothing more
	clear(s.log.partitioned)
	s.finishWave(t)
}

// While there is no leader, hundreds of jobs are submitted, most are cancelled,
// and the manifest changes ten times. A new leader that replayed the log as
// commands would send the platform actions that are hours old.
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
	commands := s.node("b").counters.commands
	is.True(s.until(time.Minute, func() bool { return len(s.platform.Tally().Succeeded) == 10 }))
	is.Equal(len(s.platform.Tally().Starts), 10) // no cancelled job was started
	is.True(commands.Count() < 10+15+30)         // each job and lease once, not 500 changes
	is.Equal(s.invariantViolations(), nil)
}

// 10,000 jobs are queued and cancelled in one batch. If each cancellation took
// a round, everything else would stall.
func TestMassCancellation(t *testing.T) {
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
	is.Equal(s.invariantViolations(), nil)
}

// The platform accepts a reboot and reboots another VM. If acceptance counted
// as the effect, the right VM would never reboot.
func TestWrongVMRebooted(t *testing.T) {
	is := is.New(t)
	s := smallSim(6, simOptions{platform: standin.Config{RebootTime: 30 * time.Second, WrongVMProbability: 0.5}, config: Config{RebootTimeout: time.Minute}})
	is.True(s.until(50*time.Minute, s.waveDone("kernel")))
	tally := s.platform.Tally()
	is.True(tally.WrongReboots > 0)
	for id := range s.view().Maintained {
		is.True(tally.Reboots[id] > 0) // each was actually rebooted
	}
	is.Equal(s.invariantViolations(), nil)
}

// The status has to show an operator how far a wave is and why it waits.
func TestStatusReportsBudgetsAndWave(t *testing.T) {
	is := is.New(t)
	s := simInWave(t, model.PhaseSoaking, simOptions{})
	is.NoErr(s.node("a").Step(context.Background()))
	status := s.node("a").Status()
	is.Equal(len(status.Budgets.Services), 3)
	is.Equal(status.Budgets.Services[0].Remaining, status.Budgets.Services[0].Available-status.Budgets.Services[0].Reserve-4)
	is.Equal(len(status.Waves), 1)
	is.True(status.Waves[0].Active > 0 && status.Waves[0].Total > status.Waves[0].Done)
	is.True(status.Waves[0].End > status.At)
	is.Equal(len(status.Pools), 2)
	is.Equal(status.Violations, nil)
}
