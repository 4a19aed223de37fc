package main

import (
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// refusalSoakSeeds is how many seeds TestRefusalSoak plays by itself.
const refusalSoakSeeds = 1

// workerDisorder is what the workers of TestRefusalSoak do to their calls.
var workerDisorder = standin.Disorder{Refused: 20, Unclear: 10, Late: 10, MaxDelay: 4 * time.Second}

// The soak with workers that refuse calls, reply unclearly and carry calls out late.
func TestRefusalSoak(t *testing.T) {
	playSoaks(t, refusalSoakSeeds, func(t *testing.T, seed uint64) {
		s := newSoak(t, seed)
		s.disorder = workerDisorder
		for i, w := range s.workers {
			w.Disturb(s.disorder, seed+uint64(i))
		}
		s.run(seed)
		if !s.hasLogged("stop refused") {
			t.Error("no worker refused a stop")
		}
	})
}

// endDisorder has all workers carry out each call from now on.
func (s *soak) endDisorder() {
	s.disorder = standin.Disorder{}
	for _, w := range s.workers {
		w.Disturb(s.disorder, 0)
	}
}
