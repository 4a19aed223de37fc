package state

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Broken is an invariant that does not hold.
type Broken struct {
	// Invariant is the name of the check.
	Invariant string `json:"invariant"`
	// Detail says what was found.
	Detail string `json:"detail"`
}

// The guards run at every change, whatever rules are in force: they look at
// the record before and after, not at the decision, and so notice when a rule
// is missing or wrong.

// guard remembers a broken invariant when broken is true.
func (c *core) guard(broken bool, invariant, format string, args ...any) {
	if !broken || len(c.broken) >= MaxBroken {
		return
	}
	c.broken = append(c.broken, Broken{invariant, fmt.Sprintf(format, args...)})
}

func (c *core) guardRevision(a *ApplyManifest) {
	site := c.head.Manifest.Site
	if site == nil {
		return
	}
	c.guard(a.Revision <= site.Revision, "manifest-never-reverts",
		"revision %d replaces %d", a.Revision, site.Revision)
}

// guardOwner checks a change of ownership: the pool changes only for a VM
// that was moving and that no task or permit holds on to.
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
	owner := from.Owner == to.Owner && from.Incarnation == to.Incarnation
	if to.State == model.ClaimRunning {
		c.guard(!settledNotRun(from), "claim-once", "key %s was granted again", to.Key)
		return
	}
	c.guard(!owner, "claim-owner", "key %s changed its owner", to.Key)
	dropped := to.Answer != nil && to.Answer.Dropped && from.Answer != nil
	same := from.State == to.State && from.Verdict == to.Verdict
	c.guard(from.State != model.ClaimRunning && !(same && dropped), "claim-settles-once",
		"key %s changed after it was settled", to.Key)
}

// guardJob checks that an ended job stays ended and that a job with a
// cancellation never starts.
func (c *core) guardJob(from, to *model.Job) {
	id := to.Spec.ID
	c.guard(ended(from.State), "job-ends-once", "job %s goes from %s to %s", id, from.State, to.State)
	starts := to.State == model.JobRunning && to.Attempts > from.Attempts
	c.guard(starts && (from.Cancelled || from.State == model.JobCancelled), "cancelled-never-starts",
		"job %s started after it was cancelled", id)
	c.guard(starts && from.State == model.JobRunning, "one-task", "job %s started twice", id)
	requeued := from.State == model.JobRunning && to.State == model.JobQueued
	unsure := to.Attempts == from.Attempts
	c.guard(requeued && unsure && !to.Spec.Idempotent, "runs-at-most-once",
		"job %s is not idempotent and was queued again", id)
}

// guardStart checks that a task starts only where its pool may place it.
func (c *core) guardStart(t *model.Task) {
	owner := c.owners.get(t.VM)
	c.guard(owner.Moving, "one-pool", "task %s starts on VM %s, which is moving", t.ID, t.VM)
	c.guard(c.permits.get(t.VM) != nil, "permit-excludes-start",
		"task %s starts on VM %s, which is under maintenance", t.ID, t.VM)
}

// guardEnd checks that nobody gives up a task which may still run.
func (c *core) guardEnd(command *Command, t *model.Task, o TaskOutcome) {
	early := command.At < t.LeaseUntil.Add(DriftMargin)
	c.guard(o == OutcomeLapsed && early, "lease-holds", "task %s was given up before its lease ended", t.ID)
}
