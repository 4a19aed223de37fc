package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// faultInjection drives a simulation through random failures. Every choice is
// made by draw.
type faultInjection struct {
	*sim
	draw  func(n int) int
	jobs  []model.JobID
	site  model.Site
	waves int
	steps int
}

var simNodes = []model.NodeID{"a", "b", "c"}

func newFaultInjection(seed uint64, draw func(n int) int, o simOptions) *faultInjection {
	o.platform.RebootTime = 30 * time.Second
	o.platform.StopGrace = 2 * time.Second
	o.platform.WrongVMProbability = 0.1
	o.platform.Retention = 3 * time.Hour
	o.config.RebootTimeout = time.Minute
	o.platform.Behaviour = func(s platform.TaskSpec) standin.Work {
		n := len(s.Payload)
		return standin.Work{Runtime: time.Duration(5+20*n) * time.Second, Used: cores(int64(1 + n%4)), Fails: n%11 == 10}
	}
	return &faultInjection{sim: smallSim(seed, o), draw: draw, site: smallSite()}
}

// vm returns a random VM.
func (c *faultInjection) vm() standin.ActualVM {
	vms := c.platform.ActualVMs()
	return vms[c.draw(len(vms))]
}

// randomAction takes one random action and runs a few rounds.
func (c *faultInjection) randomAction() {
	switch c.draw(24) {
	case 0:
		c.platform.Fail(standin.OneVM(c.vm().ID))
	case 1:
		v := c.vm()
		c.platform.Fail(standin.Rack(v.Zone, v.Rack))
	case 2:
		if c.draw(4) == 0 {
			c.platform.Fail(standin.Zone(c.vm().Zone))
		}
	case 3, 4:
		c.platform.Repair(func(standin.VM) bool { return true })
	case 5:
		c.platform.Disconnect(standin.OneVM(c.vm().ID))
	case 6, 7:
		c.platform.Reconnect(func(standin.VM) bool { return true })
	case 8:
		c.platform.InjectWorkerFault(c.vm().Worker)
	case 9:
		c.platform.ClearWorkerFault(c.vm().Worker)
	case 10:
		c.platform.RebootUnexpectedly(standin.OneVM(c.vm().ID))
	case 11:
		c.elect(simNodes[c.draw(3)])
	case 12:
		if len(c.log.partitioned) == 0 {
			c.partitionLeader(simNodes[(c.draw(2)+1)%3])
		}
	case 13:
		clear(c.log.partitioned)
	case 14:
		rate := float64(c.draw(3)) / 10
		c.client.SetFaults(standin.Faults{Refuse: rate / 2, LoseRequest: rate / 2, LoseResponse: rate, Delay: rate, Duplicate: rate, StaleList: rate, MaxDelay: 40 * time.Second})
	case 15:
		c.client.SetFaults(standin.Faults{})
	case 16:
		c.log.lossRate = float64(c.draw(3)) / 10
	case 17, 18, 19:
		c.submitJob()
	case 20:
		c.cancelSome()
	case 22:
		v := c.vm()
		c.platform.Disconnect(standin.Rack(v.Zone, v.Rack))
	case 21:
		if c.waveDone(c.site.Waves[0].ID)() {
			c.nextWave()
		}
	}
	for range 1 + c.draw(5) {
		c.steps++
		c.step(time.Duration(500+c.draw(2000)) * time.Millisecond)
	}
}

func (c *faultInjection) submitJob() {
	n := len(c.jobs)
	spec := job(fmt.Sprintf("j%05d", n), []model.PoolID{"drafts", "night"}[c.draw(2)], model.Priority(c.draw(3)-1), cores(int64(1+c.draw(4))), time.Minute)
	spec.Idempotent = c.draw(3) > 0
	spec.Checkpoints = c.draw(2) == 0
	spec.Throttleable = c.draw(2) == 0
	spec.Payload = make([]byte, c.draw(12))
	spec.Kind = fmt.Sprint("kind", len(spec.Payload))
	c.submit(spec)
	c.jobs = append(c.jobs, spec.ID)
}

func (c *faultInjection) cancelSome() {
	var some []model.JobID
	for range min(len(c.jobs), 20) {
		some = append(some, c.jobs[c.draw(len(c.jobs))])
	}
	if len(some) > 0 {
		c.propose(state.Command{CancelJobs: &state.CancelJobs{Jobs: some}})
	}
}

func (c *faultInjection) nextWave() {
	c.waves++
	c.site.Revision++
	c.site.Waves = []model.Wave{{ID: model.WaveID(fmt.Sprint("wave", c.waves)), Pools: []model.PoolID{"drafts", "night"}, Start: c.platform.Now(), Soak: time.Minute}}
	c.apply(c.site)
}

// violations returns the violated invariants, of the program and of the
// platform's actual state.
func (c *faultInjection) violations() []string {
	all := c.invariantViolations()
	tally := c.platform.Tally()
	if tally.Overlaps > 0 {
		all = append(all, "platform: two attempts of a job ran at once")
	}
	for id, n := range tally.Starts {
		if j := c.view().Jobs[id]; j != nil && !j.Spec.Idempotent && n > 1 {
			all = append(all, fmt.Sprintf("platform: job %s is not idempotent and ran %d times", id, n))
		}
	}
	// A reboot that was carried out on the wrong VM is commanded again.
	for id, n := range tally.RebootCommands {
		if n > c.waves+1+tally.WrongReboots {
			all = append(all, fmt.Sprintf("platform: VM %s was rebooted %d times in %d waves", id, n, c.waves+1))
		}
	}
	return all
}

// recoveryLimit is how long, in virtual time, recovery may take.
var recoveryLimit = 6 * time.Hour

// endFaults ends all faults and returns what does not recover by itself and
// which invariants were violated.
func (c *faultInjection) endFaults() []string {
	c.client.SetFaults(standin.Faults{})
	c.log.lossRate = 0
	clear(c.log.partitioned)
	everything := func(standin.VM) bool { return true }
	c.platform.Repair(everything)
	c.platform.Reconnect(everything)
	for _, v := range c.platform.ActualVMs() {
		c.platform.ClearWorkerFault(v.Worker)
	}
	var wrong []string
	if !c.untilBy(4*time.Second, recoveryLimit, func() bool { return c.unfinished() == "" }) {
		wrong = append(wrong, "not recovered: "+c.unfinished())
	}
	return append(wrong, c.violations()...)
}

// unfinished describes what has not been completed yet; empty when everything
// has.
func (c *faultInjection) unfinished() string {
	for id, j := range c.view().Jobs {
		// A job that fails everywhere is held once other jobs succeed on the same
		// workers; until then it may wait.
		fails := len(j.Spec.Payload)%11 == 10 && len(j.FailedOn) > 0
		if !j.State.Final() && !fails {
			return fmt.Sprintf("job %s is %s: %s", id, j.State, j.Reason)
		}
		if j.State == model.JobDone && c.platform.Tally().Succeeded[id] == 0 {
			return fmt.Sprintf("job %s is done but did not run", id)
		}
	}
	if n := len(c.serving()); n != 15 {
		return fmt.Sprintf("%d instances serve", n)
	}
	if !c.waveDone(c.site.Waves[0].ID)() || len(c.view().Permits) > 0 {
		return "the wave is not done"
	}
	for _, v := range c.platform.ActualVMs() {
		if v.Drained {
			return "VM " + string(v.ID) + " is left drained"
		}
	}
	return ""
}

// Every invariant holds under correlated failures, races, leader changes, a
// partitioned leader, and a platform that answers late, twice, out of order or
// not at all, or that reboots the wrong VM.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.IntRange(0, 1<<20)
		c := newFaultInjection(rapid.Uint64().Draw(t, "seed"), func(n int) int { return numbers.Draw(t, "n") % n }, simOptions{})
		for range 25 {
			c.randomAction()
		}
		if wrong := c.endFaults(); len(wrong) > 0 {
			t.Fatal(wrong)
		}
	})
}

// longSteps returns how many controller rounds the long run takes.
func longSteps(t *testing.T) int {
	steps, err := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS"))
	if err != nil {
		steps = 2000
	}
	if testing.Short() {
		t.Skip("long run")
	}
	return steps
}

// Like TestRandomRuns with fixed seeds, for COMFREYLOOM_STEPS rounds.
func TestLongRun(t *testing.T) {
	total, seed := 0, uint64(1)
	for limit := longSteps(t); total < limit; seed++ {
		random := rand.New(rand.NewPCG(seed, 42))
		c := newFaultInjection(seed, random.IntN, simOptions{})
		for c.steps < 1000 {
			c.randomAction()
		}
		total += c.steps
		if wrong := c.endFaults(); len(wrong) > 0 {
			t.Fatalf("seed %d after %d steps: %v", seed, c.steps, wrong)
		}
	}
	t.Logf("seeds 1 to %d, %d steps", seed-1, total)
}

// With a rule switched off, the same runs detect a violated invariant.
func TestInvariantsDetectDisabledRules(t *testing.T) {
	for name, o := range map[string]simOptions{
		"commit before command": {config: Config{Rules: Rules{SkipCommit: true}}},
		"compare boots":         {config: Config{Rules: Rules{Wave: wave.Rules{IgnoreBootID: true}}}},
		"wait for leases":       {config: Config{Rules: Rules{SkipLeaseWait: true}}, state: state.Rules{SkipLease: true}},
		"soak after repair":     {config: Config{Rules: Rules{Budget: budget.Rules{SkipSoak: true}}}},
		"unknown counts":        {config: Config{Rules: Rules{Budget: budget.Rules{TrustUnknown: true}}}},
		"reserve":               {config: Config{Rules: Rules{Budget: budget.Rules{SkipReserve: true}}}},
		"check the budgets":     {config: Config{Rules: Rules{Wave: wave.Rules{IgnoreBudget: true}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found, steps := "", 0
			for seed := uint64(1); found == "" && seed <= 40; seed++ {
				random := rand.New(rand.NewPCG(seed, 42))
				c := newFaultInjection(seed, random.IntN, o)
				for c.steps < 1500 && found == "" {
					c.randomAction()
					if wrong := c.violations(); len(wrong) > 0 {
						found = wrong[0]
					}
				}
				steps += c.steps
			}
			is.True(found != "")
			t.Logf("found after %d steps: %s", steps, found)
		})
	}
}
