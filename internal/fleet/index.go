package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Index joins the tables of one snapshot for cheap queries. It is built for
// one round of decisions and used by one goroutine. Plan enters the planned
// actions, so that later decisions of the same round see them.
type Index struct {
	Snap *Snapshot
	// VMs are all VMs that are listed or have an entry, by ID.
	VMs []*VM
	// Pools and Services are those of the manifest, in its order.
	Pools    []*Pool
	Services []*Service
	// Spares are the VMs whose entry names no pool, by ID.
	Spares []*VM
	// Total is the sum of the capacities of all listed VMs.
	Total model.Resources
	// UnknownVMTasks are the tasks on VMs that are neither listed nor have an entry.
	UnknownVMTasks []*model.Task
	// Queue holds the queued jobs in the order of Submitted, then ID.
	Queue []*model.Job
	// Zones and Racks are the names of the failure domains by number; the name
	// of a rack starts with that of its availability zone.
	Zones []model.ZoneID
	Racks []string
	// RackZone is the number of each rack's availability zone.
	RackZone []int

	vms        map[model.VMID]*VM
	workers    map[model.WorkerID]*VM
	pools      map[model.PoolID]*Pool
	services   map[model.ServiceID]*Service
	teams      map[model.TeamID]*Team
	zones      map[model.ZoneID]int
	racks      map[string]int
	newJobs    map[model.JobID]*model.Job
	planned    planned
	violations []state.Violation
}

// Pool is a pool of the manifest with its VMs.
type Pool struct {
	Spec *model.Pool
	// VMs are those whose entry names the pool, by ID; they include those
	// moving out.
	VMs []*VM
	// Incoming are the VMs that move to the pool, by ID.
	Incoming []*VM
	// Services are those that run on the pool.
	Services []*Service
	// Wave is the wave of the pool that started last, or nil.
	Wave *model.Wave
}

// Service is a service of the manifest with its tasks.
type Service struct {
	Spec *model.Service
	// Tasks holds the task of each ordinal, nil where there is none.
	Tasks []*model.Task
	// Extra are the tasks of ordinals beyond the number of instances.
	Extra []*model.Task
	// Available counts the instances that serve on a healthy VM which is
	// neither under a permit nor quarantined.
	Available int
}

// planned holds what the actions entered by Plan in this round change.
type planned struct {
	// jobs holds, for each job that an action starts or changes, whether it is
	// no longer queued.
	jobs  map[model.JobID]bool
	ended map[model.TaskID]bool
	// forgotten counts the entries dropped.
	forgotten int
}

// NewIndex builds the index of a snapshot. A snapshot without a manifest
// yields an index without pools, for which nothing is decided.
func NewIndex(s *Snapshot) *Index {
	ix := &Index{
		Snap:     s,
		vms:      make(map[model.VMID]*VM, len(s.VMs)),
		workers:  make(map[model.WorkerID]*VM, len(s.VMs)),
		pools:    make(map[model.PoolID]*Pool),
		services: make(map[model.ServiceID]*Service),
		teams:    make(map[model.TeamID]*Team),
		zones:    make(map[model.ZoneID]int),
		racks:    make(map[string]int),
		newJobs:  make(map[model.JobID]*model.Job),
		planned:  planned{jobs: make(map[model.JobID]bool), ended: make(map[model.TaskID]bool)},
	}
	ix.addSite()
	ix.addVMs()
	ix.addPoolMembers()
	ix.addTasks()
	ix.countAvailable()
	ix.addJobs()
	return ix
}

// VM returns the VM, or nil when it is neither listed nor has an entry.
func (ix *Index) VM(id model.VMID) *VM { return ix.vms[id] }

// Worker returns the VM of a worker, or nil when the platform does not list it.
func (ix *Index) Worker(id model.WorkerID) *VM { return ix.workers[id] }

// Pool returns the pool, or nil when the manifest has none of this ID.
func (ix *Index) Pool(id model.PoolID) *Pool { return ix.pools[id] }

// Service returns the service, or nil when the manifest has none of this ID.
func (ix *Index) Service(id model.ServiceID) *Service { return ix.services[id] }

// Team returns the team, or nil when the manifest has none of this ID.
func (ix *Index) Team(id model.TeamID) *Team { return ix.teams[id] }

// Job returns the job, or nil when it is not recorded.
func (ix *Index) Job(id model.JobID) *model.Job {
	if j := ix.newJobs[id]; j != nil {
		return j
	}
	return ix.Snap.View.Jobs[id]
}

// AddNewJobs adds jobs that were submitted after the snapshot was taken, so that
// decisions about them need no new index.
func (ix *Index) AddNewJobs(jobs ...*model.Job) {
	for _, j := range jobs {
		ix.newJobs[j.Spec.ID] = j
	}
}

// Now returns the instant of the snapshot.
func (ix *Index) Now() model.Instant { return ix.Snap.Now }

// LeaseUntil returns the end of a lease that begins now.
func (ix *Index) LeaseUntil() model.Instant {
	return ix.Snap.Now.Add(cmp.Or(ix.Snap.Lease, DefaultLease))
}

// Lease returns how long a new lease lasts.
func (ix *Index) Lease() time.Duration { return cmp.Or(ix.Snap.Lease, DefaultLease) }

// Policy returns the weights of the manifest; they are zero without a manifest.
func (ix *Index) Policy() model.Policy {
	if ix.Snap.View.Site == nil {
		return model.Policy{}
	}
	return ix.Snap.View.Site.Policy
}

// Available counts the available instances of a service.
func (ix *Index) Available(id model.ServiceID) int {
	if s := ix.services[id]; s != nil {
		return s.Available
	}
	return 0
}

// StartPlanned reports whether an action planned in this round starts the job
// or takes it out of the queue in another way.
func (ix *Index) StartPlanned(id model.JobID) bool { return ix.planned.jobs[id] }

// InstanceAvailable reports whether a task counts as an available instance.
func (ix *Index) InstanceAvailable(t *model.Task) bool {
	v := ix.vms[t.VM]
	return v != nil && ix.Snap.Serving[t.ID] && v.Healthy() && v.Permit == nil && v.Quarantine == nil
}

// Charge returns the estimated resources that a task needs of its worker now.
func (ix *Index) Charge(t *model.Task) model.Resources {
	u := ix.Snap.Usage[t.ID]
	return estimate.Charge(t, estimate.Usage{Used: u.Used, At: u.At}, ix.Snap.Now)
}

func (ix *Index) addSite() {
	site := ix.Snap.View.Site
	if site == nil {
		return
	}
	for i := range site.Pools {
		p := &Pool{Spec: &site.Pools[i], Wave: currentWave(site, site.Pools[i].ID, ix.Snap.Now)}
		ix.Pools = append(ix.Pools, p)
		ix.pools[p.Spec.ID] = p
	}
	for i := range site.Services {
		ix.addService(&site.Services[i])
	}
	for i := range site.Teams {
		ix.teams[site.Teams[i].ID] = &Team{Spec: &site.Teams[i]}
	}
}

func (ix *Index) addService(spec *model.Service) {
	s := &Service{Spec: spec, Tasks: make([]*model.Task, max(spec.Instances, 0))}
	ix.Services = append(ix.Services, s)
	ix.services[spec.ID] = s
	if p := ix.pools[spec.Pool]; p != nil {
		p.Services = append(p.Services, s)
	}
}

// currentWave returns the wave of the pool that started last, or nil.
func currentWave(site *model.Site, pool model.PoolID, now model.Instant) *model.Wave {
	var current *model.Wave
	for i := range site.Waves {
		w := &site.Waves[i]
		if w.Start > now || !slices.Contains(w.Pools, pool) {
			continue
		}
		if current == nil || w.Start > current.Start {
			current = w
		}
	}
	return current
}

func (ix *Index) addVMs() {
	view := ix.Snap.View
	for id, listed := range ix.Snap.VMs {
		ix.addVM(&VM{ID: id, Listed: listed, Owner: view.Owners[id], Permit: view.Permits[id]})
	}
	for id, owner := range view.Owners {
		if ix.vms[id] == nil {
			ix.addVM(&VM{ID: id, Owner: owner, Permit: view.Permits[id]})
		}
	}
	slices.SortFunc(ix.VMs, func(a, b *VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, v := range ix.VMs {
		ix.addDomain(v)
		ix.Total = ix.Total.Plus(v.Capacity())
		v.Block = v.block()
	}
}

func (ix *Index) addVM(v *VM) {
	ix.vms[v.ID] = v
	ix.VMs = append(ix.VMs, v)
	if v.Listed != nil {
		ix.workers[v.Listed.Worker] = v
		v.Quarantine = ix.Snap.View.Quarantines[v.Listed.Worker]
	}
}

// addDomain numbers the VM's availability zone and rack. VMs are added in the
// order of their IDs, so that equal snapshots yield equal numbers.
func (ix *Index) addDomain(v *VM) {
	v.Zone, v.Rack = -1, -1
	if v.Listed == nil {
		return
	}
	zone, ok := ix.zones[v.Listed.Zone]
	if !ok {
		zone = len(ix.Zones)
		ix.zones[v.Listed.Zone] = zone
		ix.Zones = append(ix.Zones, v.Listed.Zone)
	}
	name := string(v.Listed.Zone) + "/" + string(v.Listed.Rack)
	rack, ok := ix.racks[name]
	if !ok {
		rack = len(ix.Racks)
		ix.racks[name] = rack
		ix.Racks = append(ix.Racks, name)
		ix.RackZone = append(ix.RackZone, zone)
	}
	v.Zone, v.Rack = zone, rack
}
