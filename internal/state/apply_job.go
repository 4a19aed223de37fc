package state

import (
	"crypto/sha256"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// submitJob stores a new job. The job keeps its ID until ForgetJobs drops it, so
// a repeated submission finds the first one and starts nothing.
func (c *core) submitJob(command *Command, spec model.JobSpec) Result {
	digest := specDigest(spec)
	if existing := c.jobs.get(spec.ID); existing != nil {
		if c.specs[spec.ID] != digest {
			return Result{Refused: "the job ID was used for another job"}
		}
		return Result{Job: withoutPayload(existing)}
	}
	if refused := c.validateJob(spec); refused != "" {
		return Result{Refused: refused}
	}
	job := &model.Job{
		Spec:      spec,
		State:     model.JobQueued,
		Reason:    "waits for its first placement",
		Submitted: command.At,
		Changed:   command.At,
	}
	c.specs[spec.ID] = digest
	c.putJob(job)
	return Result{Job: withoutPayload(job)}
}

func (c *core) validateJob(spec model.JobSpec) Refusal {
	if refused := validateID("job ID", string(spec.ID)); refused != "" {
		return refused
	}
	if len(spec.Kind) > MaxText {
		return refusef("the kind has more than %d bytes", MaxText)
	}
	if c.site.pools[spec.Pool] == nil {
		return refusef("the manifest has no pool %q", truncateText(string(spec.Pool)))
	}
	team := c.site.teams[spec.Team]
	if team == nil {
		return refusef("the manifest has no team %q", truncateText(string(spec.Team)))
	}
	if team.MaxJobs > 0 && c.derived.teamJobs[spec.Team] >= team.MaxJobs {
		return refusef("team %s has %d jobs queued or running, which is its most", team.ID, team.MaxJobs)
	}
	if c.jobs.len() >= MaxJobs {
		return refusef("%d jobs are kept, which is the most", MaxJobs)
	}
	if len(spec.Payload) > MaxPayload {
		return refusef("the payload has more than %d bytes", MaxPayload)
	}
	if c.derived.payloadBytes+int64(len(spec.Payload)) > MaxPayloadBytes {
		return "the payloads of the waiting jobs have used up their room"
	}
	return ""
}

// cancelJobs cancels each job independently; the cost per job does not depend
// on their number. A queued job ends here and never starts.
func (c *core) cancelJobs(command *Command, ids []model.JobID) Result {
	result := Result{Actions: make([]Refusal, len(ids))}
	cancelled := 0
	for i, id := range ids {
		result.Actions[i] = c.cancelJob(command, id)
		if result.Actions[i] == "" {
			cancelled++
		}
	}
	if len(ids) == 1 {
		result.Job = withoutPayload(c.jobs.get(ids[0]))
	}
	if cancelled > 0 {
		c.record(command, auditEntry{
			action:  "cancel-jobs",
			subject: firstOf(ids),
			after:   fmt.Sprintf("%d of %d cancelled", cancelled, len(ids)),
		})
	}
	return result
}

// firstOf describes a list of jobs by its first one.
func firstOf(ids []model.JobID) string {
	if len(ids) == 1 {
		return string(ids[0])
	}
	return fmt.Sprintf("%s and %d more", ids[0], len(ids)-1)
}

func (c *core) cancelJob(command *Command, id model.JobID) Refusal {
	job := c.jobs.get(id)
	if job == nil {
		return "no such job"
	}
	switch job.State {
	case model.JobCancelled:
		return ""
	case model.JobRunning:
		marked := *job
		marked.Cancelled = true
		marked.Reason = "cancelled; its attempt is being stopped"
		marked.Changed = command.At
		c.changeJob(job, &marked)
		return ""
	case model.JobQueued, model.JobHeld, model.JobUnplaceable:
		c.endJob(command, job, model.JobCancelled, "cancelled before it started")
		return ""
	default:
		return refusef("the job is %s already", job.State)
	}
}

// forgetJobs drops the jobs that ended before the instant.
func (c *core) forgetJobs(before model.Instant) Result {
	for _, job := range c.jobs.sorted() {
		if ended(job.State) && job.Changed < before {
			c.removeJob(job)
		}
	}
	return Result{}
}

// ended reports whether the state is final: the job can't run again.
func ended(s model.JobState) bool {
	switch s {
	case model.JobDone, model.JobFailed, model.JobCancelled, model.JobOutcomeUnknown:
		return true
	default:
		return false
	}
}

// setJob changes the state of a job that has no task. Jobs that ended are not
// changed.
func (c *core) setJob(command *Command, s *SetJob) Refusal {
	job := c.jobs.get(s.Job)
	if job == nil {
		return "no such job"
	}
	if ended(job.State) {
		return refusef("the job is %s already", job.State)
	}
	if task := c.derived.jobTasks[s.Job]; task != "" {
		return refusef("task %s of the job is still recorded", task)
	}
	reason := truncateText(s.Reason)
	switch s.State {
	case model.JobQueued, model.JobHeld, model.JobUnplaceable:
		if job.State == s.State && job.Reason == reason {
			return ""
		}
		changed := *job
		changed.State = s.State
		changed.Reason = reason
		changed.Changed = command.At
		c.changeJob(job, &changed)
	case model.JobFailed, model.JobOutcomeUnknown, model.JobCancelled:
		c.endJob(command, job, s.State, reason)
	default:
		return refusef("a job without a task can't become %s", s.State)
	}
	if s.State != model.JobQueued {
		c.recordJob(command, s.Job, job.State, s.State, reason)
	}
	return ""
}

func (c *core) recordJob(command *Command, id model.JobID, from, to model.JobState, reason string) {
	c.record(command, auditEntry{
		action:  "set-job",
		subject: string(id),
		before:  from.String(),
		after:   to.String(),
		cause:   reason,
	})
}

// endJob ends a job and drops its payload, which is no longer needed.
func (c *core) endJob(command *Command, job *model.Job, s model.JobState, reason string) {
	changed := *job
	changed.State = s
	changed.Reason = truncateText(reason)
	changed.Changed = command.At
	changed.Spec.Payload = nil
	c.changeJob(job, &changed)
}

func (c *core) changeJob(from, to *model.Job) {
	c.guardJob(from, to)
	c.putJob(to)
}

func specDigest(spec model.JobSpec) string {
	data, err := codec.Marshal(spec)
	if err != nil {
		panic(err) // can't happen: a JobSpec holds only numbers, strings and bytes
	}
	sum := sha256.Sum256(data)
	return string(sum[:16])
}

// withoutPayload returns the job as results contain it.
func withoutPayload(j *model.Job) *model.Job {
	if j == nil || j.Spec.Payload == nil {
		return j
	}
	short := *j
	short.Spec.Payload = nil
	return &short
}
