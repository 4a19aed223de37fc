package placement

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
)

// blockWords counts the VMs of a pool by what keeps new work off them.
func blockWords(p *fleet.Pool) string {
	if len(p.VMs) == 0 {
		return "it has none"
	}
	counts := make(map[fleet.Block]int)
	for _, v := range p.VMs {
		counts[v.Block]++
	}
	var words []string
	for b := fleet.Open; b <= fleet.BlockUnhealthy; b++ {
		if counts[b] > 0 {
			words = append(words, fmt.Sprintf("%d %s", counts[b], b))
		}
	}
	return strings.Join(words, ", ")
}
