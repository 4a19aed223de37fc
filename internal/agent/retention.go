package agent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const (
	// retentionInterval is the time between two checks for expired records.
	retentionInterval = time.Minute
	// retention is how long ended claims and jobs are normally kept. For that
	// time a resent request is recognised.
	retention = 24 * time.Hour
	// shortRetention is how long they are kept when the table is nearly full. A
	// resent request after that is not recognised, so it is much longer than any
	// caller's deadline.
	shortRetention = time.Hour
	// nearlyFullShare is the share of a table's bound above which it is nearly
	// full.
	nearlyFullShare = 0.75
)

// forgetBefore returns the instant before which ended records may be dropped from
// a table with count entries and a bound of limit.
func forgetBefore(now model.Instant, count, limit int) model.Instant {
	if float64(count) > nearlyFullShare*float64(limit) {
		return now.Add(-shortRetention)
	}
	return now.Add(-retention)
}

// runRetention keeps the tables of claims and jobs within their bounds while this
// VM is the leader. Without it they would be full after some days, and all
// further keyed requests and jobs would be refused.
func (a *Agent) runRetention(ctx context.Context) {
	ticker := time.NewTicker(retentionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.forgetEnded(ctx, model.InstantOf(time.Now()))
		}
	}
}

func (a *Agent) forgetEnded(ctx context.Context, now model.Instant) {
	if leader, _ := a.log.Leader(); leader != a.settings.Node.Name {
		return
	}
	for _, c := range forgetCommands(now, a.machine.Claims(), a.log.View().Jobs) {
		c.ID = model.CommandID("forget/" + uuid.NewString())
		c.At, c.Actor, c.Cause = now, "retention", "ended longer ago than it is kept"
		if _, err := a.log.Propose(ctx, c); err != nil && ctx.Err() == nil {
			a.logger.WithError(err).Warn("dropping ended claims and jobs failed; retrying in a minute")
		}
	}
}

// forgetCommands returns the commands that drop expired claims and jobs. It
// returns none that would drop nothing, so that an idle site's log doesn't grow.
func forgetCommands(now model.Instant, claims []*model.Claim, jobs map[model.JobID]*model.Job) []state.Command {
	var commands []state.Command
	before := forgetBefore(now, len(claims), state.MaxClaims)
	for _, c := range claims {
		if c.Deadline < before {
			commands = append(commands, state.Command{ForgetClaims: &state.ForgetClaims{Before: before}})
			break
		}
	}
	before = forgetBefore(now, len(jobs), state.MaxJobs)
	for _, j := range jobs {
		if j.State.Final() && j.Changed < before {
			return append(commands, state.Command{ForgetJobs: &state.ForgetJobs{Before: before}})
		}
	}
	return commands
}
