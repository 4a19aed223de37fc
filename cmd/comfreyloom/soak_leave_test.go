package main

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

const (
	// drainTime is how long a leaving worker drains before its notice.
	drainTime = 600 * time.Millisecond
	// leaveTimeout is when it ends without an acknowledgement, from its first notice.
	leaveTimeout = 2 * time.Second
)

// leavingWorker is a worker that drains and leaves. It has a stream of random numbers of
// its own, so that the faults of a seed stay the same without it.
type leavingWorker struct {
	random *rand.Rand
	index  int
	worker *standin.Worker
	// noticeAt is when it leaves, 0 once it does; ended is closed with its end.
	noticeAt time.Time
	ended    chan struct{}
}

// stepLeaving takes one worker after another out of the site: it drains, leaves with or
// without an acknowledgement, and is replaced at its address.
func (s *soak) stepLeaving(now time.Time) {
	l := &s.leaving
	switch {
	case l.worker == nil:
		l.index = l.random.IntN(soakWorkers)
		l.worker, l.noticeAt, l.ended = s.workers[l.index], now.Add(drainTime), make(chan struct{})
		l.worker.Drain()
	case l.noticeAt.IsZero():
		select {
		case <-l.ended:
			if s.workers[l.index] == l.worker { // no crash has replaced it
				s.startWorker(l.index, l.worker.Address())
			}
			l.worker = nil
		default:
		}
	case now.After(l.noticeAt):
		worker, ended, loseAcks := l.worker, l.ended, l.random.IntN(2) == 0
		l.noticeAt = time.Time{}
		go func() {
			defer close(ended)
			worker.Leave(leaveTimeout, loseAcks)
		}()
	}
}

// endLeaving lets the leaving worker go and replaces it.
func (s *soak) endLeaving() {
	for s.leaving.worker != nil {
		s.stepLeaving(time.Now())
		time.Sleep(20 * time.Millisecond)
	}
}
