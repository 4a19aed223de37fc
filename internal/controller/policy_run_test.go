package controller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// policySite describes a site's size and load.
type policySite struct {
	name   string
	zones  int
	size   model.Resources
	policy model.Policy
	// minAvailable holds the min_available of each service of 10 instances.
	minAvailable [5]int
}

var policySites = []policySite{
	{"PortKlang", 4, cores(32), model.Policy{MoveWeight: 0.8, BufferWeight: 0.2}, [5]int{7, 7, 6, 6, 6}},
	{"Kapljica", 3, cores(16), model.Policy{MoveWeight: 0.3, BufferWeight: 0.7}, [5]int{6, 6, 5, 5, 5}},
}

const (
	policyVMs       = 50
	policySoak      = 2 * time.Minute
	policyReboot    = 90 * time.Second
	policyWarmup    = 40 * time.Minute
	policyCooldown  = 20 * time.Minute
	policyTimeLimit = 14 * time.Hour
)

var policyPools = []model.PoolID{"urgent", "daily", "night"}

func (p policySite) site() model.Site {
	unit := p.size.MilliCPU / 8
	service := func(i int, pool model.PoolID, priority model.Priority) model.Service {
		return model.Service{
			ID: model.ServiceID(fmt.Sprint("service", i)), Pool: pool, Instances: 10, MinAvailable: p.minAvailable[i],
			Size: model.Resources{MilliCPU: unit, MemoryMB: unit * 4}, Slots: 8, Connections: 64, Priority: priority,
		}
	}
	return model.Site{
		Name: p.name, Revision: 1, Policy: p.policy,
		Pools: []model.Pool{
			{ID: "urgent", MinVMs: 8, MaxVMs: 50, Shape: p.size},
			{ID: "daily", MinVMs: 8, MaxVMs: 50, Shape: p.size},
			{ID: "night", MinVMs: 6, MaxVMs: 50, Shape: p.size},
		},
		Services: []model.Service{
			service(0, "urgent", model.Urgent), service(1, "urgent", model.Urgent),
			service(2, "daily", model.Normal), service(3, "daily", model.Normal), service(4, "night", model.Batch),
		},
		Teams: []model.Team{{ID: "planners"}},
		Waves: []model.Wave{{ID: "kernel", Pools: policyPools, Start: simStart.Add(policyWarmup), Soak: policySoak}},
	}
}

// policyRun runs one wave through a site under load and failures and measures
// the outcome.
type policyRun struct {
	*sim
	policySite
	random *rand.Rand
	// withoutFailures disables the failures.
	withoutFailures bool
	work            map[model.JobID]standin.Work
	jobs            []model.JobID

	submitted map[model.JobID]model.Instant
	waits     []float64
	// moves counts the stops of each job by the wave; preemptions counts the stops
	// for other work.
	moves       map[model.JobID]int
	preemptions int
	// affectedZones are, by service, the availability zones with failures from
	// which the service has not recovered.
	affectedZones  map[model.ServiceID]map[model.ZoneID]bool
	violations     int
	worstShortfall int
	reserved       []float64
	hardDemand     map[model.PoolID][]float64
	end            model.Instant
	scheduled      []scheduledAction
	// uninterruptible is the longest remaining run time, when the wave began, of a
	// task that must not be interrupted.
	uninterruptible time.Duration
	// repaired is the time from the start of the wave to the last repair of a VM
	// that failed before its maintenance was done.
	repaired time.Duration
	// generations holds the generation of each VM when the wave began.
	generations map[model.VMID]uint64
}

func newPolicyRun(p policySite, features wave.Features, seed uint64) *policyRun {
	r := &policyRun{
		policySite: p, random: rand.New(rand.NewPCG(seed, 11)),
		work: map[model.JobID]standin.Work{}, submitted: map[model.JobID]model.Instant{}, moves: map[model.JobID]int{},
		affectedZones: map[model.ServiceID]map[model.ZoneID]bool{}, hardDemand: map[model.PoolID][]float64{},
	}
	vms := siteVMs(p.zones, policyVMs, 4, p.size)
	r.sim = newSim(simOptions{
		seed: seed, site: p.site(),
		platform: standin.Config{
			VMs: vms, RebootTime: policyReboot, StopGrace: 2 * time.Second,
			Behaviour: func(s platform.TaskSpec) standin.Work { return r.work[s.Job] },
			OnStop:    r.recordStop,
		},
		config: Config{Wave: wave.Options{Features: features}},
	})
	r.onStart = r.recordStart
	return r
}

// scheduledAction is an action that runs at a given time.
type scheduledAction struct {
	at model.Instant
	do func()
}

func (r *policyRun) runScheduled() {
	now := r.platform.Now()
	for i := len(r.scheduled) - 1; i >= 0; i-- {
		if d := r.scheduled[i]; d.at <= now {
			r.scheduled = slices.Delete(r.scheduled, i, i+1)
			d.do()
		}
	}
}

func (r *policyRun) recordStart(s standin.TaskInfo) {
	at, known := r.submitted[s.Job]
	if known && r.view().Jobs[s.Job].Spec.Priority == model.Urgent {
		r.waits = append(r.waits, r.platform.Now().Sub(at).Seconds())
	}
	delete(r.submitted, s.Job)
}

func (r *policyRun) recordStop(s standin.TaskInfo) {
	j := r.view().Jobs[s.Job]
	if j == nil || s.Killed || j.Cancelled {
		return
	}
	if r.view().Permits[s.VM] != nil {
		r.moves[s.Job]++
		return
	}
	r.preemptions++
}

// policyMisdeclarations holds, by pool, the factors by which jobs misdeclare
// their size and run time; each job also deviates at random.
var policyMisdeclarations = map[model.PoolID][2]float64{"urgent": {2, 0.5}, "daily": {0.5, 2}, "night": {2.5, 0.4}}

func (r *policyRun) declarationFactor(pool model.PoolID, quantity int) float64 {
	return policyMisdeclarations[pool][quantity] * math.Exp(r.random.NormFloat64()*0.2)
}

func (r *policyRun) submitJob(pool model.PoolID, p model.Priority, share float64, runtime time.Duration) {
	id := model.JobID(fmt.Sprintf("job%05d", len(r.jobs)))
	used := r.size.Scale(share)
	declared := used.Scale(r.declarationFactor(pool, 0))
	actual := time.Duration(float64(runtime) * (0.5 + r.random.Float64()))
	r.work[id] = standin.Work{Runtime: actual, Used: used}
	spec := model.JobSpec{
		ID: id, Team: "planners", Pool: pool, Kind: fmt.Sprint(pool, p), Priority: p, Declared: declared,
		Runtime: time.Duration(float64(runtime) * r.declarationFactor(pool, 1)), Idempotent: r.random.IntN(10) > 0,
		Checkpoints: p == model.Batch && r.random.IntN(3) > 0, Throttleable: p == model.Batch,
	}
	r.submit(spec)
	r.jobs = append(r.jobs, id)
	r.submitted[id] = r.platform.Now()
}

// load submits the jobs of one step.
func (r *policyRun) load(d time.Duration) {
	each := func(mean time.Duration, submit func()) {
		if r.random.Float64() < float64(d)/float64(mean) {
			submit()
		}
	}
	each(15*time.Second, func() { r.submitJob("urgent", model.Urgent, 0.08, 2*time.Minute) })
	each(20*time.Second, func() { r.submitJob("daily", model.Normal, 0.1, 8*time.Minute) })
	each(60*time.Second, func() { r.submitJob("night", model.Batch, 0.2, 45*time.Minute) })
}

// injectFailures injects the failures and cancellations due at a step of the
// wave.
func (r *policyRun) injectFailures(step int) {
	vms := r.platform.ActualVMs()
	randomVM := func() standin.ActualVM { return vms[r.random.IntN(len(vms))] }
	switch step {
	case 200:
		r.injectFailure(standin.OneVM(randomVM().ID), 8*time.Minute)
	case 420:
		v := randomVM()
		r.injectFailure(standin.Rack(v.Zone, v.Rack), 12*time.Minute)
	case 1400, 1400 + 8*60 + 20:
		// The same VM fails again right after its repair.
		r.injectFailure(standin.OneVM("vm007"), 8*time.Minute)
	case 2400:
		r.injectFailure(standin.Zone("az2"), 15*time.Minute)
	case 300, 900:
		r.cancelMany()
	}
}

func (r *policyRun) injectFailure(which standin.Selector, repair time.Duration) {
	for _, v := range r.platform.ActualVMs() {
		if !which(v.VM) {
			continue
		}
		if m := r.view().Maintained[v.ID]; m == nil && r.end == 0 {
			r.repaired = max(r.repaired, r.platform.Now().Add(repair).Sub(simStart.Add(policyWarmup)))
		}
		for service := range v.Instances {
			if r.affectedZones[service] == nil {
				r.affectedZones[service] = map[model.ZoneID]bool{}
			}
			r.affectedZones[service][v.Zone] = true
		}
	}
	r.platform.Fail(which)
	r.scheduled = append(r.scheduled, scheduledAction{r.platform.Now().Add(repair), func() { r.platform.Repair(which) }})
}

func (r *policyRun) cancelMany() {
	for range 150 {
		r.submitJob("night", model.Batch, 0.2, 45*time.Minute)
	}
	r.step(time.Second)
	batch := r.jobs[len(r.jobs)-150:]
	r.propose(state.Command{CancelJobs: &state.CancelJobs{Jobs: batch}})
}

// measure records the platform's actual state after a step.
func (r *policyRun) measure() {
	up := map[model.ServiceID]int{}
	serving := r.serving()
	for _, t := range r.view().Tasks {
		if t.Service != "" && serving[t.ID] {
			up[t.Service]++
		}
	}
	for _, s := range r.view().Site.Services {
		if up[s.ID] >= s.Instances {
			delete(r.affectedZones, s.ID)
		}
		shortfall := s.MinAvailable - up[s.ID]
		if shortfall > 0 && len(r.affectedZones[s.ID]) <= 1 {
			r.violations++
			r.worstShortfall = max(r.worstShortfall, shortfall)
		}
	}
	n := r.node(r.log.leader)
	if n.lastRound == nil {
		return
	}
	reserved := float64(fleet.SparesNeeded(n.lastRound.ix, n.config.Fleet).Needed)
	for _, d := range fleet.Demands(n.lastRound.ix, n.config.Fleet) {
		reserved += float64(d.Headroom)
		r.hardDemand[d.Pool.Spec.ID] = append(r.hardDemand[d.Pool.Spec.ID], float64(d.Hard))
	}
	r.reserved = append(r.reserved, reserved)
}

func (r *policyRun) run() {
	warmup := int(policyWarmup / time.Second)
	done := r.waveDone("kernel")
	for step := 0; ; step++ {
		r.runScheduled()
		r.load(time.Second)
		r.step(time.Second)
		if step < 300 {
			continue
		}
		if step == warmup {
			r.recordWaveStart()
		}
		if step > warmup && !r.withoutFailures {
			r.injectFailures(step - warmup)
		}
		r.measure()
		now := r.platform.Now()
		if r.end == 0 && (done() || now.Sub(simStart) > policyTimeLimit) {
			r.end = now
		}
		if r.end > 0 && now.Sub(r.end) > policyCooldown && (r.withoutFailures || step > warmup+3800) {
			return
		}
	}
}

// lowerBound returns the shortest time in which the budgets and the load allow
// the wave. The site has to keep the VMs that its work needs. A VM is
// unavailable for at least a reboot and a soak, after its tasks that must not
// be interrupted have ended, and a VM that failed before its maintenance for a
// soak after its repair.
func (r *policyRun) lowerBound() time.Duration {
	cycle := policyReboot + policyReboot/4 + policySoak
	unavailable := float64(policyVMs)
	for _, hard := range r.hardDemand {
		unavailable -= mean(hard)
	}
	rounds := policyVMs / max(unavailable, 1)
	return max(time.Duration(rounds*float64(cycle)), r.uninterruptible+cycle, r.repaired+policySoak)
}

func (r *policyRun) recordWaveStart() {
	r.generations = map[model.VMID]uint64{}
	for id, o := range r.view().Owners {
		r.generations[id] = o.Generation
	}
	for _, t := range r.view().Tasks {
		job := r.view().Jobs[t.Job]
		if job == nil || job.Spec.Idempotent && t.Priority != model.Urgent {
			continue
		}
		left := r.work[t.Job].Runtime - r.platform.Now().Sub(t.Started)
		r.uninterruptible = max(r.uninterruptible, left)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
