package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const (
	// cancelQueueSize bounds the cancellations that wait.
	cancelQueueSize = 4096
	// maxCancelBatch bounds the cancellations of one command.
	maxCancelBatch = 1024
	// cancelTimeout bounds one command.
	cancelTimeout = 10 * time.Second
)

// cancellation is a job to be cancelled and the channel for the result.
type cancellation struct {
	job  model.JobID
	done chan error
}

// cancelJob serves DELETE /jobs/:id.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	job, f := s.findJob(r.Context(), model.JobID(p.ByName("id")))
	if f != nil {
		s.writeFailure(w, id, f)
		return
	}
	c := cancellation{job: job.Spec.ID, done: make(chan error, 1)}
	if err := s.cancelQueue.TryPut(c); err != nil {
		s.writeFailure(w, id, overloaded("too many cancellations wait", time.Second))
		return
	}
	select {
	case err := <-c.done:
		s.writeCancelResult(w, id, c.job, err)
	case <-r.Context().Done():
	}
}

func (s *Server) writeCancelResult(w http.ResponseWriter, id string, job model.JobID, err error) {
	if err != nil {
		s.writeFailure(w, id, proposalFailure(err, "cancelling again is safe"))
		return
	}
	current := s.Log.View().Jobs[job]
	if current == nil {
		s.writeFailure(w, id, refuse(http.StatusNotFound, "no such job"))
		return
	}
	s.writeJSON(w, id, http.StatusOK, model.Ran, newJobResponse(current))
}

// runCancellations cancels in batches: cancellations that arrive while one
// command is being committed are sent together in the next one.
func (s *Server) runCancellations(ctx context.Context) {
	for {
		first, err := s.cancelQueue.Get(ctx)
		if err != nil {
			return
		}
		batch := s.collectBatch(first)
		err = s.proposeCancel(ctx, batch)
		for _, c := range batch {
			c.done <- err
		}
	}
}

func (s *Server) collectBatch(first cancellation) []cancellation {
	batch := []cancellation{first}
	for len(batch) < maxCancelBatch {
		next, ok := s.cancelQueue.TryGet()
		if !ok {
			break
		}
		batch = append(batch, next)
	}
	return batch
}

func (s *Server) proposeCancel(ctx context.Context, batch []cancellation) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	jobs := make([]model.JobID, 0, len(batch))
	for _, c := range batch {
		jobs = append(jobs, c.job)
	}
	_, err := s.Log.Propose(ctx, state.Command{
		ID:         model.CommandID("cancel/" + uuid.NewString()),
		At:         model.InstantOf(s.Now()),
		Actor:      "caller",
		CancelJobs: &state.CancelJobs{Jobs: jobs},
	})
	return err
}
