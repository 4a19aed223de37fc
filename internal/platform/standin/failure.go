package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Select picks VMs for the failure calls.
type Select func(VM) bool

// OneVM selects a VM by ID.
func OneVM(id model.VMID) Select { return func(v VM) bool { return v.ID == id } }

// Rack selects the VMs of a rack.
func Rack(zone model.ZoneID, rack model.RackID) Select {
	return func(v VM) bool { return v.Zone == zone && v.Rack == rack }
}

// Zone selects the VMs of an availability zone.
func Zone(zone model.ZoneID) Select { return func(v VM) bool { return v.Zone == zone } }

// Fail kills VMs with all their tasks until they are repaired.
func (p *Platform) Fail(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) { p.failVM(v) })
}

// Repair boots VMs that failed.
func (p *Platform) Repair(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) {
		if v.health == model.VMDown {
			v.boot++
			v.epoch++
			p.setHealth(v, model.VMUp)
		}
	})
}

// Silence cuts VMs off from the platform: their tasks go on until their
// leases lapse, and nothing that they report arrives.
func (p *Platform) Silence(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) {
		if !v.silent {
			v.silent = true
			v.since = p.now
			v.revision = p.nextRevision()
		}
	})
}

// Reconnect ends Silence; what was held back is reported.
func (p *Platform) Reconnect(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) {
		if !v.silent {
			return
		}
		v.silent = false
		v.since = p.now
		v.revision = p.nextRevision()
		p.showTasks(v)
	})
}

// Break makes a worker fail every task it starts; Mend ends that.
func (p *Platform) Break(worker model.WorkerID) { p.setBad(worker, true) }

// Mend makes a worker good again.
func (p *Platform) Mend(worker model.WorkerID) { p.setBad(worker, false) }

// Add adds a VM, or brings one back that was removed.
func (p *Platform) Add(v VM) {
	defer p.enter()()
	p.addVM(v)
	p.vms[v.ID].since = p.now
}

// Remove takes VMs away with all their tasks.
func (p *Platform) Remove(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) {
		p.failVM(v)
		delete(p.vms, v.ID)
		p.removed = append(p.removed, removal{v.ID, p.nextRevision()})
	})
}

// RebootUnasked reboots VMs that nobody asked to reboot.
func (p *Platform) RebootUnasked(which Select) {
	defer p.enter()()
	p.each(which, func(v *vm) {
		if v.health == model.VMUp {
			p.reboot(v)
		}
	})
}

func (p *Platform) setBad(worker model.WorkerID, bad bool) {
	defer p.enter()()
	p.bad[worker] = bad
}

func (p *Platform) each(which Select, do func(*vm)) {
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

// showTasks reports what ended while the VM was cut off.
func (p *Platform) showTasks(v *vm) {
	for _, c := range append([]change(nil), p.changes...) {
		t := p.tasks[c.task]
		if t != nil && t.vm == v && t.hidden && t.revision == c.revision && t.ended != "" {
			t.hidden = false
			p.touch(t)
		}
	}
}

// reboot takes a VM down and up again under another boot ID.
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
