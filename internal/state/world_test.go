package state

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// world drives a machine with random commands of several leaders, callers and
// operators who act on old views, send twice and send late, and a replica that
// restarts from snapshots. It keeps a plain account of what was promised and
// compares.
type world struct {
	choose func(n int) int
	rules  Rules

	machine, replica *Machine
	log              [][]byte // entry i has index i+1
	snapshot         []byte   // of the replica, taken some time ago

	at    model.Instant
	term  uint64
	views []*View
	sent  []Command
	first map[model.CommandID]Result
	tasks int

	account account
}

// wholeCheckEvery is how many entries lie between checks of the chain and sums.
const wholeCheckEvery = 32

// account is what the world was promised, by its own count.
type account struct {
	revision uint64
	winners  map[uint64]string
	granted  map[model.RequestKey]*model.Claim
	runs     map[model.JobID]int
	open     map[model.JobID]int
	maxTerm  uint64
}

func newWorld(rules Rules, choose func(n int) int) *world {
	w := &world{
		choose:  choose,
		rules:   rules,
		machine: NewMachine(Options{Rules: rules}),
		replica: NewMachine(Options{Rules: rules}),
		at:      100,
		term:    1,
		first:   map[model.CommandID]Result{},
		account: account{
			winners: map[uint64]string{},
			granted: map[model.RequestKey]*model.Claim{},
			runs:    map[model.JobID]int{},
			open:    map[model.JobID]int{},
		},
	}
	w.views = []*View{w.machine.View()}
	return w
}

// step does one random thing and returns what went wrong, empty for nothing.
func (w *world) step() string {
	w.at += model.Instant(w.choose(1500))
	var problem string
	switch w.choose(40) {
	case 0:
		problem = w.propose(w.manifest())
	case 1:
		w.term++
		problem = w.propose(Command{Term: w.term, StartTerm: &StartTerm{Leader: "n1"}})
	case 2, 3:
		problem = w.propose(w.claim())
	case 4:
		problem = w.propose(w.settle())
	case 5:
		problem = w.propose(Command{ForgetClaims: &ForgetClaims{Before: w.at - 9000}})
	case 6, 7:
		problem = w.propose(w.job())
	case 8:
		problem = w.propose(Command{CancelJobs: &CancelJobs{Jobs: []model.JobID{w.jobID(), w.jobID()}}})
	case 9:
		problem = w.resend()
	case 10:
		problem = w.restart()
	case 11:
		problem = w.stepBack()
	case 12:
		problem = w.propose(Command{Batch: []Command{w.named(w.claim()), w.named(w.job())}})
	default:
		problem = w.propose(w.plan())
	}
	if problem != "" {
		return problem
	}
	return w.checks()
}

func (w *world) checks() string {
	if broken := w.machine.Broken(); len(broken) > 0 {
		return fmt.Sprint("guard: ", broken)
	}
	if broken := Check(w.machine.View()); len(broken) > 0 {
		return fmt.Sprint("check: ", broken)
	}
	if len(w.log)%wholeCheckEvery == 0 {
		if broken := w.machine.Check(); len(broken) > 0 {
			return fmt.Sprint("whole check: ", broken)
		}
	}
	if w.machine.View().Digest != w.replica.View().Digest {
		return "replicas differ"
	}
	w.views = append(w.views, w.machine.View())
	w.views = w.views[max(0, len(w.views)-6):]
	return ""
}

// seen returns a view that may be old, as a slow leader sees it.
func (w *world) seen() *View { return w.views[w.choose(len(w.views))] }

func (w *world) named(c Command) Command {
	if c.ID == "" {
		c.ID = model.CommandID(fmt.Sprintf("c%d", len(w.sent)))
	}
	c.At = w.at
	w.sent = append(w.sent, c)
	return c
}

// propose appends a command to the log and applies it at both machines.
func (w *world) propose(c Command) string {
	if c.Batch == nil {
		c = w.named(c)
	}
	data, err := Encode(c)
	if err != nil {
		return err.Error()
	}
	w.log = append(w.log, data)
	index := uint64(len(w.log))
	before := w.machine.View()
	result := w.machine.Apply(index, data)
	other := w.replica.Apply(index, data)
	if !sameResult(result, other) {
		return fmt.Sprintf("replicas answer %+v and %+v", result, other)
	}
	if c.Batch != nil {
		return w.promisedBatch(c, result)
	}
	return w.promised(before, c, result)
}

func sameResult(a, b Result) bool {
	x, err1 := EncodeResult(a)
	y, err2 := EncodeResult(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// resend sends an earlier command again, under its ID or, as after the memory
// of its ID ran out, under another.
func (w *world) resend() string {
	if len(w.sent) == 0 {
		return ""
	}
	c := w.sent[len(w.sent)-1-w.choose(min(len(w.sent), 200))]
	if w.choose(2) == 0 {
		c.ID = ""
	}
	return w.propose(c)
}

// restart restarts the replica from a snapshot and the log after it.
func (w *world) restart() string {
	if w.snapshot == nil || w.choose(3) == 0 {
		data, err := w.replica.Snapshot()
		if err != nil {
			return err.Error()
		}
		w.snapshot = data
	}
	back := NewMachine(Options{Rules: w.rules})
	if err := back.Restore(w.snapshot); err != nil {
		return err.Error()
	}
	for index := back.Applied(); index < uint64(len(w.log)); index++ {
		back.Apply(index+1, w.log[index])
	}
	w.replica = back
	return ""
}

// stepBack delivers an old entry and an old snapshot again.
func (w *world) stepBack() string {
	if len(w.log) == 0 {
		return ""
	}
	old := w.choose(len(w.log))
	w.machine.Apply(uint64(old+1), w.log[old])
	if w.snapshot == nil || w.machine.Applied() == 0 {
		return ""
	}
	before := w.machine.Applied()
	_ = w.machine.Restore(w.snapshot) // refused unless it is as new
	if w.machine.Applied() < before {
		return "the applied index stepped back"
	}
	return ""
}

// promised compares the result with the account and carries it on.
func (w *world) promised(before *View, c Command, r Result) string {
	if first, known := w.first[c.ID]; known {
		return promisedAgain(first, r)
	}
	w.first[c.ID] = r
	if c.Term != 0 && c.Term < w.account.maxTerm && r.Refused == "" {
		return fmt.Sprintf("term %d acted after term %d", c.Term, w.account.maxTerm)
	}
	w.account.maxTerm = max(w.account.maxTerm, c.Term)
	switch {
	case c.ApplyManifest != nil:
		return w.promisedManifest(c.ApplyManifest, r)
	case c.ClaimRequest != nil:
		return w.promisedClaim(c.ClaimRequest.Claim, r)
	case c.SettleRequest != nil:
		return w.promisedSettle(c.SettleRequest, r)
	case c.ForgetClaims != nil:
		w.forgotten()
	case c.Plan != nil && r.Refused == "":
		return w.promisedPlan(before, c, r)
	}
	return ""
}

func (w *world) promisedBatch(c Command, r Result) string {
	for i, one := range c.Batch {
		if problem := w.promised(nil, one, r.Batch[i]); problem != "" {
			return problem
		}
	}
	return ""
}

// promisedAgain: a doubled command gets the first answer, but for a claim that
// went on since.
func promisedAgain(first, r Result) string {
	if first.Claim != nil && r.Claim != nil {
		first.Claim, r.Claim = &ClaimResult{Granted: first.Claim.Granted}, &ClaimResult{Granted: r.Claim.Granted}
	}
	if !reflect.DeepEqual(first, r) {
		return fmt.Sprintf("a doubled command got %+v after %+v", r, first)
	}
	return ""
}

func (w *world) promisedManifest(a *ApplyManifest, r Result) string {
	if r.Manifest == nil || r.Manifest.Outcome != ManifestAccepted {
		return ""
	}
	if winner := w.account.winners[a.Revision]; winner != "" {
		return fmt.Sprintf("revision %d has two winners", a.Revision)
	}
	if a.Revision <= w.account.revision {
		return fmt.Sprintf("revision %d was accepted after %d", a.Revision, w.account.revision)
	}
	w.account.revision = a.Revision
	w.account.winners[a.Revision] = a.Digest
	return ""
}

func (w *world) promisedClaim(asked model.Claim, r Result) string {
	if r.Claim == nil || !r.Claim.Granted {
		return ""
	}
	if w.account.granted[asked.Key] != nil {
		return fmt.Sprintf("key %s was granted twice", asked.Key)
	}
	w.account.granted[asked.Key] = &asked
	return ""
}

func (w *world) promisedSettle(s *SettleRequest, r Result) string {
	claim := w.account.granted[s.Key]
	if r.Refused != "" {
		return ""
	}
	if claim == nil {
		return fmt.Sprintf("key %s was settled without a claim", s.Key)
	}
	if claim.State != 0 {
		return fmt.Sprintf("key %s was settled twice", s.Key)
	}
	if !s.Takeover && (claim.Owner != s.Owner || claim.Incarnation != s.Incarnation) {
		return fmt.Sprintf("key %s was settled by a stranger", s.Key)
	}
	claim.State = s.State
	if s.State == model.ClaimSettled && s.Verdict == model.NotRun {
		delete(w.account.granted, s.Key) // it may be claimed anew
	}
	return ""
}

// forgotten drops the keys that the machine forgot, and marks the running ones
// that became unknown.
func (w *world) forgotten() {
	for key, claim := range w.account.granted {
		now := w.machine.Claim(key)
		if now == nil {
			delete(w.account.granted, key)
			continue
		}
		if now.State != model.ClaimRunning {
			claim.State = now.State
		}
	}
}

func (w *world) promisedPlan(before *View, c Command, r Result) string {
	for i, a := range c.Plan.Actions {
		if r.Actions[i] != "" {
			continue
		}
		if problem := w.promisedAction(before, c, a, len(c.Plan.Actions) == 1); problem != "" {
			return problem
		}
	}
	return ""
}

// promisedAction checks an accepted action. Only when the plan has no other
// action is the view before the plan also the one before the action.
func (w *world) promisedAction(before *View, c Command, a Action, alone bool) string {
	switch {
	case a.BeginMove != nil && alone:
		return fenced(before.Owners[a.BeginMove.VM], a.BeginMove.Generation)
	case a.FinishMove != nil && alone:
		return fenced(before.Owners[a.FinishMove.VM], a.FinishMove.Generation)
	case a.StartTask != nil && a.StartTask.Task.Job != "":
		return w.started(a.StartTask.Task.Job)
	case a.EndTask != nil:
		return w.ended(before.Tasks[a.EndTask.Task], c, a.EndTask.Outcome)
	default:
		return ""
	}
}

func fenced(owner *model.Ownership, seen uint64) string {
	if owner != nil && owner.Generation != seen {
		return fmt.Sprintf("generation %d acted on %d", seen, owner.Generation)
	}
	return ""
}

func (w *world) started(id model.JobID) string {
	w.account.runs[id]++
	w.account.open[id]++
	if w.account.open[id] > 1 {
		return fmt.Sprintf("job %s has two attempts at once", id)
	}
	job := w.machine.View().Jobs[id]
	if job != nil && !job.Spec.Idempotent && w.account.runs[id] > 1 {
		return fmt.Sprintf("job %s is not idempotent and ran twice", id)
	}
	return ""
}

func (w *world) ended(task *model.Task, c Command, o TaskOutcome) string {
	if task == nil || task.Job == "" {
		return ""
	}
	w.account.open[task.Job]--
	if o == OutcomeNeverStarted {
		w.account.runs[task.Job]--
	}
	if o == OutcomeLapsed && c.At < task.LeaseUntil.Add(DriftMargin) {
		return fmt.Sprintf("task %s was given up early", task.ID)
	}
	return ""
}
