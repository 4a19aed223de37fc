package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// lastingSite has a lasting step with a task on each of two workers.
func lastingSite(t *testing.T) *world {
	t.Helper()
	w := newWorld(1)
	w.trouble = 0
	w.workers = w.workers[:2]
	w.play(200 * time.Millisecond)
	w.submitJob("lasts", workload.StepSpec{Count: 2, Need: workload.Resources{CPU: 1500}, Lasting: true, MaxUnavailable: 1})
	return w
}

// attempts returns the highest attempt of each task of the lasting job.
func (w *world) attempts() (all []int) {
	w.machine.Read(func(t *workload.Tables) {
		for _, task := range t.Jobs["lasts"].Occurrences[0].Steps[0].Tasks {
			all = append(all, task.Attempt)
		}
	})
	return all
}

// A worker whose answers don't arrive for a while says nothing of the progress of
// its tasks; they must not be stopped for standing still when it answers again.
func TestASilentSpellIsNoStandstill(t *testing.T) {
	is := is.New(t)
	w := lastingSite(t)
	w.play(300 * time.Millisecond) // its tasks are warming up
	w.workers[0].cut = true
	w.play(standstill + 300*time.Millisecond)
	w.workers[0].cut = false
	w.play(3 * time.Second)
	is.Equal(w.attempts(), []int{1, 1})
}

// A task that does hang is stopped in time.
func TestATaskThatHangsIsStopped(t *testing.T) {
	is := is.New(t)
	w := lastingSite(t)
	w.workers[0].worker.Hangs, w.workers[0].worker.HangsAt = true, 18
	w.play(100 * time.Millisecond)
	w.play(3 * time.Second)
	is.True(len(w.workers[0].worker.Running()) == 0 || w.workers[0].worker.Running()[0].Attempt > 1)
}

// A lasting task must not be stopped for standing still while another of its step
// is away.
func TestAStandstillWaitsForTheBudgetOfItsStep(t *testing.T) {
	is := is.New(t)
	w := lastingSite(t)
	w.play(2 * time.Second)
	is.Equal(w.attempts(), []int{1, 1})
	w.crash(w.workers[1])
	w.workers[1].down = w.now + 6*time.Second
	w.workers[0].worker.Hangs, w.workers[0].worker.HangsAt = true, 60
	w.play(5500 * time.Millisecond)
	is.Equal(w.workers[0].worker.Running()[0].Attempt, 1)
	w.play(6 * time.Second)
	for _, f := range w.workers {
		for _, run := range f.worker.Running() {
			is.True(run.Attempt > 1) // the lost one is back, then the one that hangs was stopped
		}
	}
}

// Two tasks that hang must not wait for each other for ever.
func TestTwoTasksThatHangAreStoppedInTurn(t *testing.T) {
	is := is.New(t)
	w := lastingSite(t)
	w.play(200 * time.Millisecond)
	for _, f := range w.workers {
		f.worker.Hangs, f.worker.HangsAt = true, 18
	}
	w.play(4 * time.Second)
	for _, f := range w.workers { // the one that was stopped works where it is now
		f.worker.Hangs = f.worker.Running()[0].Attempt == 1
	}
	w.play(6 * time.Second)
	got := w.attempts()
	is.True(got[0] > 1 && got[1] > 1)
}
