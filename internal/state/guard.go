package state

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Violation describes the violation of an invariant.
type Violation struct {
	// Invariant is the name of the invariant.
	Invariant string `json:"invariant"`
	// Detail describes what was found.
	Detail string `json:"detail"`
}

// The guards run at every change, also if a rule is switched off: they compare
// the record before and after the change, not the decision, and so detect a
// missing or faulty rule.

// guard records a violation of the invariant if violated is true.
func (c *core) guard(violated bool, invariant, format string, args ...any) {
	if !violated || len(c.violations) >= MaxViolations {
		return
	}
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

func (c *core) guardRevision(a *ApplyManifest) {
	site := c.head.Manifest.Site
	if site == nil {
		return
	}
	c.guard(a.Revision <= site.Revision, "manifest-never-reverts",
		"revision %d replaces %d", a.Revision, site.Revision)
}

// guardOwner checks a change of ownership: generations increase, and the pool
// changes only for a VM that was moving and has no tasks.
func (c *core) guardOwner(from, to *model.Ownership) {
	if from == nil {
		c.guard(to.Generation <= c.head.RetiredGeneration, "generation-grows",
			"VM %s enters at generation %d", to.VM, to.Generation)
		return
	}
	c.guard(to.Generation <= from.Generation, "generation-grows",
		"VM %s goes from generation %d to %d", to.VM, from.Generation, to.Generation)
	if to.Pool == from.Pool {
		return
	}
	c.guard(!from.Moving, "one-pool", "VM %s changes its pool without a move", to.VM)
	c.guard(c.derived.vmTasks[to.VM] > 0, "one-pool",
		"VM %s changes its pool with %d tasks", to.VM, c.derived.vmTasks[to.VM])
}

// guardClaim checks that a claim is granted once and settled once.
func (c *core) guardClaim(from, to *model.Claim) {
	if from == nil {
		return
	}
	sameOwner := from.Owner == to.Owner && from.Incarnation == to.Incarnation
	if to.State == model.ClaimRunning {
		c.guard(!isSettledNotRun(from), "claim-once", "key %s was granted again", to.Key)
		return
	}
	c.guard(!sameOwner, "claim-owner", "key %s changed its owner", to.Key)
	bodyDropped := to.Answer != nil && to.Answer.Dropped && from.Answer != nil
	sameOutcome := from.State == to.State && from.Verdict == to.Verdict
	c.guard(from.State != model.ClaimRunning && !(sameOutcome && bodyDropped), "claim-settles-once",
		"key %s changed after it was settled", to.Key)
}

// guardJob checks that a job ends once, that a cancelled job never starts, that a
// job has one task at a time and that a job that is not idempotent runs at most
// once.
func (c *core) guardJob(from, to *model.Job) {
	id := to.Spec.ID
	c.guard(ended(from.State), "job-ends-once", "job %s goes from %s to %s", id, from.State, to.State)
	starts := to.State == model.JobRunning && to.Attempts > from.Attempts
	c.guard(starts && (from.Cancelled || from.State == model.JobCancelled), "cancelled-never-starts",
		"job %s started after it was cancelled", id)
	c.guard(starts && from.State == model.JobRunning, "one-task", "job %s started twice", id)
	requeued := from.State == model.JobRunning && to.State == model.JobQueued
	mayHaveRun := to.Attempts == from.Attempts
	c.guard(requeued && mayHaveRun && !to.Spec.Idempotent, "runs-at-most-once",
		"job %s is not idempotent and was queued again", id)
}

// guardStart checks that no task starts on a VM that is moving or under
// maintenance.
func (c *core) guardStart(t *model.Task) {
	owner := c.owners.get(t.VM)
	c.guard(owner.Moving, "one-pool", "task %s starts on VM %s, which is moving", t.ID, t.VM)
	c.guard(c.permits.get(t.VM) != nil, "permit-excludes-start",
		"task %s starts on VM %s, which is under maintenance", t.ID, t.VM)
}

// guardEnd checks that no task is recorded as lapsed while it may still run.
func (c *core) guardEnd(command *Command, t *model.Task, o TaskOutcome) {
	early := command.At < t.LeaseUntil.Add(DriftMargin)
	c.guard(o == OutcomeLapsed && early, "lease-holds", "task %s was given up before its lease ended", t.ID)
}
