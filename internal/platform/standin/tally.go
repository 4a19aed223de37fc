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
	// Asked counts the reboot commands that were accepted, by VM.
	Asked map[model.VMID]int
	// WrongReboots counts the reboots of another VM than the command's.
	WrongReboots int
	// Starts counts the started attempts by job.
	Starts map[model.JobID]int
	// Done counts the successful attempts by job.
	Done map[model.JobID]int
	// Overlaps counts the starts of a job while another attempt of it was running.
	Overlaps int
	// Wasted is the total run time of job attempts that did not succeed.
	Wasted time.Duration
	// Useful is the total run time of job attempts that succeeded.
	Useful time.Duration

	running map[model.JobID]int
}

func newTally() Tally {
	return Tally{Reboots: map[model.VMID]int{}, Asked: map[model.VMID]int{}, Starts: map[model.JobID]int{}, Done: map[model.JobID]int{}, running: map[model.JobID]int{}}
}

// Tally returns a copy of the counts.
func (p *Platform) Tally() Tally {
	defer p.lock()()
	t := p.tally
	t.Reboots = maps.Clone(t.Reboots)
	t.Asked = maps.Clone(t.Asked)
	t.Starts = maps.Clone(t.Starts)
	t.Done = maps.Clone(t.Done)
	t.running = maps.Clone(t.running)
	return t
}

// Truth is the actual state of a VM.
type Truth struct {
	VM
	Health  model.VMHealth
	Silent  bool
	Drained bool
	BootID  string
	Since   model.Instant
	// Instances counts the running instances by service.
	Instances map[model.ServiceID]int
	// Used are the resources that the running tasks really use.
	Used model.Resources
}

// Truth returns the actual state of all VMs in the order in which they were added.
func (p *Platform) Truth() []Truth {
	defer p.lock()()
	all := make([]Truth, 0, len(p.vms))
	for _, id := range p.vmOrder {
		if v := p.vms[id]; v != nil {
			all = append(all, v.actual())
		}
	}
	return all
}

func (v *vm) actual() Truth {
	t := Truth{VM: v.VM, Health: v.health, Silent: v.disconnected, Drained: v.drained, BootID: v.bootID(), Since: v.healthSince, Instances: map[model.ServiceID]int{}}
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
		p.tally.Done[job]++
		p.tally.Useful += p.now.Sub(t.start)
		return
	}
	p.tally.Wasted += p.now.Sub(t.start)
}
