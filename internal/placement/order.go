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

// lanes is a heap: the team that holds the least goes next, so that no team
// delays the others by the length of its queue.
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
// with the batch jobs that waited for long, and batch.
func byPriority(ix *fleet.Index, o Options) [levelCount]lanes {
	var levels [levelCount]lanes
	var byTeam [levelCount]map[model.TeamID]*lane
	for i := range byTeam {
		byTeam[i] = make(map[model.TeamID]*lane)
	}
	for _, j := range ix.Queue {
		if ix.Started(j.Spec.ID) {
			continue
		}
		level := levelOf(ix, o, j)
		l := byTeam[level][j.Spec.Team]
		if l == nil {
			l = &lane{id: j.Spec.Team, team: ix.Team(j.Spec.Team)}
			l.weigh(ix.Total)
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

// next takes the next job of the level; nil when there is none.
func (l *lanes) next() (*lane, *model.Job) {
	first := (*l)[0]
	j := first.jobs[0]
	first.jobs = first.jobs[1:]
	return first, j
}

// settle restores the order after the first lane changed.
func (l *lanes) settle() {
	if len((*l)[0].jobs) == 0 {
		heap.Pop(l)
		return
	}
	heap.Fix(l, 0)
}

func (l *lane) weigh(total model.Resources) {
	if l.team == nil {
		return
	}
	used := l.team.Used
	l.share = max(part(used.MilliCPU, total.MilliCPU), part(used.MemoryMB, total.MemoryMB), part(used.Accelerators, total.Accelerators))
}

func part(v, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(v) / float64(total)
}
