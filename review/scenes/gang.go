package main

import (
	"fmt"
	"sync"
)

// gangs knows the runs of each gang on all workers. The members of one attempt work from
// when all are present, and when one of them ends, the others that are present end too.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[*run]bool
}

func newGangs() *gangs { return &gangs{members: map[string]map[*run]bool{}} }

func gangKey(r *run) string {
	return fmt.Sprintf("%s.%s.%s/%d", r.job, r.occurrence, r.step, r.attempt)
}

// join adds a run and returns all members once they are complete, nil before.
func (g *gangs) join(r *run) []*run {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	if g.members[key] == nil {
		g.members[key] = map[*run]bool{}
	}
	g.members[key][r] = true
	if len(g.members[key]) < r.spec.Gang {
		return nil
	}
	return g.list(key)
}

// leave removes a run and returns the other members that are present.
func (g *gangs) leave(r *run) []*run {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	delete(g.members[key], r)
	return g.list(key)
}

func (g *gangs) list(key string) []*run {
	var all []*run
	for r := range g.members[key] {
		all = append(all, r)
	}
	return all
}
