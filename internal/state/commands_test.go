package state

import (
	"fmt"
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The random commands of the simulation.

func (s *sim) manifestCommand() Command {
	revision := uint64(max(1, int(s.expected.revision)+s.choose(4)-1))
	m := testManifest(revision, fmt.Sprint(s.choose(2)))
	if s.choose(10) == 0 {
		m.Site.Pools = m.Site.Pools[:1] // pool b is missing from this revision
	}
	return Command{Actor: "operator", ApplyManifest: m}
}

func (s *sim) randomKey() model.RequestKey { return model.RequestKey(fmt.Sprintf("k%d", s.choose(6))) }

func (s *sim) claimCommand() Command {
	return Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{
		Key:         s.randomKey(),
		Digest:      []byte{byte(s.choose(8) / 7)},
		Owner:       model.NodeID(fmt.Sprintf("n%d", s.choose(3))),
		Incarnation: uint64(s.choose(2)),
		Deadline:    s.now + 1000,
	}}}
}

func (s *sim) settleCommand() Command {
	request := &SettleRequest{
		Key:         s.randomKey(),
		Owner:       model.NodeID(fmt.Sprintf("n%d", s.choose(3))),
		Incarnation: uint64(s.choose(2)),
		State:       model.ClaimSettled,
		Verdict:     model.Verdict(s.choose(3)),
		Answer:      &model.KeptAnswer{Status: 200, Body: make([]byte, s.choose(3)*100)},
		Takeover:    s.choose(4) == 0,
	}
	if claim := s.expected.granted[request.Key]; claim != nil && s.choose(2) == 0 {
		request.Owner, request.Incarnation = claim.Owner, claim.Incarnation
	}
	if request.Takeover && s.choose(4) > 0 {
		request.State = model.ClaimUnknown
	}
	return Command{SettleRequest: request}
}

func (s *sim) randomJobID() model.JobID { return model.JobID(fmt.Sprintf("j%d", s.choose(200))) }

func (s *sim) submitCommand() Command {
	id := s.randomJobID()
	return Command{SubmitJob: &SubmitJob{Spec: model.JobSpec{
		ID:         id,
		Team:       "berths",
		Pool:       model.PoolID([]string{"a", "b"}[s.choose(2)]),
		Kind:       fmt.Sprint(s.choose(8) / 7),
		Idempotent: id[len(id)-1]%2 == 0,
		Payload:    make([]byte, s.choose(3)*100),
	}}}
}

func (s *sim) planCommand() Command {
	term := s.term
	if s.choose(12) == 0 && term > 1 {
		term-- // a replaced leader that does not know it yet
	}
	view := s.recentView()
	actions := make([]Action, 1+s.choose(2))
	for i := range actions {
		actions[i] = s.randomAction(view)
	}
	return Command{Term: term, Plan: &Plan{Actions: actions}}
}

// randomVM picks any VM ID, whether or not the VM exists.
func (s *sim) randomVM() model.VMID { return model.VMID(fmt.Sprintf("v%d", s.choose(5))) }

// pickVM mostly picks a VM among the matching rows, sometimes any VM ID.
func pickVM[V any](s *sim, rows map[model.VMID]*V, matches func(*V) bool) model.VMID {
	var ids []model.VMID
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		if matches(rows[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 || s.choose(8) == 0 {
		return s.randomVM()
	}
	return ids[s.choose(len(ids))]
}

func (s *sim) randomAction(view *View) Action {
	switch s.choose(24) {
	case 0, 1:
		vm := s.randomVM()
		target := model.PoolID([]string{"a", "b", ""}[s.choose(3)])
		return Action{BeginMove: &BeginMove{VM: vm, Target: target, Generation: generation(view, vm)}}
	case 2, 3:
		vm := pickVM(s, view.Owners, func(o *model.Ownership) bool { return o.Moving })
		return Action{FinishMove: &FinishMove{VM: vm, Generation: generation(view, vm)}}
	case 4:
		vm := s.randomVM()
		return Action{ForgetVM: &ForgetVM{VM: vm, Generation: generation(view, vm)}}
	case 5:
		return Action{GrantPermit: &GrantPermit{VM: s.randomVM(), Wave: model.WaveID([]string{"w1", "w2"}[s.choose(2)])}}
	case 6, 7, 8, 9:
		return s.permitAction(view)
	case 10:
		return s.quarantineAction(s.randomVM())
	case 11, 12, 13, 14, 15, 16:
		return s.startAction(view)
	default:
		return s.taskAction(view)
	}
}

func generation(view *View, vm model.VMID) uint64 {
	if owner := view.Owners[vm]; owner != nil {
		return owner.Generation
	}
	return 0
}

func (s *sim) permitAction(view *View) Action {
	vm := pickVM(s, view.Permits, func(*model.Permit) bool { return true })
	permit := model.Permit{}
	if p := view.Permits[vm]; p != nil {
		permit = *p
	}
	if s.choose(3) > 0 {
		return Action{SetPhase: &SetPhase{VM: vm, Generation: permit.Generation, Phase: permit.Phase + 1}}
	}
	return Action{ReleasePermit: &ReleasePermit{VM: vm, Generation: permit.Generation, Done: s.choose(4) > 0}}
}

func (s *sim) quarantineAction(vm model.VMID) Action {
	q := model.Quarantine{Worker: model.WorkerID("k-" + vm), VM: vm, Since: s.now, ProbeAt: s.now + 3000}
	return Action{SetQuarantine: &SetQuarantine{Quarantine: q, Release: s.choose(3) > 0}}
}

func (s *sim) startAction(view *View) Action {
	vm := pickVM(s, view.Owners, func(o *model.Ownership) bool { return o.Pool != "" })
	s.taskCount++
	task := model.Task{
		ID:         model.TaskID(fmt.Sprintf("t%d", s.taskCount)),
		VM:         vm,
		Worker:     model.WorkerID("k-" + vm),
		LeaseUntil: s.now + 1 + model.Instant(s.choose(8000)),
	}
	pool := model.PoolID("a")
	if owner := view.Owners[vm]; owner != nil {
		pool = owner.Pool
	}
	if s.choose(3) == 0 {
		task.Service, task.Ordinal = "plans", s.choose(4)
	} else {
		task.Job = s.pickJob(view, pool)
	}
	return Action{StartTask: &StartTask{Task: task, Pool: pool}}
}

// pickJob picks a queued job of the pool or, rarely, one in any state.
func (s *sim) pickJob(view *View, pool model.PoolID) model.JobID {
	anyState := s.choose(4) == 0
	rows := slices.DeleteFunc(sortedRows(view.Jobs), func(j *model.Job) bool {
		return j.Spec.Pool != pool || !anyState && j.State != model.JobQueued
	})
	if len(rows) == 0 {
		return "j0"
	}
	return rows[s.choose(len(rows))].Spec.ID
}

func (s *sim) taskAction(view *View) Action {
	rows := sortedRows(view.Tasks)
	if len(rows) == 0 {
		return Action{RenewTasks: &RenewTasks{AllExcept: true, LeaseUntil: s.now + 1000}}
	}
	task := rows[s.choose(len(rows))]
	switch s.choose(8) {
	case 0:
		return Action{RenewTasks: &RenewTasks{Tasks: []model.TaskID{task.ID}, LeaseUntil: s.now + 1 + model.Instant(s.choose(8000))}}
	case 1:
		return Action{UpdateTask: &UpdateTask{Task: task.ID, State: model.TaskState(1 + s.choose(3)), Throttled: s.choose(2) == 0}}
	case 2:
		return Action{SetJob: &SetJob{Job: s.randomJobID(), State: model.JobState(1 + s.choose(8)), Reason: "by hand"}}
	default:
		return Action{EndTask: &EndTask{Task: task.ID, Outcome: TaskOutcome(1 + s.choose(5)), Moved: s.choose(2) == 0}}
	}
}
