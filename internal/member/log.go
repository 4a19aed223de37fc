package member

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/replica"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// controlLog implements control.Log with the local replica.
type controlLog struct {
	replica *replica.Replica
	wallMS  func() int64
}

var _ control.Log = controlLog{}

// Status returns the leader and whether this VM leads. This VM is confirmed only
// after it has committed an entry of its own term: before, it may not have applied
// what earlier leaders committed.
func (l controlLog) Status() control.LogStatus {
	s := l.replica.Status()
	return control.LogStatus{
		Leader: datafolder.NodeOf(s.Leader), Term: s.Term, Leads: s.Role == quorum.RoleLeader,
		Confirmed: s.Role == quorum.RoleLeader && s.Confirmed && s.Ready && s.Applied >= s.Commit,
	}
}

// errRefused means that a command was committed and had no effect.
var errRefused = errors.New("member: the command was refused")

// Propose commits a command through the replica of this VM.
func (l controlLog) Propose(ctx context.Context, c *workload.Command) error {
	c.AtMS = l.wallMS()
	data, err := workload.Encode(c)
	if err != nil {
		return errors.Join(state.ErrNotProposed, err)
	}
	result, err := l.replica.Propose(ctx, data)
	if err != nil {
		return err
	}
	if result.Refused != "" {
		return errors.Join(state.ErrNotProposed, errRefused, errors.New(string(result.Refused)))
	}
	return nil
}
