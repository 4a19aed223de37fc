package control

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Standing is how this core VM stands in the control log.
type Standing struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	// Leads says that this VM is the leader of its term by its own account.
	Leads bool
	// Confirmed says that this VM leads, a quorum confirms it by now, and it
	// has applied everything that earlier leaders committed.
	Confirmed bool
}

// Log is the control log on this core VM.
type Log interface {
	Standing() Standing
	// Propose commits a command. Errors wrap state.ErrNotProposed or
	// state.ErrOutcomeUnknown.
	Propose(ctx context.Context, c *workload.Command) error
}

// Reporter takes the reports of workers on the leader.
type Reporter interface {
	// Report returns once the leader acts on the report.
	Report(ctx context.Context, r Report) error
	// Leave returns once the leader knows that the incarnation is over.
	Leave(ctx context.Context, id workload.WorkerID) error
}

// Server answers on a core VM.
type Server struct {
	log       Log
	machine   *workload.Machine
	directory *Directory
	reporter  Reporter
}

// NewServer returns the server of a core VM.
func NewServer(l Log, m *workload.Machine, d *Directory, r Reporter) *Server {
	return &Server{log: l, machine: m, directory: d, reporter: r}
}

var _ controlpb.Control = (*Server)(nil)

// Hello notes a core VM and tells what a process should know.
func (s *Server) Hello(_ context.Context, r *controlpb.HelloRequest) (*controlpb.HelloReply, error) {
	if r.Core && r.Node != "" {
		s.directory.Heard(model.NodeID(r.Node))
	}
	standing := s.log.Standing()
	reply := &controlpb.HelloReply{Leader: string(standing.Leader), Term: standing.Term, Confirmed: standing.Confirmed}
	for _, core := range s.directory.Cores() {
		reply.Cores = append(reply.Cores, string(core))
	}
	if standing.Confirmed {
		s.machine.Read(func(t *workload.Tables) { fillLimits(reply, t.Config) })
	}
	return reply, nil
}

func fillLimits(reply *controlpb.HelloReply, c *workload.Config) {
	if c == nil {
		return
	}
	reply.ConfigVersion = c.Version
	reply.HeaderBytes, reply.BodyBytes = c.Limits.HeaderBytes, c.Limits.BodyBytes
	reply.HeaderTimeoutMs, reply.IdleTimeoutMs = c.Limits.HeaderTimeoutMS, c.Limits.IdleTimeoutMS
}

// Ask answers a request if this VM leads, and names the leader otherwise.
func (s *Server) Ask(ctx context.Context, r *controlpb.Request) (*controlpb.Reply, error) {
	standing := s.log.Standing()
	reply := &controlpb.Reply{Leader: string(standing.Leader), Term: standing.Term}
	if !standing.Confirmed {
		reply.Outcome = controlpb.Outcome_OUTCOME_NOT_RUN
		return reply, nil
	}
	if err := s.answer(ctx, r, reply); err != nil {
		reply.Outcome = outcomeOf(err)
		return reply, nil
	}
	reply.Outcome = controlpb.Outcome_OUTCOME_DONE
	return reply, nil
}

func outcomeOf(err error) controlpb.Outcome {
	if errors.Is(err, state.ErrNotProposed) {
		return controlpb.Outcome_OUTCOME_NOT_RUN
	}
	return controlpb.Outcome_OUTCOME_UNKNOWN
}

func (s *Server) answer(ctx context.Context, r *controlpb.Request, reply *controlpb.Reply) error {
	switch ask := r.Ask.(type) {
	case *controlpb.Request_Submit:
		return s.submit(ctx, ask.Submit, reply)
	case *controlpb.Request_Cancel:
		return s.cancel(ctx, ask.Cancel, reply)
	case *controlpb.Request_State:
		return s.state(ask.State, reply)
	case *controlpb.Request_Pending:
		return s.pending(ask.Pending, reply)
	case *controlpb.Request_PutConfig:
		return s.putConfig(ctx, ask.PutConfig, reply)
	case *controlpb.Request_GetConfig:
		return s.getConfig(reply)
	case *controlpb.Request_Report:
		return s.report(ctx, ask.Report, reply)
	case *controlpb.Request_Leave:
		reply.Finding = controlpb.Finding_FINDING_OK
		return s.reporter.Leave(ctx, workload.WorkerID(ask.Leave.GetId()))
	case *controlpb.Request_StartWave:
		return s.startWave(ctx, ask.StartWave, reply)
	case *controlpb.Request_Wave:
		return s.wave(ask.Wave.GetId(), reply)
	default:
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
}
