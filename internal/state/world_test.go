package state

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// sim drives a machine with random commands from several leaders, callers
// and operators that act on old views and send commands twice or late, and a
// replica that restarts from snapshots. It compares the results with a simple
// reference model of what the machine guarantees.
type sim struct {
	choose func(n int) int
	rules  Rules

	machine, replica *Machine
	log              [][]byte // entry i has index i+1
	snapshot         []byte   // an earlier snapshot of the replica

	now          model.Instant
	term         uint64
	views        []*View
	sent         []Command
	firstResults map[model.CommandID]Result
	taskCount    int

	expected referenceModel
}

// fullCheckInterval is the number of log entries between checks of the audit chain
// and the sums.
const fullCheckInterval = 32

// referenceModel holds the expected state, tracked from the results of commands.
type referenceModel struct {
	revision        uint64
	acceptedDigests map[uint64]string
	granted         map[model.RequestKey]*model.Claim
	attempts        map[model.JobID]int
	activeAttempts  map[model.JobID]int
	maxTerm         uint64
}

func newSim(rules Rules, choose func(n int) int) *sim {
	s := &sim{
		choose:       choose,
		rules:        rules,
		machine:      NewMachine(Options{Rules: rules}),
		replica:      NewMachine(Options{Rules: rules}),
		now:          100,
		term:         1,
		firstResults: map[model.CommandID]Result{},
		expected: referenceModel{
			acceptedDigests: map[uint64]string{},
			granted:         map[model.RequestKey]*model.Claim{},
			attempts:        map[model.JobID]int{},
			activeAttempts:  map[model.JobID]int{},
		},
	}
	s.views = []*View{s.machine.View()}
	return s
}

// step takes one random step and returns a description of the problem, if any.
func (s *sim) step() string {
	s.now += model.Instant(s.choose(1500))
	var problem string
	switch s.choose(40) {
	case 0:
		problem = s.propose(s.manifestCommand())
	case 1:
		s.term++
		problem = s.propose(Command{Term: s.term, StartTerm: &StartTerm{Leader: "n1"}})
	case 2, 3:
		problem = s.propose(s.claimCommand())
	case 4:
		problem = s.propose(s.settleCommand())
	case 5:
		problem = s.propose(Command{ForgetClaims: &ForgetClaims{Before: s.now - 9000}})
	case 6, 7:
		problem = s.propose(s.submitCommand())
	case 8:
		problem = s.propose(Command{CancelJobs: &CancelJobs{Jobs: []model.JobID{s.randomJobID(), s.randomJobID()}}})
	case 9:
		problem = s.resendCommand()
	case 10:
		problem = s.restartReplica()
	case 11:
		problem = s.replayOldEntry()
	case 12:
		problem = s.propose(Command{Batch: []Command{s.withID(s.claimCommand()), s.withID(s.submitCommand())}})
	default:
		problem = s.propose(s.planCommand())
	}
	if problem != "" {
		return problem
	}
	return s.checkInvariants()
}

func (s *sim) checkInvariants() string {
	if violations := s.machine.Violations(); len(violations) > 0 {
		return fmt.Sprint("guard: ", violations)
	}
	if violations := Check(s.machine.View()); len(violations) > 0 {
		return fmt.Sprint("check: ", violations)
	}
	if len(s.log)%fullCheckInterval == 0 {
		if violations := s.machine.Check(); len(violations) > 0 {
			return fmt.Sprint("full check: ", violations)
		}
	}
	if s.machine.View().Digest != s.replica.View().Digest {
		return "replicas differ"
	}
	s.views = append(s.views, s.machine.View())
	s.views = s.views[max(0, len(s.views)-6):]
	return ""
}

// recentView returns one of the last views, as a slow leader may hold it.
func (s *sim) recentView() *View { return s.views[s.choose(len(s.views))] }

// withID returns the command with its time set, and an ID unless it has one.
func (s *sim) withID(c Command) Command {
	if c.ID == "" {
		c.ID = model.CommandID(fmt.Sprintf("c%d", len(s.sent)))
	}
	c.At = s.now
	s.sent = append(s.sent, c)
	return c
}

// propose appends a command to the log, applies it on both machines and verifies
// the result.
func (s *sim) propose(c Command) string {
	if c.Batch == nil {
		c = s.withID(c)
	}
	data, err := Encode(c)
	if err != nil {
		return err.Error()
	}
	s.log = append(s.log, data)
	index := uint64(len(s.log))
	before := s.machine.View()
	result := s.machine.Apply(index, data)
	other := s.replica.Apply(index, data)
	if !sameResult(result, other) {
		return fmt.Sprintf("replicas return %+v and %+v", result, other)
	}
	if c.Batch != nil {
		return s.verifyBatch(c, result)
	}
	return s.verifyResult(before, c, result)
}

func sameResult(a, b Result) bool {
	x, err1 := EncodeResult(a)
	y, err2 := EncodeResult(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// resendCommand sends an earlier command again, under the same ID or under a new
// one, as if its ID had been evicted.
func (s *sim) resendCommand() string {
	if len(s.sent) == 0 {
		return ""
	}
	c := s.sent[len(s.sent)-1-s.choose(min(len(s.sent), 200))]
	if s.choose(2) == 0 {
		c.ID = ""
	}
	return s.propose(c)
}

// restartReplica restarts the replica from a snapshot and the later log entries.
func (s *sim) restartReplica() string {
	if s.snapshot == nil || s.choose(3) == 0 {
		data, err := s.replica.Snapshot()
		if err != nil {
			return err.Error()
		}
		s.snapshot = data
	}
	restored := NewMachine(Options{Rules: s.rules})
	if err := restored.Restore(s.snapshot); err != nil {
		return err.Error()
	}
	for index := restored.Applied(); index < uint64(len(s.log)); index++ {
		restored.Apply(index+1, s.log[index])
	}
	s.replica = restored
	return ""
}

// replayOldEntry delivers an old log entry and an old snapshot again.
func (s *sim) replayOldEntry() string {
	if len(s.log) == 0 {
		return ""
	}
	old := s.choose(len(s.log))
	s.machine.Apply(uint64(old+1), s.log[old])
	if s.snapshot == nil || s.machine.Applied() == 0 {
		return ""
	}
	before := s.machine.Applied()
	_ = s.machine.Restore(s.snapshot) // refused if it is older
	if s.machine.Applied() < before {
		return "the applied index decreased"
	}
	return ""
}

// verifyResult compares the result with the reference model and updates the
// model.
func (s *sim) verifyResult(before *View, c Command, r Result) string {
	if first, known := s.firstResults[c.ID]; known {
		return verifyDuplicate(first, r)
	}
	s.firstResults[c.ID] = r
	if c.Term != 0 && c.Term < s.expected.maxTerm && r.Refused == "" {
		return fmt.Sprintf("a command of term %d took effect after term %d", c.Term, s.expected.maxTerm)
	}
	s.expected.maxTerm = max(s.expected.maxTerm, c.Term)
	switch {
	case c.ApplyManifest != nil:
		return s.verifyManifest(c.ApplyManifest, r)
	case c.ClaimRequest != nil:
		return s.verifyClaim(c.ClaimRequest.Claim, r)
	case c.SettleRequest != nil:
		return s.verifySettle(c.SettleRequest, r)
	case c.ForgetClaims != nil:
		s.syncForgottenClaims()
	case c.Plan != nil && r.Refused == "":
		return s.verifyPlan(before, c, r)
	}
	return ""
}

func (s *sim) verifyBatch(c Command, r Result) string {
	for i, one := range c.Batch {
		if problem := s.verifyResult(nil, one, r.Batch[i]); problem != "" {
			return problem
		}
	}
	return ""
}

// verifyDuplicate checks that a duplicate command gets the first result, except
// for the existing claim, which may have changed since.
func verifyDuplicate(first, r Result) string {
	if first.Claim != nil && r.Claim != nil {
		first.Claim, r.Claim = &ClaimResult{Granted: first.Claim.Granted}, &ClaimResult{Granted: r.Claim.Granted}
	}
	if !reflect.DeepEqual(first, r) {
		return fmt.Sprintf("a duplicate command got %+v after %+v", r, first)
	}
	return ""
}

func (s *sim) verifyManifest(a *ApplyManifest, r Result) string {
	if r.Manifest == nil || r.Manifest.Outcome != ManifestAccepted {
		return ""
	}
	if digest := s.expected.acceptedDigests[a.Revision]; digest != "" {
		return fmt.Sprintf("revision %d was accepted with two digests", a.Revision)
	}
	if a.Revision <= s.expected.revision {
		return fmt.Sprintf("revision %d was accepted after %d", a.Revision, s.expected.revision)
	}
	s.expected.revision = a.Revision
	s.expected.acceptedDigests[a.Revision] = a.Digest
	return ""
}

func (s *sim) verifyClaim(claim model.Claim, r Result) string {
	if r.Claim == nil || !r.Claim.Granted {
		return ""
	}
	if s.expected.granted[claim.Key] != nil {
		return fmt.Sprintf("key %s was granted twice", claim.Key)
	}
	s.expected.granted[claim.Key] = &claim
	return ""
}

func (s *sim) verifySettle(request *SettleRequest, r Result) string {
	claim := s.expected.granted[request.Key]
	if r.Refused != "" {
		return ""
	}
	if claim == nil {
		return fmt.Sprintf("key %s was settled without a claim", request.Key)
	}
	if claim.State != 0 {
		return fmt.Sprintf("key %s was settled twice", request.Key)
	}
	if !request.Takeover && (claim.Owner != request.Owner || claim.Incarnation != request.Incarnation) {
		return fmt.Sprintf("key %s was settled by another process", request.Key)
	}
	claim.State = request.State
	if request.State == model.ClaimSettled && request.Verdict == model.NotRun {
		delete(s.expected.granted, request.Key) // it may be claimed again
	}
	return ""
}

// syncForgottenClaims drops the keys that the machine forgot, and marks the
// running claims that became unknown.
func (s *sim) syncForgottenClaims() {
	for key, claim := range s.expected.granted {
		current := s.machine.Claim(key)
		if current == nil {
			delete(s.expected.granted, key)
			continue
		}
		if current.State != model.ClaimRunning {
			claim.State = current.State
		}
	}
}

func (s *sim) verifyPlan(before *View, c Command, r Result) string {
	for i, a := range c.Plan.Actions {
		if r.Actions[i] != "" {
			continue
		}
		if problem := s.verifyAction(before, c, a, len(c.Plan.Actions) == 1); problem != "" {
			return problem
		}
	}
	return ""
}

// verifyAction checks an accepted action. The generation is checked only if the
// plan has a single action: only then is the view before the plan also the view
// before the action.
func (s *sim) verifyAction(before *View, c Command, a Action, single bool) string {
	switch {
	case a.BeginMove != nil && single:
		return verifyGeneration(before.Owners[a.BeginMove.VM], a.BeginMove.Generation)
	case a.FinishMove != nil && single:
		return verifyGeneration(before.Owners[a.FinishMove.VM], a.FinishMove.Generation)
	case a.StartTask != nil && a.StartTask.Task.Job != "":
		return s.verifyStart(a.StartTask.Task.Job)
	case a.EndTask != nil:
		return s.verifyEnd(before.Tasks[a.EndTask.Task], c, a.EndTask.Outcome)
	default:
		return ""
	}
}

func verifyGeneration(owner *model.Ownership, seen uint64) string {
	if owner != nil && owner.Generation != seen {
		return fmt.Sprintf("an action based on generation %d took effect at generation %d", seen, owner.Generation)
	}
	return ""
}

func (s *sim) verifyStart(id model.JobID) string {
	s.expected.attempts[id]++
	s.expected.activeAttempts[id]++
	if s.expected.activeAttempts[id] > 1 {
		return fmt.Sprintf("job %s has two attempts at once", id)
	}
	job := s.machine.View().Jobs[id]
	if job != nil && !job.Spec.Idempotent && s.expected.attempts[id] > 1 {
		return fmt.Sprintf("job %s is not idempotent and ran twice", id)
	}
	return ""
}

func (s *sim) verifyEnd(task *model.Task, c Command, o TaskOutcome) string {
	if task == nil || task.Job == "" {
		return ""
	}
	s.expected.activeAttempts[task.Job]--
	if o == OutcomeNeverStarted {
		s.expected.attempts[task.Job]--
	}
	if o == OutcomeLapsed && c.At < task.LeaseUntil.Add(DriftMargin) {
		return fmt.Sprintf("task %s was recorded as lapsed too early", task.ID)
	}
	return ""
}
