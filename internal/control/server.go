package control

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// LogStatus is the leadership of the control log as this core VM sees it.
type LogStatus struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	// Leads is set when this VM takes itself for the leader of its term.
	Leads bool
	// Confirmed is set when this VM leads, a quorum currently confirms it, and
	// it has applied everything that earlier leaders committed.
	Confirmed bool
}

// Log is the control log on this core VM.
type Log interface {
	// Status returns the current leadership.
	Status() LogStatus
	// Propose commits a command. Errors wrap state.ErrNotProposed or
	// state.ErrOutcomeUnknown.
	Propose(ctx context.Context, c *workload.Command) error
}

// Dispatcher is the part of the leader that knows the workers.
type Dispatcher interface {
	// Report returns once the leader uses the report for its decisions.
	Report(ctx context.Context, r Report) error
	// Leave returns nil once no leader starts anything on the incarnation any more and its
	// runs have been stopped, as far as it answers in time.
	Leave(ctx context.Context, id workload.WorkerID) error
	// Pending returns the number of live jobs of a queue of which nothing has started.
	Pending(queue workload.QueueID) int
}

// Server handles the control calls on a core VM.
type Server struct {
	log        Log
	machine    *workload.Machine
	directory  *Directory
	dispatcher Dispatcher
	admission  admission
}

// NewServer returns the server of a core VM. Room bounds the jobs that it accepts.
func NewServer(l Log, m *workload.Machine, d *Directory, w Dispatcher, room workload.Room) *Server {
	return &Server{log: l, machine: m, directory: d, dispatcher: w, admission: admission{room: room}}
}

var _ controlpb.Control = (*Server)(nil)

// Hello records a core VM and returns the leader, the core VMs and the limits
// of callers' requests.
func (s *Server) Hello(_ context.Context, r *controlpb.HelloRequest) (*controlpb.HelloReply, error) {
	if r.Core && r.Node != "" {
		s.directory.RecordContact(model.NodeID(r.Node))
	}
	status := s.log.Status()
	reply := &controlpb.HelloReply{Leader: string(status.Leader), Term: status.Term, Confirmed: status.Confirmed}
	for _, core := range s.directory.Cores() {
		reply.Cores = append(reply.Cores, string(core))
	}
	if status.Confirmed {
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

// Ask handles a request if this VM leads, and names the leader otherwise.
func (s *Server) Ask(ctx context.Context, r *controlpb.Request) (*controlpb.Reply, error) {
	status := s.log.Status()
	reply := &controlpb.Reply{Leader: string(status.Leader), Term: status.Term}
	if !status.Confirmed {
		reply.Outcome = controlpb.Outcome_OUTCOME_NOT_RUN
		return reply, nil
	}
	if err := s.handle(ctx, r, reply); err != nil {
		reply.Outcome = outcomeOf(err)
		return reply, nil
	}
	reply.Outcome = controlpb.Outcome_OUTCOME_DONE
	return reply, nil
}

// outcomeOf maps the error of a request: only one that proves that nothing was
// proposed means that the request was not run.
func outcomeOf(err error) controlpb.Outcome {
	if errors.Is(err, state.ErrNotProposed) {
		return controlpb.Outcome_OUTCOME_NOT_RUN
	}
	return controlpb.Outcome_OUTCOME_UNKNOWN
}

func (s *Server) handle(ctx context.Context, r *controlpb.Request, reply *controlpb.Reply) error {
	switch request := r.Ask.(type) {
	case *controlpb.Request_Submit:
		return s.submit(ctx, request.Submit, reply)
	case *controlpb.Request_Cancel:
		return s.cancel(ctx, request.Cancel, reply)
	case *controlpb.Request_State:
		return s.state(request.State, reply)
	case *controlpb.Request_Pending:
		return s.pending(request.Pending, reply)
	case *controlpb.Request_PutConfig:
		return s.putConfig(ctx, request.PutConfig, reply)
	case *controlpb.Request_GetConfig:
		return s.getConfig(reply)
	case *controlpb.Request_Report:
		return s.report(ctx, request.Report, reply)
	case *controlpb.Request_Leave:
		reply.Finding = controlpb.Finding_FINDING_OK
		return s.dispatcher.Leave(ctx, workload.WorkerID(request.Leave.GetId()))
	case *controlpb.Request_StartWave:
		return s.startWave(ctx, request.StartWave, reply)
	case *controlpb.Request_Wave:
		return s.wave(request.Wave.GetId(), reply)
	default:
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
}
