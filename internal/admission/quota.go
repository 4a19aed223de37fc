package admission

import "github.com/comfreyloom/comfreyloom/internal/model"

// Quota counts the requests in progress of each team at one entry VM. Waiting
// requests count as well as running ones, so that one team can't fill the
// queues.
type Quota struct {
	inProgress map[model.TeamID]int
}

// NewQuota returns a quota without requests.
func NewQuota() *Quota { return &Quota{inProgress: map[model.TeamID]int{}} }

// Acquire counts a request and reports true, unless its team already has limit
// requests in progress; 0 means no limit.
func (q *Quota) Acquire(team model.TeamID, limit int) bool {
	if limit > 0 && q.inProgress[team] >= limit {
		return false
	}
	q.inProgress[team]++
	return true
}

// Release ends the count of a request of the team.
func (q *Quota) Release(team model.TeamID) {
	if q.inProgress[team] <= 1 {
		delete(q.inProgress, team)
		return
	}
	q.inProgress[team]--
}

// InProgress returns the number of requests of the team.
func (q *Quota) InProgress(team model.TeamID) int { return q.inProgress[team] }
