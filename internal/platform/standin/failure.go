package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Selector reports whether a fault applies to a VM.
type Selector func(VM) bool

// OneVM selects a VM by ID.
func OneVM(id model.VMID) Selector { return func(v VM) bool { return v.ID == id } }

// Rack selects the VMs of a rack.
func Rack(zone model.ZoneID, rack model.RackID) Selector {
	return func(v VM) bool { return v.Zone == zone && v.Rack == rack }
}

// Zone selects the VMs of an availability zone.
func Zone(zone model.ZoneID) Selector { return func(v VM) bool { return v.Zone == zone } }

// Fail takes VMs down and kills all their tasks. They stay down until Repair.
func (p *Platform) Fail(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) { p.failVM(v) })
}

// Repair boots VMs that are down.
func (p *Platform) Repair(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) {
		if v.health == model.VMDown {
			v.boot++
			v.epoch++
			p.setHealth(v, model.VMUp)
		}
	})
}

// Disconnect disconnects VMs from the platform: their tasks keep running until their
// leases expire, and none of their reports arrive.
func (p *Platform) Disconnect(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) {
		if !v.disconnected {
			v.disconnected = true
			v.healthSince = p.now
			v.revision = p.nextRevision()
		}
	})
}

// Reconnect undoes Disconnect; the withheld reports arrive.
func (p *Platform) Reconnect(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) {
		if !v.disconnected {
			return
		}
		v.disconnected = false
		v.healthSince = p.now
		v.revision = p.nextRevision()
		p.revealTasks(v)
	})
}

// InjectWorkerFault makes a worker fail every job's task that it starts, until
// ClearWorkerFault.
func (p *Platform) InjectWorkerFault(worker model.WorkerID) { p.setFaulty(worker, true) }

// ClearWorkerFault undoes InjectWorkerFault.
func (p *Platform) ClearWorkerFault(worker model.WorkerID) { p.setFaulty(worker, false) }

// Add adds a VM, or adds one again that was removed.
func (p *Platform) Add(v VM) {
	defer p.lock()()
	p.addVM(v)
	p.vms[v.ID].healthSince = p.now
}

// Remove removes VMs and kills all their tasks.
func (p *Platform) Remove(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) {
		p.failVM(v)
		delete(p.vms, v.ID)
		p.removed = append(p.removed, removal{v.ID, p.nextRevision()})
	})
}

// RebootUnexpectedly reboots VMs without a command.
func (p *Platform) RebootUnexpectedly(which Selector) {
	defer p.lock()()
	p.each(which, func(v *vm) {
		if v.health == model.VMUp {
			p.reboot(v)
		}
	})
}

func (p *Platform) setFaulty(worker model.WorkerID, faulty bool) {
	defer p.lock()()
	p.faulty[worker] = faulty
}

func (p *Platform) each(which Selector, do func(*vm)) {
	for _, id := range p.vmOrder {
		if v := p.vms[id]; v != nil && which(v.VM) {
			do(v)
		}
	}
}

func (p *Platform) failVM(v *vm) {
	if v.health == model.VMDown {
		return
	}
	v.epoch++
	p.killAll(v)
	p.setHealth(v, model.VMDown)
}

func (p *Platform) killAll(v *vm) {
	for _, t := range v.sortedTasks() {
		p.kill(t)
	}
}

// revealTasks lets the tasks be listed that ended while the VM was disconnected.
func (p *Platform) revealTasks(v *vm) {
	for _, c := range append([]change(nil), p.changes...) {
		t := p.tasks[c.task]
		if t != nil && t.vm == v && t.hidden && t.revision == c.revision && t.ended != "" {
			t.hidden = false
			p.recordChange(t)
		}
	}
}

// reboot restarts a VM with a new boot ID.
func (p *Platform) reboot(v *vm) {
	v.epoch++
	epoch := v.epoch
	p.killAll(v)
	p.setHealth(v, model.VMRebooting)
	p.tally.Reboots[v.ID]++
	p.after(p.rebootTime(), func() {
		if v.epoch != epoch {
			return
		}
		v.boot++
		p.setHealth(v, model.VMUp)
	})
}

func (p *Platform) rebootTime() time.Duration {
	half := p.config.RebootTime / 2
	if half <= 0 {
		return p.config.RebootTime
	}
	return p.config.RebootTime + time.Duration(p.random.Int64N(int64(half)))
}
