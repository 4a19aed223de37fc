package agent

import (
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// serving lists the instances that announced themselves, by the task that each
// of them is.
func serving(r *registry.Registry) map[model.TaskID]bool {
	set := map[model.TaskID]bool{}
	for _, u := range r.All() {
		if !u.Leaving {
			set[model.TaskID(u.Instance)] = true
		}
	}
	return set
}
