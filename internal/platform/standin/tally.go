package standin

import (
	"maps"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// Tally counts what really happened, for tests and benchmarks to hold against
// what the system believes.
type Tally struct {
	// Reboots counts commanded and unasked reboots by VM.
	Reboots map[model.VMID]int
	// Asked counts the reboot commands that were accepted, by VM.
	Asked map[model.VMID]int
	// WrongReboots counts those that hit another VM than was named.
	WrongReboots int
	// Starts counts the attempts that ran, by job.
	Starts map[model.JobID]int
	// Done counts the attempts that ended with success, by job.
	Done map[model.JobID]int
	// Overlaps counts the starts of a job while another attempt of it ran.
	Overlaps int
	// Wasted is the run time of job attempts that did not succeed.
	Wasted time.Duration
	// Useful is the run time of job attempts that succeeded.
	Useful time.Duration

	live map[model.JobID]int
}

func newTally() Tally {
	return Tally{Reboots: map[model.VMID]int{}, Asked: map[model.VMID]int{}, Starts: map[model.JobID]int{}, Done: map[model.JobID]int{}, live: map[model.JobID]int{}}
}

// Tally returns a copy of the counts.
func (p *Platform) Tally() Tally {
	defer p.enter()()
	t := p.tally
	t.Reboots = maps.Clone(t.Reboots)
	t.Asked = maps.Clone(t.Asked)
	t.Starts = maps.Clone(t.Starts)
	t.Done = maps.Clone(t.Done)
	t.live = maps.Clone(t.live)
	return t
}

// Truth is how a VM really is.
type Truth struct {
	VM
	Health  model.VMHealth
	Silent  bool
	Drained bool
	BootID  string
	Since   model.Instant
	// Instances counts the running instances by service.
	Instances map[model.ServiceID]int
	// Used is what the running tasks really use.
	Used model.Resources
}

// Truth lists how the VMs really are, in the order in which they were added.
func (p *Platform) Truth() []Truth {
	defer p.enter()()
	all := make([]Truth, 0, len(p.vms))
	for _, id := range p.vmOrder {
		if v := p.vms[id]; v != nil {
			all = append(all, v.truth())
		}
	}
	return all
}

func (v *vm) truth() Truth {
	t := Truth{VM: v.VM, Health: v.health, Silent: v.silent, Drained: v.drained, BootID: v.bootID(), Since: v.since, Instances: map[model.ServiceID]int{}}
	for _, running := range v.tasks {
		t.Used = t.Used.Plus(running.work.Used)
		if running.spec.Service != "" && !running.stopping {
			t.Instances[running.spec.Service]++
		}
	}
	return t
}

// Serving lists the running instances, as their announcements would.
func (p *Platform) Serving() map[model.TaskID]bool {
	defer p.enter()()
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

func (p *Platform) noteStart(t *task) {
	job := t.spec.Job
	if job == "" {
		return
	}
	if p.tally.live[job] > 0 {
		p.tally.Overlaps++
	}
	p.tally.live[job]++
	p.tally.Starts[job]++
}

func (p *Platform) noteEnd(t *task) {
	job := t.spec.Job
	if job == "" {
		return
	}
	p.tally.live[job]--
	if t.ended == platform.Succeeded {
		p.tally.Done[job]++
		p.tally.Useful += p.now.Sub(t.start)
		return
	}
	p.tally.Wasted += p.now.Sub(t.start)
}
