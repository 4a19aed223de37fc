package placement

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
)

// formatBlocks counts the VMs of a pool by the reason why they accept no new
// work.
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
