package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// jobTaskID names an attempt after the log index at which it was decided. The
// next attempt of the job can only be decided at a later index, and deciding
// twice on the same state yields the same name. The number of attempts would
// not be unique: it is decremented when an attempt never started.
func jobTaskID(ix *fleet.Index, j *model.Job) model.TaskID {
	return taskID(ix.Snap.Region, fmt.Sprintf("%s.%d", local(string(j.Spec.ID)), ix.Snap.View.Index))
}

// instanceTaskID names an attempt of an instance in the same way.
func instanceTaskID(ix *fleet.Index, s *fleet.Service, ordinal int) model.TaskID {
	name := fmt.Sprintf("%s.%d.%d", local(string(s.Spec.ID)), ordinal, ix.Snap.View.Index)
	return taskID(ix.Snap.Region, name)
}

func taskID(region model.RegionID, name string) model.TaskID {
	if region == "" {
		return model.TaskID(name)
	}
	return model.TaskID(model.Qualify(region, name))
}

func local(id string) string {
	_, name := model.SplitQualified(id)
	return name
}

// start builds the action that commits an attempt on a VM with its lease.
func start(ix *fleet.Index, v *fleet.VM, t model.Task, reason string) state.Action {
	t.VM = v.ID
	t.Worker = v.Listed.Worker
	t.State = model.TaskStarting
	t.Generation = v.Generation()
	t.Started = ix.Now()
	t.LeaseUntil = ix.LeaseUntil()
	return state.Action{Reason: reason, StartTask: &state.StartTask{Task: t, Pool: v.Pool()}}
}
