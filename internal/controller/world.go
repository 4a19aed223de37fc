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

// world is what the platform said last.
type world struct {
	vms map[model.VMID]platform.VMReport
	// vmsAt is when the list was made, by the platform's clock; vmsSeen when
	// it was asked for, by ours.
	vmsAt     model.Instant
	vmsSeen   model.Instant
	vmsCursor platform.Cursor
	vmsFullAt model.Instant
	// listed is the form of vms that decisions read.
	listed map[model.VMID]*model.VM

	tasks       map[model.TaskID]platform.TaskReport
	tasksAt     model.Instant
	tasksSeen   model.Instant
	tasksCursor platform.Cursor
	tasksFullAt model.Instant
	// missing are tasks that the platform does not run, by a renewal's answer.
	missing map[model.TaskID]bool
	// renewed is the lease that the platform confirmed for each task.
	renewed map[model.TaskID]model.Instant

	usage       map[model.TaskID]fleet.Usage
	usageCursor platform.Cursor

	// changes counts what the platform reported as changed; measuredAt and
	// cleanedAt say for which changes, and which state, the rest was worked out.
	changes, measuredAt, cleanedAt uint64

	absence fleet.Absence
	absent  map[model.VMID]model.Instant
}

func newWorld() *world {
	return &world{
		vms:     map[model.VMID]platform.VMReport{},
		listed:  map[model.VMID]*model.VM{},
		tasks:   map[model.TaskID]platform.TaskReport{},
		missing: map[model.TaskID]bool{},
		renewed: map[model.TaskID]model.Instant{},
		usage:   map[model.TaskID]fleet.Usage{},
	}
}

// fullEvery is how often whole lists are asked for though only changes are
// needed, so that no lost change lasts.
const fullEvery = 10 * time.Minute

// cursorAt is the cursor to ask with: none, which asks for the whole list, when
// the last whole list is older than fullEvery.
func cursorAt(now, fullAt model.Instant, cursor platform.Cursor) platform.Cursor {
	if now.Sub(fullAt) > fullEvery {
		return ""
	}
	return cursor
}

// observe asks the platform what changed. What can't be had stays as it was.
//
// An answer to another question than was asked, such as one that comes late,
// may lack changes that its cursor leaves behind: the end of a task would then
// never be seen. It names the cursor that it answers to, and is dropped.
func (c *Controller) observe(ctx context.Context) {
	w := c.soft.world
	now := c.config.Clock()
	since := cursorAt(now, w.vmsFullAt, w.vmsCursor)
	vms, err := c.config.Platform.VMs(ctx, since)
	if !c.counts.observed(err) {
		return // what does not answer now would only hold up the round
	}
	if vms.Since == since {
		w.takeVMs(vms, now)
	}
	since = cursorAt(now, w.tasksFullAt, w.tasksCursor)
	if list, err := c.config.Platform.Tasks(ctx, since); c.counts.observed(err) && list.Since == since {
		w.takeTasks(list, now)
	}
	if list, err := c.config.Platform.Usage(ctx, w.usageCursor); c.counts.observed(err) {
		c.takeUsage(list)
	}
	view := c.config.Log.View()
	if view.Index != w.cleanedAt {
		w.cleanedAt = view.Index
		w.forget(view)
	}
	if w.changes != w.measuredAt || len(w.listed) != len(w.vms) {
		w.measuredAt = w.changes
		w.measure(view)
	}
	if w.vmsFullAt > 0 {
		w.absent = w.absence.Observe(now, w.listed, view.Owners)
	}
}

// stale reports whether the list of VMs is too old to take anything out on
// purpose: VMs may have failed that it still shows as up. A new leader knows
// nothing until it has a full list; an answer to an earlier question may list
// some VMs only, and the others are not gone.
func (c *Controller) stale(now model.Instant) bool {
	w := c.soft.world
	return w.vmsFullAt == 0 || now.Sub(w.vmsSeen) > c.config.StaleAfter
}

// takeVMs enters a list. A list made before the one in hand is an answer that
// came late; it would show VMs as up that failed since.
func (w *world) takeVMs(list platform.VMList, now model.Instant) {
	if list.At <= w.vmsAt || list.Next == "" {
		return
	}
	if list.Full {
		clear(w.vms)
		w.vmsFullAt = now
	}
	for _, id := range list.Removed {
		delete(w.vms, id)
	}
	w.changes += uint64(len(list.VMs) + len(list.Removed))
	for _, report := range list.VMs {
		if known, ok := w.vms[report.VM]; !ok || report.Revision >= known.Revision {
			w.vms[report.VM] = report
		}
	}
	w.vmsAt, w.vmsSeen = list.At, now
	w.vmsCursor = list.Next
}

func (w *world) takeTasks(list platform.TaskList, now model.Instant) {
	if list.At <= w.tasksAt || list.Next == "" {
		return
	}
	if list.Full {
		w.tasksFullAt = now
	}
	for _, report := range list.Tasks {
		w.takeTask(report)
	}
	w.changes += uint64(len(list.Tasks))
	w.tasksAt, w.tasksSeen = list.At, now
	w.tasksCursor = list.Next
}

// takeTask enters a report unless a later one is known. What ended stays
// ended, whatever comes late.
func (w *world) takeTask(report platform.TaskReport) {
	known, ok := w.tasks[report.Task]
	if ok && (known.Ended != "" || report.Revision < known.Revision) {
		return
	}
	w.tasks[report.Task] = report
	if report.Ended == "" {
		delete(w.missing, report.Task)
	}
}

// forget drops what is known of tasks that the state no longer has.
func (w *world) forget(view *state.View) {
	dropGone(w.tasks, view)
	dropGone(w.missing, view)
	dropGone(w.renewed, view)
	// Status may still read the map of measurements that the last round used.
	w.usage = maps.Clone(w.usage)
	dropGone(w.usage, view)
}

func dropGone[T any](known map[model.TaskID]T, view *state.View) {
	for id := range known {
		if view.Tasks[id] == nil {
			delete(known, id)
		}
	}
}

// measure builds the VMs as decisions read them, with their measured use.
func (w *world) measure(view *state.View) {
	w.listed = make(map[model.VMID]*model.VM, len(w.vms))
	for id, r := range w.vms {
		w.listed[id] = &model.VM{
			ID: id, Worker: r.Worker, Zone: r.Zone, Rack: r.Rack, Capacity: r.Capacity,
			Health: platform.ParseHealth(r.Health), HealthSince: r.HealthSince,
			BootID: r.BootID, Drained: r.Drained,
		}
	}
	for id, u := range w.usage {
		t := view.Tasks[id]
		if t == nil {
			continue
		}
		if vm := w.listed[t.VM]; vm != nil {
			vm.Busy = vm.Busy.Plus(u.Used)
			vm.UsageAt = max(vm.UsageAt, u.At)
		}
	}
}

// takeUsage enters measurements and learns from them.
func (c *Controller) takeUsage(list platform.UsageList) {
	w := c.soft.world
	view := c.config.Log.View()
	if len(list.Usage) > 0 {
		w.usage = maps.Clone(w.usage)
	}
	for _, u := range list.Usage {
		t := view.Tasks[u.Task]
		if t == nil || u.At < w.usage[u.Task].At {
			continue
		}
		w.usage[u.Task] = fleet.Usage{Used: u.Used, At: u.At}
		if job := view.Jobs[t.Job]; job != nil {
			c.soft.sizes.Observe(&job.Spec, t, seen(u))
		}
	}
	w.changes += uint64(len(list.Usage))
	if list.Next != "" {
		w.usageCursor = list.Next
	}
}

// returned holds the VMs under permit for which the platform accepted the
// last step, an undrain or return, of this very permit.
func (w *world) returned(view *state.View) map[model.VMID]bool {
	returned := map[model.VMID]bool{}
	for id, p := range view.Permits {
		f := w.vms[id].Fence
		if f.Generation == p.Generation && f.Step == platform.Undrain.Step() {
			returned[id] = true
		}
	}
	return returned
}
