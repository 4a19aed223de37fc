package placement

import (
	"cmp"
	"container/heap"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The levels of the queue, in the order in which they are placed.
const (
	levelUrgent = iota
	levelNormal
	levelBatch
	levelCount
)

// lane is the queue of one team at one priority.
type lane struct {
	id   model.TeamID
	team *fleet.Team
	jobs []*model.Job
	// share is the largest share of the site that the team's jobs hold, over
	// processors, memory and accelerators.
	share float64
}

// lanes is a heap ordered by share: the team that holds the least goes next, so
// that no team delays the others by the length of its queue.
type lanes []*lane

func (l lanes) Len() int { return len(l) }
func (l lanes) Less(i, j int) bool {
	if l[i].share != l[j].share {
		return l[i].share < l[j].share
	}
	return cmp.Less(l[i].id, l[j].id)
}
func (l lanes) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *lanes) Push(x any) { *l = append(*l, x.(*lane)) }

// Pop implements heap.Interface.
func (l *lanes) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// byPriority splits the queue into the lanes of each level: urgent, normal
// including batch jobs older than BatchAge, and batch.
func byPriority(ix *fleet.Index, o Options) [levelCount]lanes {
	var levels [levelCount]lanes
	var byTeam [levelCount]map[model.TeamID]*lane
	for i := range byTeam {
		byTeam[i] = make(map[model.TeamID]*lane)
	}
	for _, j := range ix.Queue {
		if ix.StartPlanned(j.Spec.ID) {
			continue
		}
		level := levelOf(ix, o, j)
		l := byTeam[level][j.Spec.Team]
		if l == nil {
			l = &lane{id: j.Spec.Team, team: ix.Team(j.Spec.Team)}
			l.updateShare(ix.Total)
			byTeam[level][j.Spec.Team] = l
			levels[level] = append(levels[level], l)
		}
		l.jobs = append(l.jobs, j)
	}
	return levels
}

func levelOf(ix *fleet.Index, o Options, j *model.Job) int {
	switch {
	case j.Spec.Priority >= model.Urgent:
		return levelUrgent
	case j.Spec.Priority == model.Normal, ix.Now().Sub(j.Submitted) >= o.BatchAge:
		return levelNormal
	}
	return levelBatch
}

// next removes and returns the next job of the level. The level must not be
// empty.
func (l *lanes) next() (*lane, *model.Job) {
	first := (*l)[0]
	j := first.jobs[0]
	first.jobs = first.jobs[1:]
	return first, j
}

// restoreOrder restores the heap after the first lane changed.
func (l *lanes) restoreOrder() {
	if len((*l)[0].jobs) == 0 {
		heap.Pop(l)
		return
	}
	heap.Fix(l, 0)
}

func (l *lane) updateShare(total model.Resources) {
	if l.team == nil {
		return
	}
	used := l.team.Used
	l.share = max(ratio(used.MilliCPU, total.MilliCPU), ratio(used.MemoryMB, total.MemoryMB), ratio(used.Accelerators, total.Accelerators))
}

func ratio(v, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(v) / float64(total)
}
