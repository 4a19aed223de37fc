package node

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/twitchtv/twirp"
)

// tries chooses whom to ask next: the leader as last heard, else one voter
// after the other.
type tries struct {
	log   *Log
	asked model.NodeID
	turn  int
	pause time.Duration
}

func (l *Log) newTries() *tries { return &tries{log: l, pause: retryPause} }

// next returns the process to ask. A leader that was asked last and did not
// take it is passed over once, because the hint may be what is wrong.
func (t *tries) next() model.NodeID {
	leader, _ := t.log.Leader()
	if leader != "" && leader != t.asked {
		t.asked = leader
		return leader
	}
	voters := t.log.config.Voters
	if len(voters) == 0 {
		return ""
	}
	t.asked = voters[t.turn%len(voters)]
	t.turn++
	return t.asked
}

// wait pauses before the next try, longer each time: two processes that each
// take the other for the leader must not be asked in a tight loop.
func (t *tries) wait(ctx context.Context) {
	t.log.config.Pause(ctx, t.pause)
	t.pause = min(2*t.pause, maxRetryPause)
}

// refusedUnhandled reports whether the peer answered that it did not look at the
// call: a wrong token or site, a malformed call, or no voter there.
func refusedUnhandled(err error) bool {
	var refusal twirp.Error
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied, twirp.Malformed, twirp.InvalidArgument, twirp.BadRoute:
		return true
	case twirp.Unavailable:
		return refusal.Msg() == errNotHere.Msg()
	default:
		return false
	}
}
