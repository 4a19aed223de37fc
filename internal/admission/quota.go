package admission

import "github.com/comfreyloom/comfreyloom/internal/model"

// Quota counts the requests in progress of each team at one entry VM: those
// that wait as well as those that run, so that one team can't fill the queues.
type Quota struct {
	running map[model.TeamID]int
}

// NewQuota returns an empty count.
func NewQuota() *Quota { return &Quota{running: map[model.TeamID]int{}} }

// Take counts a request unless its team has as many as limit; 0 is no limit.
func (q *Quota) Take(team model.TeamID, limit int) bool {
	if limit > 0 && q.running[team] >= limit {
		return false
	}
	q.running[team]++
	return true
}

// Give ends a request of the team.
func (q *Quota) Give(team model.TeamID) {
	if q.running[team] <= 1 {
		delete(q.running, team)
		return
	}
	q.running[team]--
}

// InProgress is the number of requests of the team.
func (q *Quota) InProgress(team model.TeamID) int { return q.running[team] }
