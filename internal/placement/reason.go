package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// reasonKey is what the words of a reason depend on, so that thousands of
// jobs which wait for the same thing share one text.
type reasonKey struct {
	pool     model.PoolID
	team     model.TeamID
	size     model.Resources
	declared model.Resources
	no       No
}

// reasonWords says why a job waits or can never run. The words hold no
// figure that changes from round to round: each change is written to the log.
func (p *planner) reasonWords(j *model.Job, size model.Resources, no No) string {
	key := reasonKey{j.Spec.Pool, j.Spec.Team, size, j.Spec.Declared, no}
	if words, ok := p.words[key]; ok {
		return words
	}
	words := p.write(j, size, no)
	p.words[key] = words
	return words
}

func (p *planner) write(j *model.Job, size model.Resources, no No) string {
	pool, team := j.Spec.Pool, j.Spec.Team
	switch no {
	case NoRoom:
		return fmt.Sprintf("waits for room: no open VM of pool %s has %s left", pool, p.needWords(j, size))
	case NoOpenVM:
		return fmt.Sprintf("waits for a VM: none of pool %s takes new work", pool)
	case Reserved:
		return fmt.Sprintf("next in pool %s: room for %s is held until other work yields or ends", pool, p.needWords(j, size))
	case QuotaInUse:
		return fmt.Sprintf("waits for quota: running jobs of team %s leave less than %s of %s", team, p.needWords(j, size), p.quota(team))
	case FailedHere:
		return fmt.Sprintf("waits for another VM: it failed on each VM of pool %s that has room", pool)
	case CapacityUnknown:
		return fmt.Sprintf("waits for a larger VM: the listed VMs of pool %s are too small for %s, or not all are listed", pool, sizeWords(size))
	case TooLarge:
		return p.tooLargeWords(j)
	case OverQuota:
		return fmt.Sprintf("can never run: it needs %s; the quota of team %s is %s", sizeWords(j.Spec.Declared), team, p.quota(team))
	case UnknownPool:
		return fmt.Sprintf("can never run: the manifest has no pool %s", pool)
	case UnknownTeam:
		return fmt.Sprintf("can never run: the manifest has no team %s", team)
	}
	return ""
}

// needWords names the size, and the declared one where learning changed it.
func (p *planner) needWords(j *model.Job, size model.Resources) string {
	if size == j.Spec.Declared {
		return sizeWords(size)
	}
	return fmt.Sprintf("%s (declared %s)", sizeWords(size), sizeWords(j.Spec.Declared))
}

func (p *planner) quota(id model.TeamID) string {
	team := p.ix.Team(id)
	if team == nil {
		return "none"
	}
	return quotaWords(team.Spec.Quota)
}

func (p *planner) tooLargeWords(j *model.Job) string {
	r := p.rooms[j.Spec.Pool]
	var largest model.Resources
	for _, c := range r.caps {
		if c.MilliCPU+c.MemoryMB > largest.MilliCPU+largest.MemoryMB {
			largest = c
		}
	}
	return fmt.Sprintf("can never run: it needs %s; the largest VM of pool %s has %s",
		sizeWords(j.Spec.Declared), j.Spec.Pool, sizeWords(largest))
}
