package controller

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// sent is what is known about a command that was sent.
type sent struct {
	at model.Instant
	// accepted says that the platform answered; otherwise the outcome is unknown.
	accepted bool
	command  platform.Command
}

const (
	// maxCommands bounds the commands of one round.
	maxCommands = 2000
	// maxAsks bounds the questions about single tasks in one round.
	maxAsks = 50
	// shownAfter is how long the platform may take to show the effect of a
	// command that it accepted before the command is sent again.
	shownAfter = 10 * time.Second
	// forgetSent is how long sent commands are remembered.
	forgetSent = 10 * time.Minute
)

// send hands over the commands that are due. A command whose outcome is
// unknown waits until the platform was asked: its list is newer than the
// command, or the task was asked about.
func (c *Controller) send(ctx context.Context, m *commander) {
	due := make([]platform.Command, 0, len(m.out))
	for _, command := range m.out {
		if c.due(command, m.now) && len(due) < maxCommands {
			due = append(due, command)
		}
	}
	c.checkCommands(m.view, due)
	c.forgetOld(m.now)
	if len(due) == 0 {
		return
	}
	c.counts.commands.Inc(int64(len(due)))
	answers, err := c.config.Platform.Send(ctx, due)
	if err != nil {
		c.notAnswered(due, m.now, err)
		return
	}
	for i, answer := range answers {
		c.take(due[i], answer, m.now)
	}
}

func (c *Controller) due(command platform.Command, now model.Instant) bool {
	before, known := c.soft.sent[command.ID]
	w := c.soft.world
	switch {
	case !known:
		return true
	case before.accepted && command.Kind == platform.Reboot:
		c.countLostReboot(command, before, now)
		return false
	case before.accepted:
		return now.Sub(before.at) > shownAfter
	case command.Kind.ForVM():
		return w.vmsSeen > before.at
	default:
		return w.tasksSeen > before.at
	}
}

// countLostReboot counts an attempt when an accepted reboot had no effect for
// RebootTimeout: the next round then commands it under a new ID. The platform
// may have rebooted another VM by mistake; the boot ID that the command names
// keeps this VM from being rebooted twice.
func (c *Controller) countLostReboot(command platform.Command, before sent, now model.Instant) {
	if now.Sub(before.at) > c.config.RebootTimeout {
		c.soft.attempts[command.VM]++
	}
}

func (c *Controller) notAnswered(due []platform.Command, now model.Instant, err error) {
	if platform.VerdictOf(err) == model.NotRun {
		c.counts.notRun.Inc(1)
		return
	}
	c.counts.unknown.Inc(1)
	for _, command := range due {
		if command.Kind != platform.Renew {
			c.soft.sent[command.ID] = sent{at: now, command: command}
		}
	}
}

func (c *Controller) take(command platform.Command, answer platform.Answer, now model.Instant) {
	w := c.soft.world
	switch answer.Code {
	case platform.Accepted:
		if command.Kind == platform.Renew {
			c.takeRenewed(command, answer)
			return
		}
		if command.Kind == platform.Start {
			w.renewed[command.Task] = command.LeaseUntil
		}
		c.soft.sent[command.ID] = sent{at: now, accepted: true, command: command}
	case platform.Refused, platform.Stale:
		c.counts.refusedCommands.Inc(1)
		c.soft.sent[command.ID] = sent{at: now, accepted: true, command: command}
		if command.Kind == platform.Start {
			// The platform promises that the task never runs.
			w.takeTask(platform.TaskReport{Task: command.Task, Ended: platform.NeverStarted, Revision: w.tasks[command.Task].Revision})
		}
	}
}

func (c *Controller) takeRenewed(command platform.Command, answer platform.Answer) {
	w := c.soft.world
	for _, id := range command.Tasks {
		w.renewed[id] = command.LeaseUntil
	}
	for _, id := range answer.Missing {
		w.missing[id] = true
	}
}

// ask learns what became of tasks about which the platform's list says
// nothing.
func (c *Controller) ask(ctx context.Context, ids []model.TaskID) {
	for i, id := range ids {
		if i == maxAsks {
			return
		}
		report, known, err := c.config.Platform.Task(ctx, id)
		if err != nil {
			return
		}
		if known {
			c.soft.world.takeTask(report)
		}
	}
}

func (c *Controller) forgetOld(now model.Instant) {
	for id, s := range c.soft.sent {
		if now.Sub(s.at) > forgetSent {
			delete(c.soft.sent, id)
		}
	}
}
