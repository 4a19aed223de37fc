package member

import (
	"context"
	"errors"

	"github.com/apex/log"

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
	logger  log.Interface
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
	if c.Config != nil {
		l.logConfig(c.Config.Version, result.Index)
	}
	return nil
}

// logConfig logs that a configuration is committed, and with how many voters, so
// that one which is lost later can be traced to the disks that held it.
func (l controlLog) logConfig(version, index uint64) {
	s := l.replica.Status()
	l.logger.WithField("version", version).WithField("index", index).WithField("term", s.Term).
		WithField("voters", len(s.Voters.Members)).Info("configuration committed")
}
