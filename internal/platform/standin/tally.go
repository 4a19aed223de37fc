package standin

import (
	"maps"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// Tally counts what really happened. Tests and benchmarks compare it with the
// state of the controller.
type Tally struct {
	// Reboots counts all reboots by VM, whether commanded or not.
	Reboots map[model.VMID]int
	// RebootCommands counts the reboot commands that were accepted, by VM.
	RebootCommands map[model.VMID]int
	// WrongReboots counts the reboots of another VM than the command's.
	WrongReboots int
	// Starts counts the started attempts by job.
	Starts map[model.JobID]int
	// Succeeded counts the successful attempts by job.
	Succeeded map[model.JobID]int
	// Overlaps counts the starts of a job while another attempt of it was running.
	Overlaps int
	// WastedTime is the total run time of job attempts that did not succeed.
	WastedTime time.Duration
	// UsefulTime is the total run time of job attempts that succeeded.
	UsefulTime time.Duration

	running map[model.JobID]int
}

func newTally() Tally {
	return Tally{Reboots: map[model.VMID]int{}, RebootCommands: map[model.VMID]int{}, Starts: map[model.JobID]int{}, Succeeded: map[model.JobID]int{}, running: map[model.JobID]int{}}
}

// Tally returns a copy of the counts.
func (p *Platform) Tally() Tally {
	defer p.lock()()
	t := p.tally
	t.Reboots = maps.Clone(t.Reboots)
	t.RebootCommands = maps.Clone(t.RebootCommands)
	t.Starts = maps.Clone(t.Starts)
	t.Succeeded = maps.Clone(t.Succeeded)
	t.running = maps.Clone(t.running)
	return t
}

// ActualVM is the actual state of a VM.
type ActualVM struct {
	VM
	Health       model.VMHealth
	Disconnected bool
	Drained      bool
	BootID       string
	Since        model.Instant
	// Instances counts the running instances by service.
	Instances map[model.ServiceID]int
	// Used are the resources that the running tasks really use.
	Used model.Resources
}

// ActualVMs returns the actual state of all VMs in the order in which they were added.
func (p *Platform) ActualVMs() []ActualVM {
	defer p.lock()()
	all := make([]ActualVM, 0, len(p.vms))
	for _, id := range p.vmOrder {
		if v := p.vms[id]; v != nil {
			all = append(all, v.actual())
		}
	}
	return all
}

func (v *vm) actual() ActualVM {
	t := ActualVM{VM: v.VM, Health: v.health, Disconnected: v.disconnected, Drained: v.drained, BootID: v.bootID(), Since: v.healthSince, Instances: map[model.ServiceID]int{}}
	for _, running := range v.tasks {
		t.Used = t.Used.Plus(running.work.Used)
		if running.spec.Service != "" && !running.stopping {
			t.Instances[running.spec.Service]++
		}
	}
	return t
}

// Serving returns the running instances, as their announcements would list them.
func (p *Platform) Serving() map[model.TaskID]bool {
	defer p.lock()()
	serving := map[model.TaskID]bool{}
	for _, v := range p.vms {
		for id, t := range v.tasks {
			if t.spec.Service != "" && !t.stopping {
				serving[id] = true
			}
		}
	}
	return serving
}

func (p *Platform) countStart(t *task) {
	job := t.spec.Job
	if job == "" {
		return
	}
	if p.tally.running[job] > 0 {
		p.tally.Overlaps++
	}
	p.tally.running[job]++
	p.tally.Starts[job]++
}

func (p *Platform) countEnd(t *task) {
	job := t.spec.Job
	if job == "" {
		return
	}
	p.tally.running[job]--
	if t.ended == platform.Succeeded {
		p.tally.Succeeded[job]++
		p.tally.UsefulTime += p.now.Sub(t.start)
		return
	}
	p.tally.WastedTime += p.now.Sub(t.start)
}
