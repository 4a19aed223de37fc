package slots

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

const (
	faultVMs       = 4
	faultInstances = 3
	faultSlots     = 6
	faultRunLength = 4500 * time.Millisecond
)

// fault is one injected fault. Kind "isolate" loses the messages from and to the
// entry VM, "deaf" only those to it; "leave" removes an instance from the
// announced ones.
type fault struct {
	at, length time.Duration
	kind       string
	vm         int
}

// faultRun simulates lending with injected faults and records the first violated
// invariant.
type faultRun struct {
	*sim
	cuts      map[[2]int]bool
	violation string
}

// newFaultRun starts a run. With takeOver, other entry VMs use the shares of lost
// ones, which is only safe if no running entry VM is cut off.
func newFaultRun(seed uint64, lossPercent int, takeOver bool, rules lending.Rules, queueRules admission.Rules) *faultRun {
	c := &faultRun{sim: newSim(seed, faultVMs, faultInstances, faultSlots), cuts: map[[2]int]bool{}}
	c.service.Timeout = scaled(time.Second)
	c.options.Rules = rules
	c.queueRules = queueRules
	c.takeOverAfter = -1
	if takeOver {
		c.takeOverAfter = scaled(time.Second)
	}
	c.lossPercent = lossPercent
	c.cut = func(a, b int) bool { return c.cuts[[2]int{a, b}] }
	c.start(true, func(int) []model.NodeID { return c.nodes })
	return c
}

// recordViolation records a violated invariant if it is the first one.
func (c *faultRun) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %s: ", c.now.Sub(scaledInstant(time.Minute))*tickLength/time.Millisecond) + fmt.Sprintf(format, args...)
	}
}

func (c *faultRun) run(faults []fault) string {
	begin := c.now
	c.onStart = func(r *simRequest) {
		c.checkPriority(r)
		if c.now > r.deadline {
			c.recordViolation("a request started after its deadline")
		}
	}
	for _, f := range faults {
		c.after(scaled(f.at), func() { c.inject(f) })
	}
	var next func()
	next = func() {
		if c.now.Sub(begin) >= scaled(faultRunLength) {
			return
		}
		vm := c.vms[min(c.random.IntN(2*faultVMs), faultVMs-1)]
		r := c.newRequest()
		r.deadline = c.now.Add(scaled(time.Duration(700+c.random.IntN(1800)) * time.Millisecond))
		r.work = scaled(time.Duration(20+c.random.IntN(600)) * time.Millisecond)
		if vm.alive && !vm.draining {
			c.arrive(vm, r)
			c.all = append(c.all, r)
		}
		c.after(scaled(time.Duration(c.random.IntN(40))*time.Millisecond), next)
		c.check()
	}
	c.after(0, next)
	c.runUntil(begin.Add(scaled(faultRunLength + 4*time.Second)))
	c.finish()
	return c.violation
}

// checkPriority checks when a request starts that no urgent one that could have
// used the slot waits at the same entry VM.
func (c *faultRun) checkPriority(r *simRequest) {
	core := c.vms[r.vm].core
	if r.priority == model.Urgent {
		return
	}
	for waiting, t := range c.vms[r.vm].queued {
		left := t.Deadline.Sub(c.now)
		if waiting.priority == model.Urgent && left > 0 && left <= core.borrower.PromisedRun() {
			c.recordViolation("a %s request started while an urgent one waited", r.priority)
		}
	}
}

// check checks the invariants; it is called at each arrival.
func (c *faultRun) check() {
	if c.overruns > 0 {
		c.recordViolation("more than %d requests at an instance", faultSlots)
	}
	for _, vm := range c.vms {
		if !vm.alive {
			continue
		}
		for _, violation := range vm.core.checkInvariants() {
			c.recordViolation("%s: %s", c.nodes[vm.index], violation)
		}
	}
}

// finish checks that each accepted request got exactly one result.
func (c *faultRun) finish() {
	c.check()
	for _, r := range c.all {
		if r.results > 1 || (r.results == 0 && !r.cutOff) {
			c.recordViolation("a request got %d results", r.results)
		}
	}
}

func (c *faultRun) inject(f fault) {
	vm := c.vms[f.vm]
	switch f.kind {
	case "crash":
		if vm.alive {
			c.crash(vm)
			c.after(scaled(f.length), func() { c.boot(vm, true, c.nodes) })
		}
	case "stop":
		if vm.alive && !vm.draining {
			vm.draining = true
			c.drain(vm, f.length)
		}
	case "isolate", "deaf":
		for n := range c.vms {
			c.setCut(n, f.vm, true)
			c.setCut(f.vm, n, f.kind == "isolate")
		}
		c.after(scaled(f.length), func() {
			for n := range c.vms {
				c.setCut(n, f.vm, false)
				c.setCut(f.vm, n, false)
			}
		})
	case "leave":
		c.relist(f.vm%faultInstances, true)
		c.after(scaled(f.length), func() { c.relist(f.vm%faultInstances, false) })
	}
}

// drain stops an entry VM gracefully: it accepts no more requests, finishes
// those it has, hands its slots over and exits. It restarts after length.
func (c *faultRun) drain(vm *simVM, length time.Duration) {
	if !vm.alive {
		return
	}
	if len(vm.inUse)+len(vm.queued) > 0 {
		c.after(scaled(tickInterval), func() { c.drain(vm, length) })
		return
	}
	c.step(vm, func() {
		vm.core.returnAllLoans(c.now)
		vm.core.handOverShare()
	})
	vm.alive = false
	c.after(scaled(length), func() { c.boot(vm, true, c.nodes) })
}

func (c *faultRun) setCut(a, b int, cut bool) {
	if a != b {
		c.cuts[[2]int{a, b}] = cut
	}
}

// crash ends an entry VM; its connections close, and with them its requests.
func (c *faultRun) crash(vm *simVM) {
	vm.alive = false
	for r := range vm.inUse {
		r.abort()
	}
	vm.inUse = map[*simRequest]bool{}
	for r := range vm.queued {
		r.cutOff = true
	}
}

// relist removes an instance from the announced ones at all entry VMs or adds it
// again. The entry VMs get the change at different times.
func (c *faultRun) relist(n int, leaving bool) {
	for _, vm := range c.vms {
		c.after(c.delay(), func() {
			if !vm.alive {
				return
			}
			list := c.upstreams
			if leaving {
				list = append(append([]model.Upstream{}, list[:n]...), list[n+1:]...)
			}
			c.step(vm, func() { vm.core.update(c.service, list, c.now) })
		})
	}
}

// faultKinds lists the kinds of faults; the last two are only injected where no
// share of a lost entry VM is taken over.
var faultKinds = []string{"crash", "stop", "leave", "isolate", "deaf"}

func faultKindsFor(takeOver bool) []string {
	if takeOver {
		return faultKinds[:3]
	}
	return faultKinds
}

// drawMilliseconds draws a time close to one of the given ones; plain ranges
// yield mostly short times.
func drawMilliseconds(t *rapid.T, label string, about ...int) time.Duration {
	ms := rapid.SampledFrom(about).Draw(t, label) + rapid.IntRange(0, 250).Draw(t, label+"+")
	return time.Duration(ms) * time.Millisecond
}

func faultGenerator(takeOver bool) *rapid.Generator[[]fault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:     drawMilliseconds(t, "at", 0, 300, 700, 1500, 2500, 3500),
			length: drawMilliseconds(t, "length", 20, 200, 1000, 2500, 4000, 4500),
			kind:   rapid.SampledFrom(faultKindsFor(takeOver)).Draw(t, "kind"),
			vm:     rapid.IntRange(0, faultVMs-1).Draw(t, "vm"),
		}
	}), 1, 6)
}

// TestLendingUnderFaults guards against a loan that both sides consider theirs:
// an instance would get more requests than it has slots. It also checks that
// each request gets exactly one result. Entry VMs crash, restart and are cut off
// in one or both directions, and messages are lost, duplicated and delayed while
// slots are lent.
func TestLendingUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		takeOver := rapid.Bool().Draw(t, "reclaim")
		lossPercent := rapid.SampledFrom([]int{0, 3, 20}).Draw(t, "lossy")
		c := newFaultRun(rapid.Uint64().Draw(t, "seed"), lossPercent, takeOver, lending.Rules{}, admission.Rules{})
		if violation := c.run(faultGenerator(takeOver).Draw(t, "faults")); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestLongRun repeats random runs for COMFREYLOOM_STEPS events.
func TestLongRun(t *testing.T) {
	steps, _ := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS"))
	done := 0
	for seed := uint64(1); done < steps; seed++ {
		takeOver := seed%4 == 0
		c := newFaultRun(seed, int(seed%3)*10, takeOver, lending.Rules{}, admission.Rules{})
		if violation := c.run(faultGenerator(takeOver).Example(int(seed))); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		done += c.eventCount
	}
	t.Logf("%d steps", done)
}

// TestDisabledRulesAreDetected checks that the randomised runs find a violation
// when any one of the rules is disabled.
func TestDisabledRulesAreDetected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for name, rules := range map[string]struct {
		lending lending.Rules
		queue   admission.Rules
	}{
		"free a loan when its lease ends":     {lending: lending.Rules{FreeAtLeaseEnd: true}},
		"use a loan after its lease":          {lending: lending.Rules{UseExpired: true}},
		"accept requests that were overtaken": {lending: lending.Rules{AcceptStaleRequests: true}},
		"apply replies to earlier requests":   {lending: lending.Rules{ApplyStaleReplies: true}},
		"forget recalled slots in use":        {lending: lending.Rules{DropSlotsInUse: true}},
		"lend slots that are in use":          {lending: lending.Rules{LendSlotsInUse: true}},
		"forget loans of an earlier process":  {lending: lending.Rules{SkipRecovery: true}},
		"serve in order of arrival":           {queue: admission.Rules{IgnorePriority: true}},
		"run what has expired":                {queue: admission.Rules{RunExpired: true, IgnoreEstimate: true}},
	} {
		found, steps := "", 0
		for seed := uint64(1); seed <= 100 && found == ""; seed++ {
			c := newFaultRun(seed, 10*int(seed%3), false, rules.lending, rules.queue)
			found = c.run(faultGenerator(false).Example(int(seed)))
			steps += c.eventCount
		}
		t.Logf("%-40s %8d steps: %s", name, steps, found)
		is.True(found != "")
	}
}
