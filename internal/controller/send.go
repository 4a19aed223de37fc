package controller

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// sentCommand records a command that was sent and whether it was answered.
type sentCommand struct {
	at model.Instant
	// answered is set when the platform accepted or refused the command;
	// otherwise the outcome is unknown.
	answered bool
	command  platform.Command
}

const (
	// maxCommands bounds the commands of one round.
	maxCommands = 2000
	// maxQueries bounds the queries for single tasks in one round.
	maxQueries = 50
	// effectTimeout is how long the platform may take to show the effect of a
	// command that it answered before the command is sent again.
	effectTimeout = 10 * time.Second
	// sentRetention is how long sent commands are remembered.
	sentRetention = 10 * time.Minute
)

// send sends the commands that are due. A command with an unknown outcome is
// not repeated until a list was requested after the command was sent.
func (c *Controller) send(ctx context.Context, m *commander) {
	due := make([]platform.Command, 0, len(m.commands))
	for _, command := range m.commands {
		if c.due(command, m.now) && len(due) < maxCommands {
			due = append(due, command)
		}
	}
	c.checkCommands(m.view, due)
	c.pruneSent(m.now)
	if len(due) == 0 {
		return
	}
	c.counters.commands.Inc(int64(len(due)))
	answers, err := c.config.Platform.Send(ctx, due)
	if err != nil {
		c.recordUnanswered(due, m.now, err)
		return
	}
	for i, answer := range answers {
		c.applyAnswer(due[i], answer, m.now)
	}
}

func (c *Controller) due(command platform.Command, now model.Instant) bool {
	sent, known := c.softState.sent[command.ID]
	observed := c.softState.observed
	switch {
	case !known:
		return true
	case sent.answered && command.Kind == platform.Reboot:
		c.countLostReboot(command, sent, now)
		return false
	case sent.answered:
		return now.Sub(sent.at) > effectTimeout
	case command.Kind.ForVM():
		return observed.vmsRequestedAt > sent.at
	default:
		return observed.tasksRequestedAt > sent.at
	}
}

// countLostReboot counts an attempt when a reboot command that was answered had
// no effect within RebootTimeout: the next round then commands it under a new
// ID. The platform may have rebooted another VM by mistake. The boot ID in the
// command prevents a second reboot of this VM.
func (c *Controller) countLostReboot(command platform.Command, sent sentCommand, now model.Instant) {
	if now.Sub(sent.at) > c.config.RebootTimeout {
		c.softState.rebootAttempts[command.VM]++
	}
}

func (c *Controller) recordUnanswered(due []platform.Command, now model.Instant, err error) {
	if platform.VerdictOf(err) == model.NotRun {
		c.counters.commandsNotRun.Inc(1)
		return
	}
	c.counters.commandsUnknown.Inc(1)
	for _, command := range due {
		if command.Kind != platform.Renew {
			c.softState.sent[command.ID] = sentCommand{at: now, command: command}
		}
	}
}

func (c *Controller) applyAnswer(command platform.Command, answer platform.Answer, now model.Instant) {
	observed := c.softState.observed
	switch answer.Code {
	case platform.Accepted:
		if command.Kind == platform.Renew {
			c.applyRenewal(command, answer)
			return
		}
		if command.Kind == platform.Start {
			observed.confirmedLeases[command.Task] = command.LeaseUntil
		}
		c.softState.sent[command.ID] = sentCommand{at: now, answered: true, command: command}
	case platform.Refused, platform.Stale:
		c.counters.refusedCommands.Inc(1)
		c.softState.sent[command.ID] = sentCommand{at: now, answered: true, command: command}
		if command.Kind == platform.Start {
			// The platform guarantees that the task never runs.
			observed.applyTaskReport(platform.TaskReport{Task: command.Task, Ended: platform.NeverStarted, Revision: observed.tasks[command.Task].Revision})
		}
	}
}

func (c *Controller) applyRenewal(command platform.Command, answer platform.Answer) {
	observed := c.softState.observed
	for _, id := range command.Tasks {
		observed.confirmedLeases[id] = command.LeaseUntil
	}
	for _, id := range answer.Missing {
		observed.missing[id] = true
	}
}

// queryTasks queries the platform for single tasks whose state its list does
// not show.
func (c *Controller) queryTasks(ctx context.Context, ids []model.TaskID) {
	for i, id := range ids {
		if i == maxQueries {
			return
		}
		report, known, err := c.config.Platform.Task(ctx, id)
		if err != nil {
			return
		}
		if known {
			c.softState.observed.applyTaskReport(report)
		}
	}
}

func (c *Controller) pruneSent(now model.Instant) {
	for id, s := range c.softState.sent {
		if now.Sub(s.at) > sentRetention {
			delete(c.softState.sent, id)
		}
	}
}
