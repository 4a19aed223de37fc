package operator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// maxJobs bounds the jobs of one answer.
const maxJobs = 1_000

// JobList is the answer to GET /jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Total counts the jobs that fit the query, also those beyond the limit.
	Total int `json:"total"`
}

// getJobs lists jobs, urgent ones and then the oldest first. The query may
// name a state, a team, a pool and a limit.
func (s *server) getJobs(w http.ResponseWriter, r *http.Request, _ string) {
	query := r.URL.Query()
	limit := maxJobs
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxJobs {
			fail(w, http.StatusBadRequest, fmt.Sprintf("limit is %q; allowed: 1 to %d", text, maxJobs))
			return
		}
		limit = n
	}
	fits := func(wanted, value string) bool { return wanted == "" || wanted == value }
	var found []*model.Job
	for _, job := range s.Log.View().Jobs {
		if fits(query.Get("state"), job.State.String()) &&
			fits(query.Get("team"), string(job.Spec.Team)) &&
			fits(query.Get("pool"), string(job.Spec.Pool)) {
			found = append(found, job)
		}
	}
	slices.SortFunc(found, compareJobs)
	list := JobList{Jobs: []JobStatus{}, Total: len(found)}
	for _, job := range found[:min(limit, len(found))] {
		list.Jobs = append(list.Jobs, describeJob(job))
	}
	answer(w, http.StatusOK, model.Ran, list)
}
