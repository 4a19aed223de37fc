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

// policySite is one site's size and load.
type policySite struct {
	name   string
	zones  int
	size   model.Resources
	policy model.Policy
	// least are the services' min_available, of 10 instances each.
	least [5]int
}

var policySites = []policySite{
	{"PortKlang", 4, cores(32), model.Policy{MoveWeight: 0.8, BufferWeight: 0.2}, [5]int{7, 7, 6, 6, 6}},
	{"Kapljica", 3, cores(16), model.Policy{MoveWeight: 0.3, BufferWeight: 0.7}, [5]int{6, 6, 5, 5, 5}},
}

const (
	policyVMs    = 50
	policySoak   = 2 * time.Minute
	policyReboot = 90 * time.Second
	policyWarm   = 40 * time.Minute
	policyCool   = 20 * time.Minute
	policyLimit  = 14 * time.Hour
)

var policyPools = []model.PoolID{"urgent", "daily", "night"}

func (p policySite) site() model.Site {
	unit := p.size.MilliCPU / 8
	service := func(i int, pool model.PoolID, priority model.Priority) model.Service {
		return model.Service{
			ID: model.ServiceID(fmt.Sprint("service", i)), Pool: pool, Instances: 10, MinAvailable: p.least[i],
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
		Waves: []model.Wave{{ID: "kernel", Pools: policyPools, Start: simStart.Add(policyWarm), Soak: policySoak}},
	}
}

// policyRun carries one wave through a site under load and failures, and
// measures.
type policyRun struct {
	*sim
	policySite
	random *rand.Rand
	// calm leaves the failures out.
	calm bool
	used map[model.JobID]standin.Work
	jobs []model.JobID

	submitted map[model.JobID]model.Instant
	waits     []float64
	// stops counts the moves by the wave, yields the stops for other work.
	stops  map[model.JobID]int
	yields int
	// hurt are the availability zones with failures that a service has not
	// recovered from.
	hurt       map[model.ServiceID]map[model.ZoneID]bool
	violations int
	worstDip   int
	held       []float64
	hardJobs   map[model.PoolID][]float64
	end        model.Instant
	later      []deferred
	// uncuttable is the longest run time that was left, when the wave began, of
	// a task that must not be cut.
	uncuttable time.Duration
	// repaired is when, since the wave began, the last VM was repaired that
	// failed before it was done.
	repaired time.Duration
	// generations are those of the VMs' entries when the wave began.
	generations map[model.VMID]uint64
}

func newPolicyRun(p policySite, ideas wave.Ideas, seed uint64) *policyRun {
	r := &policyRun{
		policySite: p, random: rand.New(rand.NewPCG(seed, 11)),
		used: map[model.JobID]standin.Work{}, submitted: map[model.JobID]model.Instant{}, stops: map[model.JobID]int{},
		hurt: map[model.ServiceID]map[model.ZoneID]bool{}, hardJobs: map[model.PoolID][]float64{},
	}
	vms := siteVMs(p.zones, policyVMs, 4, p.size)
	r.sim = newSim(simOptions{
		seed: seed, site: p.site(),
		platform: standin.Config{
			VMs: vms, RebootTime: policyReboot, StopGrace: 2 * time.Second,
			Behaviour: func(s platform.TaskSpec) standin.Work { return r.used[s.Job] },
			OnStop:    r.noteStop,
		},
		config: Config{Wave: wave.Options{Ideas: ideas}},
	})
	r.onStart = r.noteStart
	return r
}

// deferred is something that happens at a set time.
type deferred struct {
	at model.Instant
	do func()
}

func (r *policyRun) due() {
	now := r.platform.Now()
	for i := len(r.later) - 1; i >= 0; i-- {
		if d := r.later[i]; d.at <= now {
			r.later = slices.Delete(r.later, i, i+1)
			d.do()
		}
	}
}

func (r *policyRun) noteStart(s standin.Running) {
	at, known := r.submitted[s.Job]
	if known && r.view().Jobs[s.Job].Spec.Priority == model.Urgent {
		r.waits = append(r.waits, r.platform.Now().Sub(at).Seconds())
	}
	delete(r.submitted, s.Job)
}

func (r *policyRun) noteStop(s standin.Running) {
	j := r.view().Jobs[s.Job]
	if j == nil || s.Killed || j.Cancelled {
		return
	}
	if r.view().Permits[s.VM] != nil {
		r.stops[s.Job]++
		return
	}
	r.yields++
}

// policyLies are the factors by which the pools' jobs declare too much, of
// size and of run time; each job is off by a little more.
var policyLies = map[model.PoolID][2]float64{"urgent": {2, 0.5}, "daily": {0.5, 2}, "night": {2.5, 0.4}}

func (r *policyRun) lie(pool model.PoolID, what int) float64 {
	return policyLies[pool][what] * math.Exp(r.random.NormFloat64()*0.2)
}

func (r *policyRun) submitJob(pool model.PoolID, p model.Priority, share float64, runtime time.Duration) {
	id := model.JobID(fmt.Sprintf("job%05d", len(r.jobs)))
	used := r.size.Scale(share)
	declared := used.Scale(r.lie(pool, 0))
	really := time.Duration(float64(runtime) * (0.5 + r.random.Float64()))
	r.used[id] = standin.Work{Runtime: really, Used: used}
	spec := model.JobSpec{
		ID: id, Team: "planners", Pool: pool, Kind: fmt.Sprint(pool, p), Priority: p, Declared: declared,
		Runtime: time.Duration(float64(runtime) * r.lie(pool, 1)), Idempotent: r.random.IntN(10) > 0,
		Checkpoints: p == model.Batch && r.random.IntN(3) > 0, Throttleable: p == model.Batch,
	}
	r.submit(spec)
	r.jobs = append(r.jobs, id)
	r.submitted[id] = r.platform.Now()
}

// load submits the jobs of a step.
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

// failures are what goes wrong at set times of the wave.
func (r *policyRun) failures(step int) {
	vms := r.platform.Truth()
	pick := func() standin.Truth { return vms[r.random.IntN(len(vms))] }
	switch step {
	case 200:
		r.fail(standin.OneVM(pick().ID), 8*time.Minute)
	case 420:
		v := pick()
		r.fail(standin.Rack(v.Zone, v.Rack), 12*time.Minute)
	case 1400, 1400 + 8*60 + 20:
		// A second loss of the same VM right after its repair.
		r.fail(standin.OneVM("vm007"), 8*time.Minute)
	case 2400:
		r.fail(standin.Zone("az2"), 15*time.Minute)
	case 300, 900:
		r.cancelStorm()
	}
}

func (r *policyRun) fail(which standin.Select, repair time.Duration) {
	for _, v := range r.platform.Truth() {
		if !which(v.VM) {
			continue
		}
		if m := r.view().Maintained[v.ID]; m == nil && r.end == 0 {
			r.repaired = max(r.repaired, r.platform.Now().Add(repair).Sub(simStart.Add(policyWarm)))
		}
		for service := range v.Instances {
			if r.hurt[service] == nil {
				r.hurt[service] = map[model.ZoneID]bool{}
			}
			r.hurt[service][v.Zone] = true
		}
	}
	r.platform.Fail(which)
	r.later = append(r.later, deferred{r.platform.Now().Add(repair), func() { r.platform.Repair(which) }})
}

func (r *policyRun) cancelStorm() {
	for range 150 {
		r.submitJob("night", model.Batch, 0.2, 45*time.Minute)
	}
	r.step(time.Second)
	storm := r.jobs[len(r.jobs)-150:]
	r.propose(state.Command{CancelJobs: &state.CancelJobs{Jobs: storm}})
}

// measure looks at the truth after a step.
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
			delete(r.hurt, s.ID)
		}
		short := s.MinAvailable - up[s.ID]
		if short > 0 && len(r.hurt[s.ID]) <= 1 {
			r.violations++
			r.worstDip = max(r.worstDip, short)
		}
	}
	n := r.node(r.log.leader)
	if n.last == nil {
		return
	}
	held := float64(fleet.SparesNeeded(n.last.ix, n.config.Fleet).Needed)
	for _, d := range fleet.Demands(n.last.ix, n.config.Fleet) {
		held += float64(d.Headroom)
		r.hardJobs[d.Pool.Spec.ID] = append(r.hardJobs[d.Pool.Spec.ID], float64(d.Hard))
	}
	r.held = append(r.held, held)
}

func (r *policyRun) run() {
	warm := int(policyWarm / time.Second)
	done := r.waveDone("kernel")
	for step := 0; ; step++ {
		r.due()
		r.load(time.Second)
		r.step(time.Second)
		if step < 300 {
			continue
		}
		if step == warm {
			r.noteStartOfWave()
		}
		if step > warm && !r.calm {
			r.failures(step - warm)
		}
		r.measure()
		now := r.platform.Now()
		if r.end == 0 && (done() || now.Sub(simStart) > policyLimit) {
			r.end = now
		}
		if r.end > 0 && now.Sub(r.end) > policyCool && (r.calm || step > warm+3800) {
			return
		}
	}
}

// lowerBound is the least time that the budgets and the load allow the wave:
// the site has to keep the VMs that its work needs, and a VM is away for a
// reboot and a soak at least, once the tasks that must not be cut have ended;
// one that failed before it was done, for a soak after its repair.
func (r *policyRun) lowerBound() time.Duration {
	cycle := policyReboot + policyReboot/4 + policySoak
	away := float64(policyVMs)
	for _, hard := range r.hardJobs {
		away -= mean(hard)
	}
	rounds := policyVMs / max(away, 1)
	return max(time.Duration(rounds*float64(cycle)), r.uncuttable+cycle, r.repaired+policySoak)
}

func (r *policyRun) noteStartOfWave() {
	r.generations = map[model.VMID]uint64{}
	for id, o := range r.view().Owners {
		r.generations[id] = o.Generation
	}
	for _, t := range r.view().Tasks {
		job := r.view().Jobs[t.Job]
		if job == nil || job.Spec.Idempotent && t.Priority != model.Urgent {
			continue
		}
		left := r.used[t.Job].Runtime - r.platform.Now().Sub(t.Started)
		r.uncuttable = max(r.uncuttable, left)
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
