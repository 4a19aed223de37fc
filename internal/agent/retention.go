package agent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const (
	// retentionEvery is the time between two looks at what may be forgotten.
	retentionEvery = time.Minute
	// keepLong is how long ended claims and jobs are kept while there is room:
	// so long a resend is recognised.
	keepLong = 24 * time.Hour
	// keepShort is how long they are kept when the table is nearly full. A
	// resend later than that is not recognised, so it stays far above any
	// caller's deadline.
	keepShort = time.Hour
	// fullAt is the share of a table's bound at which it is nearly full.
	fullAt = 0.75
)

// horizon returns the instant before which ended records may be forgotten.
func horizon(now model.Instant, count, most int) model.Instant {
	if float64(count) > fullAt*float64(most) {
		return now.Add(-keepShort)
	}
	return now.Add(-keepLong)
}

// retain keeps the tables of claims and jobs within their bounds while this VM
// leads. Without it they would fill up after days, and every further keyed
// request and job would be refused.
func (a *Agent) retain(ctx context.Context) {
	ticker := time.NewTicker(retentionEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.forget(ctx, model.InstantOf(time.Now()))
		}
	}
}

func (a *Agent) forget(ctx context.Context, now model.Instant) {
	if leader, _ := a.log.Leader(); leader != a.settings.Node.Name {
		return
	}
	for _, c := range forgetting(now, a.machine.Claims(), a.log.View().Jobs) {
		c.ID = model.CommandID("forget/" + uuid.NewString())
		c.At, c.Actor, c.Cause = now, "retention", "ended longer ago than it is kept"
		if _, err := a.log.Propose(ctx, c); err != nil && ctx.Err() == nil {
			a.logger.WithError(err).Warn("ended claims and jobs were not forgotten; tried again in a minute")
		}
	}
}

// forgetting returns the commands that drop what is older than its horizon;
// none when that would drop nothing, so that an idle site's log does not grow.
func forgetting(now model.Instant, claims []*model.Claim, jobs map[model.JobID]*model.Job) []state.Command {
	var commands []state.Command
	before := horizon(now, len(claims), state.MaxClaims)
	for _, c := range claims {
		if c.Deadline < before {
			commands = append(commands, state.Command{ForgetClaims: &state.ForgetClaims{Before: before}})
			break
		}
	}
	before = horizon(now, len(jobs), state.MaxJobs)
	for _, j := range jobs {
		if j.State.Final() && j.Changed < before {
			return append(commands, state.Command{ForgetJobs: &state.ForgetJobs{Before: before}})
		}
	}
	return commands
}
