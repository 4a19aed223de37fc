package main

import (
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/operator"
)

type jobsCommand struct {
	remote
	State string `arg:"--state" help:"only jobs in this state, such as queued or held"`
	Team  string `arg:"--team" help:"only jobs of this team"`
	Pool  string `arg:"--pool" help:"only jobs of this pool"`
}

func (k *jobsCommand) run(c console) exitCode {
	query := url.Values{}
	for key, value := range map[string]string{"state": k.State, "team": k.Team, "pool": k.Pool} {
		if value != "" {
			query.Set(key, value)
		}
	}
	var list operator.JobList
	if code := k.get(c, "jobs", "/jobs?"+query.Encode(), 0, &list); code != exitDone {
		return code
	}
	printJobs(c, list)
	return exitDone
}

func printJobs(c console, list operator.JobList) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tTEAM\tPOOL\tPRIORITY\tSTATE\tSUBMITTED\tATTEMPTS\tMOVES\tWHY")
	for _, j := range list.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", j.Job, j.Team, j.Pool, j.Priority, j.State,
			j.Submitted.Format(time.RFC3339), j.Attempts, j.Moves, j.Reason)
	}
	_ = w.Flush() // a closed console can't show an error either
	fmt.Fprintf(c.out, "%d of %d jobs\n", len(list.Jobs), list.Total)
}
