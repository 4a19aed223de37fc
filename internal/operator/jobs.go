package operator

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// maxJobs is the maximum number of jobs in a response.
const maxJobs = 1_000

// JobList is the body of the response to GET /jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Total counts all jobs that match the query, including those beyond the
	// limit.
	Total int `json:"total"`
}

// getJobs lists jobs, urgent ones first and then by age. The query may filter by
// state, team and pool, and set a limit.
func (s *server) getJobs(w http.ResponseWriter, r *http.Request, _ string) {
	query := r.URL.Query()
	limit := maxJobs
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxJobs {
			respondError(w, http.StatusBadRequest, fmt.Sprintf("limit is %q; allowed: 1 to %d", text, maxJobs))
			return
		}
		limit = n
	}
	matches := func(wanted, value string) bool { return wanted == "" || wanted == value }
	var found []*model.Job
	for _, job := range s.Log.View().Jobs {
		if matches(query.Get("state"), job.State.String()) &&
			matches(query.Get("team"), string(job.Spec.Team)) &&
			matches(query.Get("pool"), string(job.Spec.Pool)) {
			found = append(found, job)
		}
	}
	slices.SortFunc(found, compareJobs)
	list := JobList{Jobs: []JobStatus{}, Total: len(found)}
	for _, job := range found[:min(limit, len(found))] {
		list.Jobs = append(list.Jobs, describeJob(job))
	}
	respond(w, http.StatusOK, model.Ran, list)
}
