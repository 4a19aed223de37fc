package standin

import (
	"context"
	"sort"
	"strconv"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// VMs implements platform.Client.
func (p *Platform) VMs(_ context.Context, since platform.Cursor) (platform.VMList, error) {
	defer p.lock()()
	after := parseCursor(since)
	list := platform.VMList{Full: after == 0, Since: since, Next: formatCursor(p.revision), At: p.now}
	for _, id := range p.vmOrder {
		if v := p.vms[id]; v != nil && v.revision > after {
			list.VMs = append(list.VMs, v.report())
		}
	}
	for _, r := range p.removed {
		if r.revision > after && p.vms[r.vm] == nil {
			list.Removed = append(list.Removed, r.vm)
		}
	}
	return list, nil
}

func (v *vm) report() platform.VMReport {
	health := v.health
	if v.disconnected && health == model.VMUp {
		health = model.VMUnknown
	}
	return platform.VMReport{
		VM: v.ID, Worker: v.Worker, Zone: v.Zone, Rack: v.Rack, Capacity: v.Capacity,
		Health: platform.HealthName(health), HealthSince: v.healthSince, BootID: v.bootID(),
		Drained: v.drained, Fence: v.fence, Revision: v.revision,
	}
}

// Tasks implements platform.Client.
func (p *Platform) Tasks(_ context.Context, since platform.Cursor) (platform.TaskList, error) {
	defer p.lock()()
	after := parseCursor(since)
	p.compact()
	first := sort.Search(len(p.changes), func(i int) bool { return p.changes[i].revision > after })
	list := platform.TaskList{Full: after == 0, Since: since, Next: formatCursor(p.revision), At: p.now}
	for _, c := range p.changes[first:] {
		t := p.tasks[c.task]
		if t != nil && t.revision == c.revision && !t.hidden {
			list.Tasks = append(list.Tasks, p.report(t))
		}
	}
	return list, nil
}

// Task implements platform.Client.
func (p *Platform) Task(_ context.Context, id model.TaskID) (platform.TaskReport, bool, error) {
	defer p.lock()()
	t := p.tasks[id]
	if t == nil {
		return platform.TaskReport{}, false, nil
	}
	return p.report(t), true, nil
}

func (p *Platform) report(t *task) platform.TaskReport {
	r := platform.TaskReport{Task: t.id, Worker: t.spec.Worker, Ended: t.ended, Throttled: t.throttled, Revision: t.revision}
	if t.hidden {
		r.Ended = ""
	}
	return r
}

// Usage implements platform.Client. Its cursor is the number of the measurement.
func (p *Platform) Usage(_ context.Context, since platform.Cursor) (platform.UsageList, error) {
	defer p.lock()()
	sample := uint64(max(p.now.Add(-p.config.UsageLag), 0)) / uint64(p.config.UsageInterval.Milliseconds())
	list := platform.UsageList{Next: formatCursor(sample)}
	if sample <= parseCursor(since) {
		return list, nil
	}
	at := model.Instant(sample) * model.Instant(p.config.UsageInterval.Milliseconds())
	for _, id := range p.vmOrder {
		list.Usage = append(list.Usage, p.usageOf(p.vms[id], at)...)
	}
	return list, nil
}

func (p *Platform) usageOf(v *vm, at model.Instant) []platform.Usage {
	if v == nil || v.disconnected {
		return nil
	}
	var all []platform.Usage
	for _, t := range v.sortedTasks() {
		if t.start <= at {
			all = append(all, platform.Usage{Task: t.id, Worker: v.Worker, VM: v.ID, Used: t.work.Used, At: at})
		}
	}
	return all
}

func (v *vm) sortedTasks() []*task {
	all := make([]*task, 0, len(v.tasks))
	for _, t := range v.tasks {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// compact removes stale entries once they are more than half of the list.
func (p *Platform) compact() {
	const slack = 1024 // entries; shorter lists are not worth compacting
	if len(p.changes) < 2*len(p.tasks)+slack {
		return
	}
	kept := p.changes[:0]
	for _, c := range p.changes {
		if t := p.tasks[c.task]; t != nil && t.revision == c.revision {
			kept = append(kept, c)
		}
	}
	p.changes = kept
}

func formatCursor(n uint64) platform.Cursor { return platform.Cursor(strconv.FormatUint(n, 10)) }

// parseCursor is the inverse of formatCursor. Any other text requests the complete
// list.
func parseCursor(c platform.Cursor) uint64 {
	n, err := strconv.ParseUint(string(c), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
