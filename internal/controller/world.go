package controller

import (
	"context"
	"maps"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// observedState is what the platform reported last.
type observedState struct {
	vms map[model.VMID]platform.VMReport
	// vmsListedAt is when the platform made the list, by its own clock;
	// vmsRequestedAt is when the list was requested, by the clock of this node.
	vmsListedAt    model.Instant
	vmsRequestedAt model.Instant
	vmsCursor      platform.Cursor
	vmsFullListAt  model.Instant
	// listed holds vms in the form that decisions read.
	listed map[model.VMID]*model.VM

	tasks            map[model.TaskID]platform.TaskReport
	tasksListedAt    model.Instant
	tasksRequestedAt model.Instant
	tasksCursor      platform.Cursor
	tasksFullListAt  model.Instant
	// missing holds the tasks that the platform does not run, according to its
	// answer to a renewal.
	missing map[model.TaskID]bool
	// confirmedLeases is the lease that the platform confirmed for each task.
	confirmedLeases map[model.TaskID]model.Instant

	usage       map[model.TaskID]fleet.Usage
	usageCursor platform.Cursor

	// changes counts the changes that the platform reported. listedChanges is
	// the value of changes for which listed was built, and prunedIndex the index
	// of the state for which ended tasks were pruned.
	changes, listedChanges, prunedIndex uint64

	absence fleet.Absence
	absent  map[model.VMID]model.Instant
}

func newObservedState() *observedState {
	return &observedState{
		vms:             map[model.VMID]platform.VMReport{},
		listed:          map[model.VMID]*model.VM{},
		tasks:           map[model.TaskID]platform.TaskReport{},
		missing:         map[model.TaskID]bool{},
		confirmedLeases: map[model.TaskID]model.Instant{},
		usage:           map[model.TaskID]fleet.Usage{},
	}
}

// fullListInterval is how often full lists are requested although only changes
// are needed, so that a lost change is repaired.
const fullListInterval = 10 * time.Minute

// cursorAt returns the cursor to request with: an empty one, which requests the
// full list, when the last full list is older than fullListInterval.
func cursorAt(now, fullAt model.Instant, cursor platform.Cursor) platform.Cursor {
	if now.Sub(fullAt) > fullListInterval {
		return ""
	}
	return cursor
}

// observe requests changes from the platform. Data that can't be read stays as
// it was.
//
// An answer to a different request, such as one that arrives late, may lack
// changes that its next cursor skips, so that the end of a task would never be
// seen. Every answer names the cursor that was requested; an answer for another
// cursor is dropped.
func (c *Controller) observe(ctx context.Context) {
	o := c.softState.observed
	now := c.config.Clock()
	since := cursorAt(now, o.vmsFullListAt, o.vmsCursor)
	vms, err := c.config.Platform.VMs(ctx, since)
	if !c.counters.observationSucceeded(err) {
		return // further requests to an unavailable platform would delay the round
	}
	if vms.Since == since {
		o.applyVMList(vms, now)
	}
	since = cursorAt(now, o.tasksFullListAt, o.tasksCursor)
	if list, err := c.config.Platform.Tasks(ctx, since); c.counters.observationSucceeded(err) && list.Since == since {
		o.applyTaskList(list, now)
	}
	if list, err := c.config.Platform.Usage(ctx, o.usageCursor); c.counters.observationSucceeded(err) {
		c.applyUsage(list)
	}
	view := c.config.Log.View()
	if view.Index != o.prunedIndex {
		o.prunedIndex = view.Index
		o.pruneTasks(view)
	}
	if o.changes != o.listedChanges || len(o.listed) != len(o.vms) {
		o.listedChanges = o.changes
		o.rebuildListed(view)
	}
	if o.vmsFullListAt > 0 {
		o.absent = o.absence.Observe(now, o.listed, view.Owners)
	}
}

// stale reports whether the list of VMs is too old for planned disruptions: VMs
// that it shows as up may have failed. A new leader's list is stale until it
// has a full one: an answer to an earlier request may hold only some VMs, and
// the others are not lost.
func (c *Controller) stale(now model.Instant) bool {
	o := c.softState.observed
	return o.vmsFullListAt == 0 || now.Sub(o.vmsRequestedAt) > c.config.StaleAfter
}

// applyVMList applies a list. A list made before the current one is a late
// answer and is dropped; it would show VMs as up that have failed since.
func (o *observedState) applyVMList(list platform.VMList, now model.Instant) {
	if list.At <= o.vmsListedAt || list.Next == "" {
		return
	}
	if list.Full {
		clear(o.vms)
		o.vmsFullListAt = now
	}
	for _, id := range list.Removed {
		delete(o.vms, id)
	}
	o.changes += uint64(len(list.VMs) + len(list.Removed))
	for _, report := range list.VMs {
		if known, ok := o.vms[report.VM]; !ok || report.Revision >= known.Revision {
			o.vms[report.VM] = report
		}
	}
	o.vmsListedAt, o.vmsRequestedAt = list.At, now
	o.vmsCursor = list.Next
}

func (o *observedState) applyTaskList(list platform.TaskList, now model.Instant) {
	if list.At <= o.tasksListedAt || list.Next == "" {
		return
	}
	if list.Full {
		o.tasksFullListAt = now
	}
	for _, report := range list.Tasks {
		o.applyTaskReport(report)
	}
	o.changes += uint64(len(list.Tasks))
	o.tasksListedAt, o.tasksRequestedAt = list.At, now
	o.tasksCursor = list.Next
}

// applyTaskReport applies a report unless a later one is known. A task that
// ended stays ended, whatever reports arrive late.
func (o *observedState) applyTaskReport(report platform.TaskReport) {
	known, ok := o.tasks[report.Task]
	if ok && (known.Ended != "" || report.Revision < known.Revision) {
		return
	}
	o.tasks[report.Task] = report
	if report.Ended == "" {
		delete(o.missing, report.Task)
	}
}

// pruneTasks drops the data of tasks that are no longer in the state.
func (o *observedState) pruneTasks(view *state.View) {
	pruneMissingTasks(o.tasks, view)
	pruneMissingTasks(o.missing, view)
	pruneMissingTasks(o.confirmedLeases, view)
	// Status may still read the usage map of the last round.
	o.usage = maps.Clone(o.usage)
	pruneMissingTasks(o.usage, view)
}

func pruneMissingTasks[T any](known map[model.TaskID]T, view *state.View) {
	for id := range known {
		if view.Tasks[id] == nil {
			delete(known, id)
		}
	}
}

// rebuildListed builds the VMs as decisions read them, with their measured
// usage.
func (o *observedState) rebuildListed(view *state.View) {
	o.listed = make(map[model.VMID]*model.VM, len(o.vms))
	for id, r := range o.vms {
		o.listed[id] = &model.VM{
			ID: id, Worker: r.Worker, Zone: r.Zone, Rack: r.Rack, Capacity: r.Capacity,
			Health: platform.ParseHealth(r.Health), HealthSince: r.HealthSince,
			BootID: r.BootID, Drained: r.Drained,
		}
	}
	for id, u := range o.usage {
		t := view.Tasks[id]
		if t == nil {
			continue
		}
		if vm := o.listed[t.VM]; vm != nil {
			vm.Usage = vm.Usage.Plus(u.Used)
			vm.UsageAt = max(vm.UsageAt, u.At)
		}
	}
}

// applyUsage applies usage measurements and adds them to the size estimates.
func (c *Controller) applyUsage(list platform.UsageList) {
	o := c.softState.observed
	view := c.config.Log.View()
	if len(list.Usage) > 0 {
		o.usage = maps.Clone(o.usage)
	}
	for _, u := range list.Usage {
		t := view.Tasks[u.Task]
		if t == nil || u.At < o.usage[u.Task].At {
			continue
		}
		o.usage[u.Task] = fleet.Usage{Used: u.Used, At: u.At}
		if job := view.Jobs[t.Job]; job != nil {
			c.softState.sizes.Observe(&job.Spec, t, usageSample(u))
		}
	}
	o.changes += uint64(len(list.Usage))
	if list.Next != "" {
		o.usageCursor = list.Next
	}
}

// returned returns the VMs with a permit for which the platform has accepted
// the permit's last step, an undrain or a return.
func (o *observedState) returned(view *state.View) map[model.VMID]bool {
	returned := map[model.VMID]bool{}
	for id, p := range view.Permits {
		f := o.vms[id].Fence
		if f.Generation == p.Generation && f.Step == platform.Undrain.Step() {
			returned[id] = true
		}
	}
	return returned
}
