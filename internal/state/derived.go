package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// instanceKey identifies one instance of a service.
type instanceKey struct {
	service model.ServiceID
	ordinal int
}

// derived holds counts and indexes that are updated with each change, so that no
// check at apply reads a whole table. Snapshots don't contain it: a restore adds
// every row through the same functions.
type derived struct {
	vmTasks       map[model.VMID]int
	instanceTasks map[instanceKey]model.TaskID
	jobTasks      map[model.JobID]model.TaskID
	poolVMs       map[model.PoolID]int
	teamJobs      map[model.TeamID]int
	wavePermits   map[model.WaveID]int
	payloadBytes  int64
	answerBytes   int64
}

func newDerived() derived {
	return derived{
		vmTasks:       map[model.VMID]int{},
		instanceTasks: map[instanceKey]model.TaskID{},
		jobTasks:      map[model.JobID]model.TaskID{},
		poolVMs:       map[model.PoolID]int{},
		teamJobs:      map[model.TeamID]int{},
		wavePermits:   map[model.WaveID]int{},
	}
}

// addCount adds n to a count and removes the count if it becomes zero.
func addCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// destination returns the pool that a VM serves, or will serve after its move.
func destination(o *model.Ownership) model.PoolID {
	if o.Moving {
		return o.Target
	}
	return o.Pool
}

func (c *core) putOwner(o *model.Ownership) {
	if old := c.owners.get(o.VM); old != nil {
		addCount(c.derived.poolVMs, destination(old), -1)
	}
	addCount(c.derived.poolVMs, destination(o), 1)
	c.owners.put(o.VM, o)
}

func (c *core) removeOwner(o *model.Ownership) {
	addCount(c.derived.poolVMs, destination(o), -1)
	c.owners.remove(o.VM)
}

func (c *core) putPermit(p *model.Permit) {
	if old := c.permits.get(p.VM); old != nil {
		addCount(c.derived.wavePermits, old.Wave, -1)
	}
	addCount(c.derived.wavePermits, p.Wave, 1)
	c.permits.put(p.VM, p)
}

func (c *core) removePermit(p *model.Permit) {
	addCount(c.derived.wavePermits, p.Wave, -1)
	c.permits.remove(p.VM)
}

// countsAgainstTeam reports whether a job counts against its team's MaxJobs.
func countsAgainstTeam(j *model.Job) bool { return !j.State.Final() }

func (c *core) putJob(j *model.Job) {
	if old := c.jobs.get(j.Spec.ID); old != nil {
		c.countJob(old, -1)
	}
	c.countJob(j, 1)
	c.jobs.put(j.Spec.ID, j)
}

func (c *core) removeJob(j *model.Job) {
	c.countJob(j, -1)
	c.jobs.remove(j.Spec.ID)
	delete(c.specs, j.Spec.ID)
}

func (c *core) countJob(j *model.Job, n int) {
	c.derived.payloadBytes += int64(n * len(j.Spec.Payload))
	if countsAgainstTeam(j) {
		addCount(c.derived.teamJobs, j.Spec.Team, n)
	}
}

func (c *core) putTask(t *model.Task) {
	if c.tasks.get(t.ID) == nil {
		addCount(c.derived.vmTasks, t.VM, 1)
	}
	if t.Job != "" {
		c.derived.jobTasks[t.Job] = t.ID
	} else {
		c.derived.instanceTasks[instanceKey{t.Service, t.Ordinal}] = t.ID
	}
	c.tasks.put(t.ID, t)
}

func (c *core) removeTask(t *model.Task) {
	addCount(c.derived.vmTasks, t.VM, -1)
	if c.derived.jobTasks[t.Job] == t.ID {
		delete(c.derived.jobTasks, t.Job)
	}
	key := instanceKey{t.Service, t.Ordinal}
	if c.derived.instanceTasks[key] == t.ID {
		delete(c.derived.instanceTasks, key)
	}
	c.tasks.remove(t.ID)
}

// siteIndex indexes the parts of the manifest by ID.
type siteIndex struct {
	pools    map[model.PoolID]*model.Pool
	services map[model.ServiceID]*model.Service
	teams    map[model.TeamID]*model.Team
	waves    map[model.WaveID]*model.Wave
}

// newSiteIndex indexes a site; nil gives an empty index.
func newSiteIndex(s *model.Site) *siteIndex {
	i := &siteIndex{
		pools:    map[model.PoolID]*model.Pool{},
		services: map[model.ServiceID]*model.Service{},
		teams:    map[model.TeamID]*model.Team{},
		waves:    map[model.WaveID]*model.Wave{},
	}
	if s == nil {
		return i
	}
	for n := range s.Pools {
		i.pools[s.Pools[n].ID] = &s.Pools[n]
	}
	for n := range s.Services {
		i.services[s.Services[n].ID] = &s.Services[n]
	}
	for n := range s.Teams {
		i.teams[s.Teams[n].ID] = &s.Teams[n]
	}
	for n := range s.Waves {
		i.waves[s.Waves[n].ID] = &s.Waves[n]
	}
	return i
}
