package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// builder builds a Status from a view.
type builder struct {
	view    *state.View
	sources Sources
	now     model.Instant
	site    *model.Site
	// vmTasks holds the number of tasks, quarantines the reason of the quarantine,
	// by VM.
	vmTasks     map[model.VMID]int
	quarantines map[model.VMID]string
}

// BuildStatus returns the status of a view at the time now, completed by the
// sources.
func BuildStatus(view *state.View, sources Sources, now model.Instant) Status {
	b := &builder{
		view:        view,
		sources:     sources,
		now:         now,
		site:        view.Site,
		vmTasks:     map[model.VMID]int{},
		quarantines: map[model.VMID]string{},
	}
	if b.site == nil {
		b.site = &model.Site{}
	}
	for _, task := range view.Tasks {
		b.vmTasks[task.VM]++
	}
	for _, quarantine := range view.Quarantines {
		b.quarantines[quarantine.VM] = quarantine.Reason
	}
	return b.status()
}

func (b *builder) status() Status {
	status := Status{
		Site:        b.site.Name,
		Revision:    b.site.Revision,
		Digest:      b.view.ManifestDigest,
		Index:       b.view.Index,
		StateDigest: b.view.Digest,
		Term:        b.view.Term,
		Pools:       b.pools(),
		VMs:         b.vms(),
		Budgets:     b.budgets(),
		Waves:       b.waves(),
		Jobs:        b.jobs(),
		Violations:  append([]state.Violation{}, state.Check(b.view)...),
	}
	if b.sources.Violations != nil {
		status.Violations = append(status.Violations, b.sources.Violations()...)
	}
	if b.sources.Measures != nil {
		status.Measures = b.sources.Measures()
	}
	return status
}

func (b *builder) pools() []PoolStatus {
	pools := make([]PoolStatus, 0, len(b.site.Pools)+1)
	for i := range b.site.Pools {
		p := &b.site.Pools[i]
		pools = append(pools, PoolStatus{Pool: p.ID, Min: p.MinVMs, Max: p.MaxVMs})
	}
	pools = append(pools, PoolStatus{})
	byID := make(map[model.PoolID]*PoolStatus, len(pools))
	for i := range pools {
		byID[pools[i].Pool] = &pools[i]
	}
	for id, owner := range b.view.Owners {
		b.countVM(byID[owner.Pool], owner, id)
		if target := byID[owner.Target]; owner.Moving && target != nil {
			target.Arriving++
		}
	}
	return pools
}

// countVM adds a VM to its pool; p is nil when the pool is no longer in the
// manifest.
func (b *builder) countVM(p *PoolStatus, owner *model.Ownership, id model.VMID) {
	if p == nil {
		return
	}
	p.Tasks += b.vmTasks[id]
	if owner.Moving {
		p.Leaving++
		return
	}
	p.VMs++
	if b.view.Permits[id] != nil {
		p.Maintenance++
	}
	if b.quarantines[id] != "" {
		p.Quarantined++
	}
}

func (b *builder) vms() []VMStatus {
	listed := map[model.VMID]*model.VM{}
	if b.sources.VMs != nil {
		listed = b.sources.VMs()
	}
	vms := make([]VMStatus, 0, len(b.view.Owners))
	for _, id := range slices.Sorted(maps.Keys(b.view.Owners)) {
		vms = append(vms, b.vm(b.view.Owners[id], listed[id]))
	}
	return vms
}

func (b *builder) vm(owner *model.Ownership, listed *model.VM) VMStatus {
	vm := VMStatus{
		VM:         owner.VM,
		Pool:       owner.Pool,
		Target:     owner.Target,
		Moving:     owner.Moving,
		Reason:     owner.Reason,
		Since:      owner.Since.Time(),
		Generation: owner.Generation,
		Quarantine: b.quarantines[owner.VM],
		Tasks:      b.vmTasks[owner.VM],
	}
	if permit := b.view.Permits[owner.VM]; permit != nil {
		vm.Wave = permit.Wave
		vm.Phase = permit.Phase.String()
	}
	if listed != nil {
		vm.Health = listed.Health.String()
		vm.Zone = listed.Zone
		vm.Rack = listed.Rack
	}
	return vm
}

// budgets returns the controller's budgets. Where there are none, it computes
// them from the tables alone: an instance is available when its task runs on a
// VM without a permit.
func (b *builder) budgets() []BudgetStatus {
	if b.sources.Budgets != nil {
		if budgets := b.sources.Budgets(); budgets != nil {
			return budgets
		}
	}
	available := map[model.ServiceID]int{}
	for _, task := range b.view.Tasks {
		if task.State == model.TaskRunning && b.view.Permits[task.VM] == nil {
			available[task.Service]++
		}
	}
	budgets := make([]BudgetStatus, 0, len(b.site.Services))
	for i := range b.site.Services {
		s := &b.site.Services[i]
		budgets = append(budgets, BudgetStatus{
			Service:      s.ID,
			Pool:         s.Pool,
			Instances:    s.Instances,
			MinAvailable: s.MinAvailable,
			Available:    available[s.ID],
			Remaining:    available[s.ID] - s.MinAvailable,
			Reason:       "by the tables alone; the leader's status also counts health and the next failure",
		})
	}
	return budgets
}

func (b *builder) waves() []WaveStatus {
	var reasons map[model.WaveID]string
	if b.sources.Waves != nil {
		reasons = b.sources.Waves()
	}
	waves := make([]WaveStatus, 0, len(b.site.Waves))
	for i := range b.site.Waves {
		wave := b.wave(&b.site.Waves[i])
		wave.Reason = reasons[wave.Wave]
		waves = append(waves, wave)
	}
	return waves
}

func (b *builder) wave(w *model.Wave) WaveStatus {
	status := WaveStatus{Wave: w.ID, Start: w.Start.Time(), State: "scheduled"}
	for id, owner := range b.view.Owners {
		permit := b.view.Permits[id]
		switch {
		case permit != nil && permit.Wave == w.ID:
			status.UnderMaintenance++
		case !slices.Contains(w.Pools, owner.Pool):
			continue
		case state.WaveDone(w, b.view.Maintained[id]):
			status.Done++
		default:
			status.Waiting++
		}
	}
	status.VMs = status.Done + status.UnderMaintenance + status.Waiting
	if b.now < w.Start {
		return status
	}
	status.State = "running"
	if status.UnderMaintenance+status.Waiting == 0 {
		status.State = "done"
		return status
	}
	status.EstimatedEnd = b.estimateEnd(w, status)
	return status
}

// estimateEnd extrapolates the average time per VM so far.
func (b *builder) estimateEnd(w *model.Wave, s WaveStatus) *time.Time {
	if s.Done == 0 {
		return nil
	}
	perVM := b.now.Sub(w.Start) / time.Duration(s.Done)
	end := b.now.Add(perVM * time.Duration(s.UnderMaintenance+s.Waiting)).Time()
	return &end
}

// maxWaiting is the maximum number of waiting jobs in a status.
const maxWaiting = 100

func (b *builder) jobs() JobsStatus {
	status := JobsStatus{Counts: map[string]int{}, Waiting: []JobStatus{}}
	var waiting []*model.Job
	for _, job := range b.view.Jobs {
		status.Counts[job.State.String()]++
		if isWaiting(job) {
			waiting = append(waiting, job)
		}
	}
	slices.SortFunc(waiting, compareJobs)
	for _, job := range waiting[:min(len(waiting), maxWaiting)] {
		status.Waiting = append(status.Waiting, describeJob(job))
	}
	return status
}

// isWaiting reports whether the job is in a state for which an operator may need
// the reason why it does not run.
func isWaiting(job *model.Job) bool {
	switch job.State {
	case model.JobQueued, model.JobHeld, model.JobUnplaceable, model.JobOutcomeUnknown:
		return true
	default:
		return false
	}
}

// compareJobs sorts by priority, urgent first, then by submission time.
func compareJobs(a, b *model.Job) int {
	return cmp.Or(
		cmp.Compare(b.Spec.Priority, a.Spec.Priority),
		cmp.Compare(a.Submitted, b.Submitted),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

func describeJob(job *model.Job) JobStatus {
	return JobStatus{
		Job:       job.Spec.ID,
		Team:      job.Spec.Team,
		Pool:      job.Spec.Pool,
		Priority:  job.Spec.Priority.String(),
		State:     job.State.String(),
		Reason:    job.Reason,
		Submitted: job.Submitted.Time(),
		Changed:   job.Changed.Time(),
		Attempts:  job.Attempts,
		Moves:     job.Moves,
	}
}

// poolLabel returns the name of a pool as the text format shows it.
func poolLabel(p model.PoolID) string {
	if p == "" {
		return "(spares)"
	}
	return string(p)
}

// locationLabel returns the pool of a VM, or both pools during a move.
func locationLabel(v VMStatus) string {
	if !v.Moving {
		return poolLabel(v.Pool)
	}
	return fmt.Sprintf("%s -> %s", poolLabel(v.Pool), poolLabel(v.Target))
}
