package node

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/twitchtv/twirp"
)

// attempts chooses the process for the next attempt: the last known leader, else
// the voters round-robin.
type attempts struct {
	log  *Log
	last model.NodeID
	// nextVoter counts the attempts at voters other than the known leader.
	nextVoter int
	pause     time.Duration
}

func (l *Log) newAttempts() *attempts { return &attempts{log: l, pause: retryPause} }

// nextTarget returns the process for the next attempt. A leader that was the last
// target and failed is skipped once, because the hint may be wrong.
func (a *attempts) nextTarget() model.NodeID {
	leader, _ := a.log.Leader()
	if leader != "" && leader != a.last {
		a.last = leader
		return leader
	}
	voters := a.log.config.Voters
	if len(voters) == 0 {
		return ""
	}
	a.last = voters[a.nextVoter%len(voters)]
	a.nextVoter++
	return a.last
}

// backOff pauses before the next attempt, longer each time. Two processes that
// name each other as the leader must not be called in a tight loop.
func (a *attempts) backOff(ctx context.Context) {
	a.log.config.Pause(ctx, a.pause)
	a.pause = min(2*a.pause, maxRetryPause)
}

// rejectedUnhandled reports whether the peer replied that it did not handle the
// call, because of a wrong token or site, a malformed call, or a missing voter.
func rejectedUnhandled(err error) bool {
	var rejection twirp.Error
	if !errors.As(err, &rejection) {
		return false
	}
	switch rejection.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied, twirp.Malformed, twirp.InvalidArgument, twirp.BadRoute:
		return true
	case twirp.Unavailable:
		return rejection.Msg() == errNotOffered.Msg()
	default:
		return false
	}
}
