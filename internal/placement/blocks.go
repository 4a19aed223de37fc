package placement

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
)

// formatBlocks describes how many VMs of a pool accept new work, and why the
// others accept none.
func formatBlocks(p *fleet.Pool) string {
	if len(p.VMs) == 0 {
		return "it has none"
	}
	counts := make(map[fleet.Block]int)
	for _, v := range p.VMs {
		counts[v.Block]++
	}
	var parts []string
	for b := fleet.Open; b <= fleet.BlockUnhealthy; b++ {
		if counts[b] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[b], b))
		}
	}
	return strings.Join(parts, ", ")
}
