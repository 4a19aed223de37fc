package agent

import (
	"sort"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// catalog looks up services and teams in the manifest that is in force here.
type catalog struct{ log state.Log }

// Service implements slots.Services.
func (c catalog) Service(id model.ServiceID) (model.Service, bool) {
	site := c.log.View().Site
	if site == nil {
		return model.Service{}, false
	}
	i := sort.Search(len(site.Services), func(i int) bool { return site.Services[i].ID >= id })
	if i == len(site.Services) || site.Services[i].ID != id {
		return model.Service{}, false
	}
	return site.Services[i], true
}

// Team implements slots.Services.
func (c catalog) Team(id model.TeamID) (model.Team, bool) {
	site := c.log.View().Site
	if site == nil {
		return model.Team{}, false
	}
	i := sort.Search(len(site.Teams), func(i int) bool { return site.Teams[i].ID >= id })
	if i == len(site.Teams) || site.Teams[i].ID != id {
		return model.Team{}, false
	}
	return site.Teams[i], true
}
