package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

func smallSim(seed uint64, o simOptions) *sim {
	o.seed = seed
	if o.site.Revision == 0 {
		o.site = smallSite()
	}
	if o.platform.VMs == nil {
		o.platform.VMs = siteVMs(3, 16, 2, cores(16))
	}
	if o.config.Wave.Features == (wave.Features{}) {
		o.config.Wave.Features = wave.AllFeatures()
	}
	return newSim(o)
}

// End to end: VMs join pools, instances start, jobs run, and a wave reboots
// every VM exactly once without a violated invariant.
func TestWaveEndToEnd(t *testing.T) {
	is := is.New(t)
	s := smallSim(1, simOptions{platform: standin.Config{RebootTime: 30 * time.Second}})
	serving := func() bool { return len(s.serving()) == 15 }
	is.True(s.until(time.Minute, serving)) // all instances serve
	for i := range 20 {
		s.submit(job(fmt.Sprintf("j%02d", i), "drafts", model.Normal, cores(1), 10*time.Second))
	}
	jobsDone := func() bool { return len(s.platform.Tally().Succeeded) == 20 }
	is.True(s.until(time.Minute, jobsDone))
	is.True(s.until(2*time.Hour, s.waveDone("kernel")))
	for id, n := range s.platform.Tally().Reboots {
		is.Equal(n, 1) // each VM is rebooted once
		is.True(s.view().Maintained[id] != nil)
	}
	is.True(s.until(time.Minute, func() bool { return len(s.view().Permits) == 0 && serving() }))
	is.Equal(s.invariantViolations(), nil)
}
