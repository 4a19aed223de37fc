package state

import (
	"fmt"
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The random commands of the world.

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
