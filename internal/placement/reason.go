package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// reasonKey holds everything that the text of a reason depends on, so that
// thousands of jobs that wait for the same thing share one text.
type reasonKey struct {
	pool     model.PoolID
	team     model.TeamID
	size     model.Resources
	declared model.Resources
	reject   RejectReason
}

// reasonText returns why a job waits or can never run. The text contains no
// number that changes from round to round, because each change is written to
// the log.
func (p *planner) reasonText(j *model.Job, size model.Resources, reject RejectReason) string {
	key := reasonKey{j.Spec.Pool, j.Spec.Team, size, j.Spec.Declared, reject}
	if text, ok := p.reasonTexts[key]; ok {
		return text
	}
	text := p.composeReason(j, size, reject)
	p.reasonTexts[key] = text
	return text
}

func (p *planner) composeReason(j *model.Job, size model.Resources, reject RejectReason) string {
	pool, team := j.Spec.Pool, j.Spec.Team
	switch reject {
	case NoFreeCapacity:
		return fmt.Sprintf("waits for room: no open VM of pool %s has %s left", pool, p.needText(j, size))
	case NoOpenVM:
		return fmt.Sprintf("waits for a VM: none of pool %s takes new work", pool)
	case Reserved:
		return fmt.Sprintf("next in pool %s: room for %s is held until other work yields or ends", pool, p.needText(j, size))
	case QuotaInUse:
		return fmt.Sprintf("waits for quota: running jobs of team %s leave less than %s of %s", team, p.needText(j, size), p.quotaText(team))
	case FailedHere:
		return fmt.Sprintf("waits for another VM: it failed on each VM of pool %s that has room", pool)
	case CapacityUnknown:
		return fmt.Sprintf("waits for a larger VM: the listed VMs of pool %s are too small for %s, or not all are listed", pool, formatSize(size))
	case TooLarge:
		return p.tooLargeText(j)
	case OverQuota:
		return fmt.Sprintf("can never run: it needs %s; the quota of team %s is %s", formatSize(j.Spec.Declared), team, p.quotaText(team))
	case UnknownPool:
		return fmt.Sprintf("can never run: the manifest has no pool %s", pool)
	case UnknownTeam:
		return fmt.Sprintf("can never run: the manifest has no team %s", team)
	}
	return ""
}

// needText formats the size, and the declared size if the estimate differs.
func (p *planner) needText(j *model.Job, size model.Resources) string {
	if size == j.Spec.Declared {
		return formatSize(size)
	}
	return fmt.Sprintf("%s (declared %s)", formatSize(size), formatSize(j.Spec.Declared))
}

func (p *planner) quotaText(id model.TeamID) string {
	team := p.ix.Team(id)
	if team == nil {
		return "none"
	}
	return formatQuota(team.Spec.Quota)
}

func (p *planner) tooLargeText(j *model.Job) string {
	ps := p.pools[j.Spec.Pool]
	var largest model.Resources
	for _, c := range ps.capacities {
		if c.MilliCPU+c.MemoryMB > largest.MilliCPU+largest.MemoryMB {
			largest = c
		}
	}
	return fmt.Sprintf("can never run: it needs %s; the largest VM of pool %s has %s",
		formatSize(j.Spec.Declared), j.Spec.Pool, formatSize(largest))
}
