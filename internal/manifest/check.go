package manifest

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// checker checks the rules across sections: references, sizes and whether the
// availability budgets can be met at all.
type checker struct {
	parser *parser
	pools  map[model.PoolID]*model.Pool
}

func newChecker(p *parser) *checker {
	return &checker{parser: p, pools: map[model.PoolID]*model.Pool{}}
}

func (c *checker) check(site *model.Site) {
	c.checkPools(site)
	for i := range site.Services {
		c.checkService(&site.Services[i], c.parser.services[i])
	}
	c.checkPoolTotals(site)
	for i := range site.Waves {
		c.checkWave(&site.Waves[i], c.parser.waves[i])
	}
}

func (c *checker) checkPools(site *model.Site) {
	if len(site.Pools) == 0 {
		c.parser.file.Report("", "", "has no section [pool NAME]; at least one is needed")
	}
	sum := 0
	for i := range site.Pools {
		pool := &site.Pools[i]
		c.pools[pool.ID] = pool
		sum += pool.MinVMs
		if pool.MinVMs > pool.MaxVMs {
			c.parser.pools[i].report("min_vms", "is %d; allowed: at most max_vms, which is %d", pool.MinVMs, pool.MaxVMs)
		}
	}
	if sum > MaxVMs {
		c.parser.file.Report("", "", fmt.Sprintf("asks for %d VMs in the min_vms of all pools; at most %d are allowed", sum, MaxVMs))
	}
}

func (c *checker) checkService(service *model.Service, s section) {
	pool := c.pools[service.Pool]
	if pool == nil {
		if service.Pool != "" {
			s.report("pool", "is %q; allowed: the name of a section [pool NAME]", service.Pool)
		}
		return
	}
	c.checkSize(service, pool, s)
	c.checkInstancesFit(service, pool, s)
	c.checkBudget(service, pool, s)
	if service.Connections < service.Slots {
		s.report("connections", "is %d; allowed: at least slots, which is %d", service.Connections, service.Slots)
	}
}

// checkSize checks that one instance fits one VM.
func (c *checker) checkSize(service *model.Service, pool *model.Pool, s section) {
	checkFits := func(key string, fits bool, size, shape string) {
		if !fits {
			s.report(key, "is %s; allowed: at most what a VM of pool %s offers, which is %s", size, pool.ID, shape)
		}
	}
	size, shape := service.Size, pool.Shape
	checkFits("processors", size.MilliCPU <= shape.MilliCPU,
		formatProcessors(size.MilliCPU), formatProcessors(shape.MilliCPU))
	checkFits("memory", size.MemoryMB <= shape.MemoryMB, formatMemory(size.MemoryMB), formatMemory(shape.MemoryMB))
	checkFits("accelerators", size.Accelerators <= shape.Accelerators,
		fmt.Sprint(size.Accelerators), fmt.Sprint(shape.Accelerators))
}

// checkInstancesFit checks that the instances fit on max_vms VMs of the pool, with
// whole instances on each VM.
func (c *checker) checkInstancesFit(service *model.Service, pool *model.Pool, s section) {
	perVM := instancesPerVM(pool.Shape, service.Size)
	if perVM == 0 || perVM*pool.MaxVMs >= service.Instances {
		return
	}
	s.report("instances", "is %d; allowed: at most %d, since one VM of pool %s holds %d of them and max_vms is %d",
		service.Instances, perVM*pool.MaxVMs, pool.ID, perVM, pool.MaxVMs)
}

// checkBudget checks that any VM can be drained while nothing has failed. The
// instances spread evenly over the smallest number of VMs, and the fullest of
// these holds the most. A budget that forbids draining it would stop every wave
// forever.
func (c *checker) checkBudget(service *model.Service, pool *model.Pool, s section) {
	vms := fewestVMs(service, pool)
	if vms == 0 {
		return
	}
	fullest := ceilDiv(service.Instances, vms)
	left := service.Instances - fullest
	if left >= service.MinAvailable {
		return
	}
	key := "min_available"
	if s.ini.Has("max_unavailable") {
		key = "max_unavailable"
	}
	s.report(key, "lets no VM be drained: %d instances on the least VMs of pool %s, %d, put %d on one VM; "+
		"draining it leaves %d - %d = %d available, and the budget keeps %d; "+
		"allowed: a budget that keeps at most %d, or a larger min_vms",
		service.Instances, pool.ID, vms, fullest,
		service.Instances, fullest, left, service.MinAvailable, left)
}

// fewestVMs returns the smallest number of VMs on which the instances may run:
// min_vms, or more when the instances don't fit on these. It is 0 when an instance
// fits no VM, which checkSize reports.
func fewestVMs(service *model.Service, pool *model.Pool) int {
	perVM := instancesPerVM(pool.Shape, service.Size)
	if perVM == 0 {
		return 0
	}
	return max(pool.MinVMs, ceilDiv(service.Instances, perVM))
}

// instancesPerVM returns how many instances of a size fit on one VM.
func instancesPerVM(shape, size model.Resources) int {
	count := int64(MaxInstances)
	for _, pair := range [][2]int64{
		{shape.MilliCPU, size.MilliCPU},
		{shape.MemoryMB, size.MemoryMB},
		{shape.Accelerators, size.Accelerators},
	} {
		if pair[1] > 0 {
			count = min(count, pair[0]/pair[1])
		}
	}
	return int(max(count, 0))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// checkPoolTotals checks that all instances of a pool's services fit on max_vms
// VMs.
func (c *checker) checkPoolTotals(site *model.Site) {
	for i := range site.Pools {
		pool := &site.Pools[i]
		var required model.Resources
		for j := range site.Services {
			if service := &site.Services[j]; service.Pool == pool.ID {
				required = required.Plus(multiply(service.Size, service.Instances))
			}
		}
		c.checkPoolTotal(pool, required, c.parser.pools[i])
	}
}

func (c *checker) checkPoolTotal(pool *model.Pool, required model.Resources, s section) {
	capacity := multiply(pool.Shape, pool.MaxVMs)
	if required.Fits(capacity) {
		return
	}
	s.report("max_vms", "is too small: the instances of the pool's services need %s, and %d VMs of %s offer %s; "+
		"allowed: enough VMs for all instances", formatResources(required), pool.MaxVMs, formatResources(pool.Shape), formatResources(capacity))
}

func (c *checker) checkWave(wave *model.Wave, s section) {
	for _, id := range wave.Pools {
		if c.pools[id] == nil {
			s.report("pools", "holds %q; allowed: names of sections [pool NAME]", id)
		}
	}
}

func multiply(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU * int64(n),
		MemoryMB:     r.MemoryMB * int64(n),
		Accelerators: r.Accelerators * int64(n),
	}
}

func formatResources(r model.Resources) string {
	return fmt.Sprintf("%s cores, %s, %d accelerators",
		formatProcessors(r.MilliCPU), formatMemory(r.MemoryMB), r.Accelerators)
}

func formatMemory(mb int64) string { return inifile.FormatSize(mb * MinMemory) }
