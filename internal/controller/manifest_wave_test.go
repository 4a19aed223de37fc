package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// asked counts the reboots that were commanded of VMs that the manifest no
// longer asks for: all, or those of one pool.
func (s *sim) asked(only model.PoolID) int {
	n := 0
	for id, asked := range s.platform.Tally().Asked {
		if only == "" || s.view().Owners[id].Pool == only {
			n += asked
		}
	}
	return n
}

// Symptom: VMs go on being rebooted after the operator took the wave back.
// Sequence: a wave is in mid-way; the next manifest lacks it, puts off its
// start or takes a pool out of it.
// Cause: a permit that was granted is carried through whatever the manifest says.
func TestWaveTakenBack(t *testing.T) {
	cases := []struct {
		name   string
		pool   model.PoolID
		change func(*model.Site)
	}{
		{"removed", "", func(m *model.Site) { m.Waves = nil }},
		{"put off", "", func(m *model.Site) { m.Waves[0].Start = simStart.Add(48 * time.Hour) }},
		{"without a pool", "night", func(m *model.Site) { m.Waves[0].Pools = m.Waves[0].Pools[:1] }},
	}
	for _, c := range cases {
		for _, phase := range []model.MaintenancePhase{model.PhaseGranted, model.PhaseDraining, model.PhaseRebooting, model.PhaseSoaking} {
			t.Run(c.name+" "+phase.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := inWave(t, phase, simOptions{platform: standin.Config{StopGrace: time.Minute}})
				late := 0
				for _, p := range s.view().Permits {
					if p.Phase >= model.PhaseRebooting && (c.pool == "" || p.Pool == c.pool) && s.platform.Tally().Asked[p.VM] == 0 {
						late++ // its reboot was committed already
					}
				}
				before := s.asked(c.pool)
				s.revise(t, 15*time.Minute, c.change)
				is.True(s.asked(c.pool) <= before+late)
				for _, v := range s.platform.Truth() {
					is.True(!v.Drained || s.view().Permits[v.ID] != nil)
				}
				if c.pool == "" {
					is.Equal(len(s.view().Permits), 0)
					is.Equal(s.unlike(), nil)
				}
				s.revise(t, time.Second, func(m *model.Site) { m.Waves = smallSite().Waves })
				s.finish(t)
			})
		}
	}
}
