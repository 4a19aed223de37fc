package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// checker collects the invariants that a view violates.
type checker struct {
	view       *View
	violations []Violation
}

func (k *checker) fail(invariant, format string, args ...any) {
	k.violations = append(k.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// expect reports a violation unless holds is true. It is meant for checks that
// run seldom: its arguments are evaluated even if the check passes. Checks of
// rows test their condition first and call fail.
func (k *checker) expect(holds bool, invariant, format string, args ...any) {
	if !holds {
		k.fail(invariant, format, args...)
	}
}

// Check returns the invariants that a view violates. It reads every row.
func Check(v *View) []Violation {
	k := &checker{view: v}
	k.owners()
	k.permits()
	k.tasks()
	k.jobs()
	slices.SortFunc(k.violations, compareViolations)
	return k.violations
}

func compareViolations(a, b Violation) int {
	return cmp.Or(cmp.Compare(a.Invariant, b.Invariant), cmp.Compare(a.Detail, b.Detail))
}

// owners checks that each VM is in exactly one pool, with one entry.
func (k *checker) owners() {
	for id, owner := range k.view.Owners {
		if owner.VM != id {
			k.fail("one-pool", "the entry of VM %s is filed under %s", owner.VM, id)
		}
		if owner.Generation == 0 {
			k.fail("generation-grows", "VM %s has no generation", id)
		}
		if !owner.Moving && owner.Target != "" {
			k.fail("one-pool", "VM %s has a target but is not moving", id)
		}
		if owner.Moving && owner.Target == owner.Pool {
			k.fail("one-pool", "VM %s moves to its own pool", id)
		}
	}
}

// permits checks that only VMs that have an owner and are not moving are under
// maintenance.
func (k *checker) permits() {
	for id, permit := range k.view.Permits {
		owner := k.view.Owners[id]
		if owner == nil {
			k.fail("permit-owned", "VM %s has a permit but no entry", id)
			continue
		}
		if owner.Moving {
			k.fail("permit-owned", "VM %s has a permit and is moving", id)
		}
		if owner.Pool != permit.Pool {
			k.fail("permit-owned", "the permit of VM %s is of another pool", id)
		}
	}
}

// tasks checks that each instance or job has at most one task, and that each
// task of a job is on a VM of the job's pool.
func (k *checker) tasks() {
	instances := map[instanceKey]model.TaskID{}
	jobs := map[model.JobID]model.TaskID{}
	for id, task := range k.view.Tasks {
		if k.view.Owners[task.VM] == nil {
			k.fail("task-placed", "task %s is on VM %s, which has no entry", id, task.VM)
		}
		if task.Job != "" {
			other := jobs[task.Job]
			if other != "" {
				k.fail("one-task", "job %s has two tasks", task.Job)
			}
			jobs[task.Job] = id
			k.jobTask(task)
			continue
		}
		key := instanceKey{task.Service, task.Ordinal}
		if instances[key] != "" {
			k.fail("one-task", "instance %s/%d has two tasks", task.Service, task.Ordinal)
		}
		instances[key] = id
	}
}

// jobTask checks that the job of a task is running, on a VM of the job's pool.
func (k *checker) jobTask(task *model.Task) {
	job := k.view.Jobs[task.Job]
	if job == nil {
		k.fail("one-task", "task %s runs job %s, which is not known", task.ID, task.Job)
		return
	}
	if job.State != model.JobRunning {
		k.fail("one-task", "task %s runs job %s, which is %s", task.ID, task.Job, job.State)
	}
	owner := k.view.Owners[task.VM]
	if owner != nil && owner.Pool != job.Spec.Pool {
		k.fail("task-placed", "task %s of pool %s is on VM %s of pool %s",
			task.ID, job.Spec.Pool, task.VM, owner.Pool)
	}
}

// jobs checks that each running job has a task.
func (k *checker) jobs() {
	running := map[model.JobID]bool{}
	for _, task := range k.view.Tasks {
		running[task.Job] = true
	}
	for id, job := range k.view.Jobs {
		if job.State == model.JobRunning && !running[id] {
			k.fail("one-task", "job %s runs without a task", id)
		}
		if job.Attempts < 0 {
			k.fail("job-attempts", "job %s has %d attempts", id, job.Attempts)
		}
	}
}

// check returns the violations in the parts of the state that a view does not
// contain.
func (c *core) check() []Violation {
	k := &checker{}
	k.auditChain(&c.audit)
	k.expect(len(c.dedup.byID) <= MaxDedupEntries, "bounded", "%d command IDs are kept", len(c.dedup.byID))
	k.expect(c.claims.len() <= MaxClaims, "bounded", "%d claims are kept", c.claims.len())
	k.expect(c.derived.answerBytes <= MaxKeptBytes, "bounded", "%d bytes of answers are kept", c.derived.answerBytes)
	k.expect(c.jobs.len() <= MaxJobs, "bounded", "%d jobs are kept", c.jobs.len())
	fresh := c.rebuild()
	k.derivedCounts(c, fresh)
	k.sums(c, fresh)
	return k.violations
}

// auditChain checks that the stored records have consecutive sequences and
// matching digests.
func (k *checker) auditChain(t *auditTail) {
	records := t.newest()
	for i := 1; i < len(records); i++ {
		before, r := records[i-1], records[i]
		k.expect(r.Sequence == before.Sequence+1, "audit-chain", "record %d follows %d", r.Sequence, before.Sequence)
		k.expect(r.Digest == ChainDigest(before.Digest, r), "audit-chain", "record %d does not fit the one before", r.Sequence)
	}
}

// derivedCounts checks that the incremental counts equal recomputed ones.
func (k *checker) derivedCounts(c, fresh *core) {
	k.expect(maps.Equal(fresh.derived.vmTasks, c.derived.vmTasks), "derived", "tasks of VMs")
	k.expect(maps.Equal(fresh.derived.poolVMs, c.derived.poolVMs), "derived", "VMs of pools")
	k.expect(maps.Equal(fresh.derived.teamJobs, c.derived.teamJobs), "derived", "jobs of teams")
	k.expect(maps.Equal(fresh.derived.wavePermits, c.derived.wavePermits), "derived", "permits of waves")
	k.expect(fresh.derived.payloadBytes == c.derived.payloadBytes, "derived", "bytes of payloads")
	k.expect(fresh.derived.answerBytes == c.derived.answerBytes, "derived", "bytes of answers")
}

// sums checks that the incremental hash sums behind the digest equal recomputed
// ones.
func (k *checker) sums(c, fresh *core) {
	k.expect(fresh.owners.sum == c.owners.sum, "digest", "owners")
	k.expect(fresh.permits.sum == c.permits.sum, "digest", "permits")
	k.expect(fresh.maintained.sum == c.maintained.sum, "digest", "maintained")
	k.expect(fresh.jobs.sum == c.jobs.sum, "digest", "jobs")
	k.expect(fresh.tasks.sum == c.tasks.sum, "digest", "tasks")
	k.expect(fresh.quarantines.sum == c.quarantines.sum, "digest", "quarantines")
	k.expect(fresh.claims.sum == c.claims.sum, "digest", "claims")
}

// rebuild returns a new core with the same rows, whose derived counts and sums
// are recomputed.
func (c *core) rebuild() *core {
	fresh := newCore(c.rules)
	rows := snapshotFile{
		Owners:      c.owners.sorted(),
		Permits:     c.permits.sorted(),
		Maintained:  c.maintained.sorted(),
		Tasks:       c.tasks.sorted(),
		Quarantines: c.quarantines.sorted(),
		Claims:      c.claims.sorted(),
	}
	for _, job := range c.jobs.sorted() {
		rows.Jobs = append(rows.Jobs, jobRow{Job: job})
	}
	fresh.putRows(&rows)
	return fresh
}
