package control

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Report is a worker's report about itself.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Worker workload.Worker
	// Sequence increases with each report of one incarnation.
	Sequence uint64
	// ClockMS is the worker's monotonic clock.
	ClockMS int64
	// RemainingMS is the least time for which a draining worker stays.
	RemainingMS int64
	// ColdMS is for how much longer the worker is slow after its start.
	ColdMS int64
}

// submit accepts a job. It returns once the job is durable at a quorum.
func (s *Server) submit(ctx context.Context, request *controlpb.SubmitJob, reply *controlpb.Reply) error {
	name := request.GetJob()
	var queue workload.QueueID
	s.machine.Read(func(t *workload.Tables) {
		if job := t.Jobs[workload.JobID(name.GetId())]; job != nil {
			reply.Finding = controlpb.Finding_FINDING_OK
			return
		}
		queue, reply.Finding = route(t, name.GetHost(), name.GetPath(), name.GetId())
	})
	if reply.Finding != controlpb.Finding_FINDING_OK || queue.Prefix == "" {
		return nil
	}
	spec, err := workload.DecodeSpec(request.GetSpec())
	if err != nil {
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
	footprint := spec.Footprint()
	if !s.admit(footprint) {
		reply.Finding = controlpb.Finding_FINDING_UNSPECIFIED // not accepted; the caller may retry
		return nil
	}
	accepted := workload.Submit{ID: workload.JobID(name.GetId()), Queue: queue, Spec: spec}
	err = s.log.Propose(ctx, &workload.Command{Submit: []workload.Submit{accepted}})
	s.admission.settle(footprint, err)
	return err
}

// admit reserves the memory of the core VMs for a job, and reports false if there is no
// room for it.
func (s *Server) admit(footprint int64) (admitted bool) {
	s.machine.Read(func(t *workload.Tables) { admitted = s.admission.reserve(t.Footprint(), footprint) })
	return admitted
}

// route returns the queue for a host and path. The part of the path behind the
// queue's prefix must be the job's ID.
func route(t *workload.Tables, host, path, id string) (workload.QueueID, controlpb.Finding) {
	if t.Config == nil {
		return workload.QueueID{}, controlpb.Finding_FINDING_NO_CONFIG
	}
	q := t.Config.Route(host, path)
	if q == nil || path[len(q.ID.Prefix):] != id {
		return workload.QueueID{}, controlpb.Finding_FINDING_NOT_FOUND
	}
	return q.ID, controlpb.Finding_FINDING_OK
}

// findJob returns the job that was accepted under a host and path, or nil. It
// does not look at the configuration, so that jobs of a removed queue are still
// found.
func findJob(t *workload.Tables, name *controlpb.JobName) *workload.Job {
	job := t.Jobs[workload.JobID(name.GetId())]
	if job == nil || job.Queue.Host != name.GetHost() || job.Queue.Prefix+string(job.ID) != name.GetPath() {
		return nil
	}
	return job
}

// cancel cancels a job unless it has ended. The call may be repeated.
func (s *Server) cancel(ctx context.Context, name *controlpb.JobName, reply *controlpb.Reply) error {
	cancellable := false
	s.machine.Read(func(t *workload.Tables) {
		if job := findJob(t, name); job != nil {
			reply.Finding, cancellable = controlpb.Finding_FINDING_OK, job.MayCancel()
			return
		}
		reply.Finding = notFoundFinding(t)
	})
	if !cancellable {
		return nil
	}
	return s.log.Propose(ctx, &workload.Command{Cancel: []workload.JobID{workload.JobID(name.GetId())}})
}

// state reads the state of a job.
func (s *Server) state(name *controlpb.JobName, reply *controlpb.Reply) error {
	s.machine.Read(func(t *workload.Tables) {
		if job := findJob(t, name); job != nil {
			reply.Finding, reply.State = controlpb.Finding_FINDING_OK, uint32(job.State)
			return
		}
		reply.Finding = notFoundFinding(t)
	})
	return nil
}

// notFoundFinding returns why a job was not found: there is no configuration
// yet, or no such job.
func notFoundFinding(t *workload.Tables) controlpb.Finding {
	if t.Config == nil {
		return controlpb.Finding_FINDING_NO_CONFIG
	}
	return controlpb.Finding_FINDING_NOT_FOUND
}

// pending counts the pending jobs of a queue.
func (s *Server) pending(name *controlpb.QueueName, reply *controlpb.Reply) error {
	var queue workload.QueueID
	s.machine.Read(func(t *workload.Tables) {
		queue, reply.Finding = route(t, name.GetHost(), name.GetPath(), "")
	})
	if reply.Finding == controlpb.Finding_FINDING_OK {
		reply.Pending = uint64(s.dispatcher.Pending(queue))
	}
	return nil
}

// putConfig puts a configuration in force unless its version is not higher than
// the one in force.
func (s *Server) putConfig(ctx context.Context, data []byte, reply *controlpb.Reply) error {
	config, err := workload.DecodeConfig(data)
	if err != nil {
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
	reply.Finding = controlpb.Finding_FINDING_OK
	newer := false
	s.machine.Read(func(t *workload.Tables) { newer = t.Config == nil || t.Config.Version < config.Version })
	if !newer {
		return nil
	}
	return s.log.Propose(ctx, &workload.Command{Config: config})
}

func (s *Server) getConfig(reply *controlpb.Reply) error {
	s.machine.Read(func(t *workload.Tables) {
		if t.Config == nil {
			reply.Finding = controlpb.Finding_FINDING_NO_CONFIG
			return
		}
		reply.Finding, reply.Config = controlpb.Finding_FINDING_OK, t.Config.Text
	})
	return nil
}

func (s *Server) report(ctx context.Context, data []byte, reply *controlpb.Reply) error {
	r, err := DecodeReport(data)
	if err != nil {
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
	reply.Finding = controlpb.Finding_FINDING_OK
	return s.dispatcher.Report(ctx, r)
}

// startWave stores a wave unless one with its ID exists.
func (s *Server) startWave(ctx context.Context, data []byte, reply *controlpb.Reply) error {
	wave, err := DecodeWave(data)
	if err != nil {
		reply.Finding = controlpb.Finding_FINDING_INVALID
		return nil
	}
	reply.Finding = controlpb.Finding_FINDING_OK
	exists := false
	s.machine.Read(func(t *workload.Tables) { exists = t.Waves[wave.ID] != nil })
	if exists {
		return nil
	}
	return s.log.Propose(ctx, &workload.Command{Wave: wave})
}

func (s *Server) wave(id int64, reply *controlpb.Reply) error {
	s.machine.Read(func(t *workload.Tables) {
		reply.Finding = controlpb.Finding_FINDING_NOT_FOUND
		if w := t.Waves[id]; w != nil {
			reply.Finding, reply.Completed = controlpb.Finding_FINDING_OK, w.Completed()
		}
	})
	return nil
}
