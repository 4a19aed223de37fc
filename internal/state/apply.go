package state

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Refusals that don't depend on the command's content.
const (
	refusedStaleIndex  Refusal = "the index was applied before"
	refusedUndecodable Refusal = "the command can't be decoded by this build"
	refusedNoID        Refusal = "the command has no ID"
	refusedEmpty       Refusal = "the command holds no change"
	refusedNested      Refusal = "a batch must not hold a batch"
	refusedNoTerm      Refusal = "a plan must carry the term of its leader"
)

// refusef formats a refusal.
func refusef(format string, args ...any) Refusal {
	return Refusal(fmt.Sprintf(format, args...))
}

// applyEntry applies the log entry at index. Applied indexes strictly
// increase: an entry that is delivered again, after a restart or by another
// peer, must not take effect twice.
func (c *core) applyEntry(index uint64, data []byte) Result {
	if index <= c.index {
		c.guard(c.rules.SkipIndexOrder, "index-grows", "index %d came after %d", index, c.index)
		if !c.rules.SkipIndexOrder {
			return Result{Index: index, Refused: refusedStaleIndex}
		}
	}
	c.index = index
	if len(data) == 0 {
		return Result{Index: index}
	}
	command, err := Decode(data)
	if err != nil {
		c.guard(true, "command-decodes", "index %d: %v", index, err)
		return Result{Index: index, Refused: refusedUndecodable}
	}
	if command.Batch != nil {
		return c.applyBatch(&command)
	}
	return c.applyOnce(&command)
}

// applyBatch applies the commands in order; a refused command does not affect
// the others.
func (c *core) applyBatch(batch *Command) Result {
	if c.fenced(batch) {
		return Result{Index: c.index, Refused: c.staleTermRefusal(batch)}
	}
	result := Result{Index: c.index, Batch: make([]Result, 0, len(batch.Batch))}
	for i := range batch.Batch {
		command := &batch.Batch[i]
		if command.Batch != nil {
			result.Batch = append(result.Batch, Result{Index: c.index, Refused: refusedNested})
			continue
		}
		result.Batch = append(result.Batch, c.applyOnce(command))
	}
	return result
}

// applyOnce applies a command unless its ID is known: a caller that lost the
// reply resends, and must get the first result without a second change.
func (c *core) applyOnce(command *Command) Result {
	if command.ID == "" {
		return Result{Index: c.index, Refused: refusedNoID}
	}
	if first, known := c.dedup.lookup(command.ID); known && !c.rules.SkipDedup {
		return c.duplicateResult(command, first)
	}
	result := c.applyFenced(command)
	result.Index = c.index
	c.dedup.add(&c.hasher, command.ID, withoutExistingClaim(result))
	return result
}

// applyFenced applies a command unless its term is stale.
func (c *core) applyFenced(command *Command) Result {
	if c.fenced(command) {
		return Result{Refused: c.staleTermRefusal(command)}
	}
	return c.applyCommand(command)
}

// fenced reports whether the command comes from a leader that was replaced, and
// records the command's term otherwise. A replaced leader that returns from a
// partition would act on outdated state.
func (c *core) fenced(command *Command) bool {
	if command.Term == 0 {
		return false
	}
	stale := command.Term < c.head.Term
	c.guard(stale && c.rules.SkipTerm, "term-fence", "term %d acted after term %d", command.Term, c.head.Term)
	if stale && !c.rules.SkipTerm {
		return true
	}
	c.head.Term = max(c.head.Term, command.Term)
	return false
}

func (c *core) staleTermRefusal(command *Command) Refusal {
	return refusef("term %d is over; term %d has begun", command.Term, c.head.Term)
}

func (c *core) applyCommand(command *Command) Result {
	switch {
	case command.ApplyManifest != nil:
		return c.applyManifest(command, command.ApplyManifest)
	case command.ClaimRequest != nil:
		return c.claimRequest(command, command.ClaimRequest.Claim)
	case command.SettleRequest != nil:
		return c.settleRequest(command.SettleRequest)
	case command.ForgetClaims != nil:
		return c.forgetClaims(command.ForgetClaims.Before)
	case command.SubmitJob != nil:
		return c.submitJob(command, command.SubmitJob.Spec)
	case command.CancelJobs != nil:
		return c.cancelJobs(command, command.CancelJobs.Jobs)
	case command.ForgetJobs != nil:
		return c.forgetJobs(command.ForgetJobs.Before)
	case command.Plan != nil:
		return c.applyPlan(command, command.Plan.Actions)
	case command.StartTerm != nil:
		return c.startTerm(command, command.StartTerm.Leader)
	default:
		return Result{Refused: refusedEmpty}
	}
}

func (c *core) startTerm(command *Command, leader model.NodeID) Result {
	if command.Term == 0 {
		return Result{Refused: refusedNoTerm}
	}
	before := string(c.head.Leader)
	c.head.Leader = leader
	c.record(command, auditEntry{
		action:  "start-term",
		subject: fmt.Sprintf("term %d", command.Term),
		before:  before,
		after:   string(leader),
	})
	return Result{}
}

// applyPlan checks each action against the current tables: an operator or a
// failure may have changed them since the controller took its view.
func (c *core) applyPlan(command *Command, actions []Action) Result {
	if command.Term == 0 {
		return Result{Refused: refusedNoTerm}
	}
	result := Result{Actions: make([]Refusal, len(actions))}
	for i := range actions {
		result.Actions[i] = c.applyAction(command, &actions[i])
	}
	return result
}

func (c *core) applyAction(command *Command, a *Action) Refusal {
	switch {
	case a.BeginMove != nil:
		return c.beginMove(command, a, a.BeginMove)
	case a.FinishMove != nil:
		return c.finishMove(command, a, a.FinishMove)
	case a.ForgetVM != nil:
		return c.forgetVM(command, a, a.ForgetVM)
	case a.GrantPermit != nil:
		return c.grant(command, a, a.GrantPermit)
	case a.SetPhase != nil:
		return c.setPhase(command, a, a.SetPhase)
	case a.ReleasePermit != nil:
		return c.release(command, a, a.ReleasePermit)
	case a.StartTask != nil:
		return c.startTask(command, a, a.StartTask)
	case a.RenewTasks != nil:
		return c.renewTasks(command, a.RenewTasks)
	case a.UpdateTask != nil:
		return c.updateTask(a.UpdateTask)
	case a.EndTask != nil:
		return c.endTask(command, a, a.EndTask)
	case a.SetJob != nil:
		return c.setJob(command, a.SetJob)
	case a.SetQuarantine != nil:
		return c.setQuarantine(command, a, a.SetQuarantine)
	default:
		return "the action holds no change"
	}
}

// truncateText limits a stored text to MaxText bytes and makes it valid UTF-8:
// the audit files store it as JSON, which would otherwise change invalid bytes
// and break the digest chain.
func truncateText(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), MaxText)], "")
}

// validateID returns why an identifier can't be stored, empty if it can. The
// other validate functions likewise return an empty Refusal for valid input.
func validateID(what, id string) Refusal {
	if id == "" || len(id) > MaxText {
		return refusef("the %s must have 1 to %d bytes", what, MaxText)
	}
	return ""
}
