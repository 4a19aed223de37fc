package agent

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// catalog looks up services and teams in the manifest that is in force on this VM.
type catalog struct{ log state.Log }

// Service implements slots.Services.
func (c catalog) Service(id model.ServiceID) (model.Service, bool) {
	site := c.log.View().Site
	if site == nil {
		return model.Service{}, false
	}
	return find(site.Services, id, func(s model.Service) model.ServiceID { return s.ID })
}

// Team implements slots.Services.
func (c catalog) Team(id model.TeamID) (model.Team, bool) {
	site := c.log.View().Site
	if site == nil {
		return model.Team{}, false
	}
	return find(site.Teams, id, func(t model.Team) model.TeamID { return t.ID })
}

// find looks up an ID in a list sorted by ID, as the lists of a site are.
func find[T any, K cmp.Ordered](sorted []T, id K, idOf func(T) K) (T, bool) {
	i, found := slices.BinarySearchFunc(sorted, id, func(t T, wanted K) int { return cmp.Compare(idOf(t), wanted) })
	if !found {
		var none T
		return none, false
	}
	return sorted[i], true
}
