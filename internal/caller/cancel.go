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
	// cancelRing bounds the cancellations that wait.
	cancelRing = 4096
	// cancelBatch bounds the cancellations of one command.
	cancelBatch = 1024
	// cancelTimeout bounds one command.
	cancelTimeout = 10 * time.Second
)

// cancellation is one job to be cancelled and where to say how it went.
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
	if err := s.cancels.TryPut(c); err != nil {
		s.writeFailure(w, id, overloaded("too many cancellations wait", time.Second))
		return
	}
	select {
	case err := <-c.done:
		s.answerCancelled(w, id, c.job, err)
	case <-r.Context().Done():
	}
}

func (s *Server) answerCancelled(w http.ResponseWriter, id string, job model.JobID, err error) {
	if err != nil {
		s.writeFailure(w, id, notProposed(err, "cancelling again is safe"))
		return
	}
	now := s.Log.View().Jobs[job]
	if now == nil {
		s.writeFailure(w, id, refuse(http.StatusNotFound, "no such job"))
		return
	}
	s.writeJSON(w, id, http.StatusOK, model.Ran, answerOfJob(now))
}

// runCancel cancels in batches: a wave of cancellations that piles up while
// one command is committed goes into the next one together.
func (s *Server) runCancel(ctx context.Context) {
	for {
		first, err := s.cancels.Get(ctx)
		if err != nil {
			return
		}
		batch := s.gather(first)
		err = s.proposeCancel(ctx, batch)
		for _, c := range batch {
			c.done <- err
		}
	}
}

func (s *Server) gather(first cancellation) []cancellation {
	batch := []cancellation{first}
	for len(batch) < cancelBatch {
		next, ok := s.cancels.TryGet()
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
