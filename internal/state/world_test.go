package state

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"slices"

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

// --- random commands ---

func (w *world) manifest() Command {
	revision := uint64(max(1, int(w.account.revision)+w.choose(4)-1))
	m := testManifest(revision, fmt.Sprint(w.choose(2)))
	if w.choose(10) == 0 {
		m.Site.Pools = m.Site.Pools[:1] // pool b is gone for a while
	}
	return Command{Actor: "operator", ApplyManifest: m}
}

func (w *world) key() model.RequestKey { return model.RequestKey(fmt.Sprintf("k%d", w.choose(6))) }

func (w *world) claim() Command {
	return Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{
		Key:         w.key(),
		Digest:      []byte{byte(w.choose(8) / 7)},
		Owner:       model.NodeID(fmt.Sprintf("n%d", w.choose(3))),
		Incarnation: uint64(w.choose(2)),
		Deadline:    w.at + 1000,
	}}}
}

func (w *world) settle() Command {
	s := &SettleRequest{
		Key:         w.key(),
		Owner:       model.NodeID(fmt.Sprintf("n%d", w.choose(3))),
		Incarnation: uint64(w.choose(2)),
		State:       model.ClaimSettled,
		Verdict:     model.Verdict(w.choose(3)),
		Answer:      &model.KeptAnswer{Status: 200, Body: make([]byte, w.choose(3)*100)},
		Takeover:    w.choose(4) == 0,
	}
	if claim := w.account.granted[s.Key]; claim != nil && w.choose(2) == 0 {
		s.Owner, s.Incarnation = claim.Owner, claim.Incarnation
	}
	if s.Takeover && w.choose(4) > 0 {
		s.State = model.ClaimUnknown
	}
	return Command{SettleRequest: s}
}

func (w *world) jobID() model.JobID { return model.JobID(fmt.Sprintf("j%d", w.choose(200))) }

func (w *world) job() Command {
	id := w.jobID()
	return Command{SubmitJob: &SubmitJob{Spec: model.JobSpec{
		ID:         id,
		Team:       "berths",
		Pool:       model.PoolID([]string{"a", "b"}[w.choose(2)]),
		Kind:       fmt.Sprint(w.choose(8) / 7),
		Idempotent: id[len(id)-1]%2 == 0,
		Payload:    make([]byte, w.choose(3)*100),
	}}}
}

func (w *world) plan() Command {
	term := w.term
	if w.choose(12) == 0 && term > 1 {
		term-- // a leader that was replaced and does not know it
	}
	view := w.seen()
	actions := make([]Action, 1+w.choose(2))
	for i := range actions {
		actions[i] = w.action(view)
	}
	return Command{Term: term, Plan: &Plan{Actions: actions}}
}

// vm picks a VM; pick rather picks among those that a table holds.
func (w *world) vm() model.VMID { return model.VMID(fmt.Sprintf("v%d", w.choose(5))) }

func pick[V any](w *world, rows map[model.VMID]*V, fits func(*V) bool) model.VMID {
	var ids []model.VMID
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		if fits(rows[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 || w.choose(8) == 0 {
		return w.vm()
	}
	return ids[w.choose(len(ids))]
}

func (w *world) action(view *View) Action {
	switch w.choose(24) {
	case 0, 1:
		vm := w.vm()
		target := model.PoolID([]string{"a", "b", ""}[w.choose(3)])
		return Action{BeginMove: &BeginMove{VM: vm, Target: target, Generation: generation(view, vm)}}
	case 2, 3:
		vm := pick(w, view.Owners, func(o *model.Ownership) bool { return o.Moving })
		return Action{FinishMove: &FinishMove{VM: vm, Generation: generation(view, vm)}}
	case 4:
		vm := w.vm()
		return Action{ForgetVM: &ForgetVM{VM: vm, Generation: generation(view, vm)}}
	case 5:
		return Action{Grant: &Grant{VM: w.vm(), Wave: model.WaveID([]string{"w1", "w2"}[w.choose(2)])}}
	case 6, 7, 8, 9:
		return w.permitAction(view)
	case 10:
		return w.quarantine(w.vm())
	case 11, 12, 13, 14, 15, 16:
		return w.start(view)
	default:
		return w.taskAction(view)
	}
}

func generation(view *View, vm model.VMID) uint64 {
	if owner := view.Owners[vm]; owner != nil {
		return owner.Generation
	}
	return 0
}

func (w *world) permitAction(view *View) Action {
	vm := pick(w, view.Permits, func(*model.Permit) bool { return true })
	permit := model.Permit{}
	if p := view.Permits[vm]; p != nil {
		permit = *p
	}
	if w.choose(3) > 0 {
		return Action{SetPhase: &SetPhase{VM: vm, Generation: permit.Generation, Phase: permit.Phase + 1}}
	}
	return Action{Release: &Release{VM: vm, Generation: permit.Generation, Done: w.choose(4) > 0}}
}

func (w *world) quarantine(vm model.VMID) Action {
	q := model.Quarantine{Worker: model.WorkerID("k-" + vm), VM: vm, Since: w.at, ProbeAt: w.at + 3000}
	return Action{SetQuarantine: &SetQuarantine{Quarantine: q, Release: w.choose(3) > 0}}
}

func (w *world) start(view *View) Action {
	vm := pick(w, view.Owners, func(o *model.Ownership) bool { return o.Pool != "" })
	w.tasks++
	task := model.Task{
		ID:         model.TaskID(fmt.Sprintf("t%d", w.tasks)),
		VM:         vm,
		Worker:     model.WorkerID("k-" + vm),
		LeaseUntil: w.at + 1 + model.Instant(w.choose(8000)),
	}
	pool := model.PoolID("a")
	if owner := view.Owners[vm]; owner != nil {
		pool = owner.Pool
	}
	if w.choose(3) == 0 {
		task.Service, task.Ordinal = "plans", w.choose(4)
	} else {
		task.Job = w.jobFor(view, pool)
	}
	return Action{StartTask: &StartTask{Task: task, Pool: pool}}
}

// jobFor picks a job of the pool that waits or, rarely, one that may not start.
func (w *world) jobFor(view *View, pool model.PoolID) model.JobID {
	some := w.choose(4) == 0
	rows := slices.DeleteFunc(sortedRows(view.Jobs), func(j *model.Job) bool {
		return j.Spec.Pool != pool || !some && j.State != model.JobQueued
	})
	if len(rows) == 0 {
		return "j0"
	}
	return rows[w.choose(len(rows))].Spec.ID
}

func (w *world) taskAction(view *View) Action {
	rows := sortedRows(view.Tasks)
	if len(rows) == 0 {
		return Action{RenewTasks: &RenewTasks{AllBut: true, LeaseUntil: w.at + 1000}}
	}
	task := rows[w.choose(len(rows))]
	switch w.choose(8) {
	case 0:
		return Action{RenewTasks: &RenewTasks{Tasks: []model.TaskID{task.ID}, LeaseUntil: w.at + 1 + model.Instant(w.choose(8000))}}
	case 1:
		return Action{UpdateTask: &UpdateTask{Task: task.ID, State: model.TaskState(1 + w.choose(3)), Throttled: w.choose(2) == 0}}
	case 2:
		return Action{SetJob: &SetJob{Job: w.jobID(), State: model.JobState(1 + w.choose(8)), Reason: "by hand"}}
	default:
		return Action{EndTask: &EndTask{Task: task.ID, Outcome: TaskOutcome(1 + w.choose(5)), Moved: w.choose(2) == 0}}
	}
}
