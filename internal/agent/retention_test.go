package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/matryer/is"
)

// Symptom: after some days every keyed request and every job is refused.
// Sequence: claims and jobs end, and more come, until the tables are full.
// Cause: nothing drops what ended long ago.
func TestForgettingKeepsTablesBounded(t *testing.T) {
	now := model.Instant(0).Add(100 * keepLong)
	claims := func(n int, age time.Duration) []*model.Claim {
		var all []*model.Claim
		for i := range n {
			all = append(all, &model.Claim{Key: model.RequestKey(fmt.Sprint(i)), Deadline: now.Add(-age)})
		}
		return all
	}
	nearlyFull := state.MaxClaims*3/4 + 1
	cases := []struct {
		name   string
		claims []*model.Claim
		before model.Instant
	}{
		{"young claims stay", claims(10, keepLong-time.Second), 0},
		{"old claims go", claims(10, keepLong+time.Second), now.Add(-keepLong)},
		{"nearly full, young claims stay", claims(nearlyFull, keepShort-time.Second), 0},
		{"nearly full, claims go sooner", claims(nearlyFull, keepShort+time.Second), now.Add(-keepShort)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			commands := forgetting(now, c.claims, nil)
			if c.before == 0 {
				is.Equal(len(commands), 0)
				return
			}
			is.Equal(len(commands), 1)
			is.Equal(commands[0].ForgetClaims.Before, c.before)
		})
	}
	is := is.New(t)
	ended := map[model.JobID]*model.Job{"a": {State: model.JobDone, Changed: now.Add(-keepLong - time.Second)}}
	is.Equal(len(forgetting(now, nil, ended)), 1)
	ended["a"] = &model.Job{State: model.JobQueued, Changed: now.Add(-keepLong - time.Second)}
	is.Equal(len(forgetting(now, nil, ended)), 0) // a job that still waits is kept
}
