package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/matryer/is"
)

// Guards against tables of claims and jobs that are full after some days, because
// nothing drops those that ended long ago: all further keyed requests and jobs
// are then refused.
func TestRetentionKeepsTablesBounded(t *testing.T) {
	now := model.Instant(0).Add(100 * retention)
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
		{"young claims stay", claims(10, retention-time.Second), 0},
		{"old claims go", claims(10, retention+time.Second), now.Add(-retention)},
		{"nearly full, young claims stay", claims(nearlyFull, shortRetention-time.Second), 0},
		{"nearly full, claims go sooner", claims(nearlyFull, shortRetention+time.Second), now.Add(-shortRetention)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			commands := forgetCommands(now, c.claims, nil)
			if c.before == 0 {
				is.Equal(len(commands), 0)
				return
			}
			is.Equal(len(commands), 1)
			is.Equal(commands[0].ForgetClaims.Before, c.before)
		})
	}
	is := is.New(t)
	ended := map[model.JobID]*model.Job{"a": {State: model.JobDone, Changed: now.Add(-retention - time.Second)}}
	is.Equal(len(forgetCommands(now, nil, ended)), 1)
	ended["a"] = &model.Job{State: model.JobQueued, Changed: now.Add(-retention - time.Second)}
	is.Equal(len(forgetCommands(now, nil, ended)), 0) // a job that still waits is kept
}
