package standin

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// Send implements platform.Client.
func (p *Platform) Send(_ context.Context, commands []platform.Command) ([]platform.Answer, error) {
	defer p.lock()()
	return p.sendAll(commands), nil
}

func (p *Platform) sendAll(commands []platform.Command) []platform.Answer {
	answers := make([]platform.Answer, len(commands))
	for i, c := range commands {
		answers[i] = p.accept(c)
	}
	return answers
}

// accept executes a command once. A repeated ID yields the first answer unless
// that was Busy; the command is then executed again.
func (p *Platform) accept(c platform.Command) platform.Answer {
	if first, known := p.answers[c.ID]; known {
		return first
	}
	answer := p.execute(c)
	answer.ID = c.ID
	if answer.Code != platform.Busy {
		p.answers[c.ID] = answer
		p.after(p.config.Retention, func() { delete(p.answers, c.ID) })
	}
	return answer
}

func (p *Platform) execute(c platform.Command) platform.Answer {
	if c.Fence.Term < p.term {
		return p.rejectStale(c, "a later controller sent commands")
	}
	p.term = c.Fence.Term
	if c.Kind.ForVM() {
		return p.commandVM(c)
	}
	switch c.Kind {
	case platform.Start:
		return p.start(c)
	case platform.Renew:
		return p.renew(c)
	default:
		return p.commandTask(c)
	}
}

func (p *Platform) rejectStale(c platform.Command, reason string) platform.Answer {
	if c.Kind == platform.Start {
		p.addTombstone(c.Task, p.vms[c.VM])
	}
	return platform.Answer{Code: platform.Stale, Reason: reason}
}

func refusal(reason string) platform.Answer {
	return platform.Answer{Code: platform.Refused, Reason: reason}
}

func (p *Platform) commandVM(c platform.Command) platform.Answer {
	v := p.vms[c.VM]
	if v == nil {
		return refusal("unknown VM")
	}
	if c.Fence.Before(v.fence) {
		return p.rejectStale(c, "a later step was accepted")
	}
	if c.Kind == platform.Reboot {
		if answer, ok := p.checkReboot(v, c); !ok {
			return answer
		}
	}
	v.fence = c.Fence
	v.revision = p.nextRevision()
	switch c.Kind {
	case platform.Drain:
		v.drained = true
	case platform.Undrain, platform.Return:
		v.drained = false
	case platform.Reboot:
		p.tally.RebootCommands[v.ID]++
		p.reboot(p.rebootTarget(v))
	}
	return platform.Answer{Code: platform.Accepted}
}

func (p *Platform) checkReboot(v *vm, c platform.Command) (platform.Answer, bool) {
	switch {
	case v.bootID() != c.BootID:
		return refusal("other boot ID"), false
	case v.health == model.VMDown || v.disconnected:
		return platform.Answer{Code: platform.Busy, Reason: "VM does not answer"}, false
	default:
		return platform.Answer{}, true
	}
}

// rebootTarget returns the VM that a reboot command reboots, which may be the
// wrong one.
func (p *Platform) rebootTarget(v *vm) *vm {
	if p.config.WrongVMProbability == 0 || p.random.Float64() >= p.config.WrongVMProbability {
		return v
	}
	other := p.vms[p.vmOrder[p.random.IntN(len(p.vmOrder))]]
	if other == nil || other.health != model.VMUp {
		return v
	}
	p.tally.WrongReboots++
	return other
}

func (p *Platform) start(c platform.Command) platform.Answer {
	if t := p.tasks[c.Task]; t != nil {
		if t.ended == "" {
			return platform.Answer{Code: platform.Accepted}
		}
		return refusal("task has ended")
	}
	v := p.vms[c.VM]
	if reason := p.startRefusal(v, c); reason != "" {
		p.addTombstone(c.Task, v)
		return refusal(reason)
	}
	if c.Fence.Generation < v.taskFence {
		return p.rejectStale(c, "the VM has another owner")
	}
	p.startTask(v, c)
	return platform.Answer{Code: platform.Accepted}
}

func (p *Platform) startRefusal(v *vm, c platform.Command) string {
	switch {
	case v == nil:
		return "unknown VM"
	case c.Spec == nil || c.Spec.Worker != v.Worker:
		return "unknown worker"
	case v.health != model.VMUp || v.disconnected:
		return "VM does not answer"
	case v.drained:
		return "VM is drained"
	case c.LeaseUntil <= p.now:
		return "lease is over"
	default:
		return ""
	}
}

func (p *Platform) renew(c platform.Command) platform.Answer {
	answer := platform.Answer{Code: platform.Accepted}
	for _, id := range c.Tasks {
		t := p.tasks[id]
		if t == nil || t.ended != "" {
			answer.Missing = append(answer.Missing, id)
			continue
		}
		if t.vm.disconnected || c.LeaseUntil <= t.lease {
			continue
		}
		t.lease = c.LeaseUntil
		p.scheduleLeaseExpiry(t)
	}
	return answer
}

func (p *Platform) commandTask(c platform.Command) platform.Answer {
	t := p.tasks[c.Task]
	if t == nil {
		return p.commandUnknownTask(c)
	}
	if t.ended != "" {
		return platform.Answer{Code: platform.Accepted, Reason: "task has ended"}
	}
	if t.vm.disconnected {
		return platform.Answer{Code: platform.Busy, Reason: "VM does not answer"}
	}
	switch c.Kind {
	case platform.Stop:
		p.stop(t, platform.Stopped)
	case platform.Checkpoint:
		p.stop(t, platform.Checkpointed)
	case platform.Throttle:
		p.setThrottled(t, c.Throttled)
	default:
		return refusal("unknown command")
	}
	return platform.Answer{Code: platform.Accepted}
}

// commandUnknownTask records a tombstone for a task that is stopped before its
// start arrives, so that the delayed start has no effect.
func (p *Platform) commandUnknownTask(c platform.Command) platform.Answer {
	if c.Kind == platform.Throttle {
		return refusal("unknown task")
	}
	p.addTombstone(c.Task, p.vms[c.VM])
	return platform.Answer{Code: platform.Accepted, Reason: "task never starts"}
}
