package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// rebootsCommanded counts the commanded reboots of the VMs of one pool, or of
// all VMs if only is empty.
func (s *sim) rebootsCommanded(only model.PoolID) int {
	n := 0
	for id, commanded := range s.platform.Tally().RebootCommands {
		if only == "" || s.view().Owners[id].Pool == only {
			n += commanded
		}
	}
	return n
}

// During a wave, the next manifest removes it, postpones its start or removes a
// pool from it. Permits that were already granted must be withdrawn, or VMs
// would still be rebooted.
func TestWaveWithdrawn(t *testing.T) {
	cases := []struct {
		name   string
		pool   model.PoolID
		change func(*model.Site)
	}{
		{"removed", "", func(m *model.Site) { m.Waves = nil }},
		{"start postponed", "", func(m *model.Site) { m.Waves[0].Start = simStart.Add(48 * time.Hour) }},
		{"without a pool", "night", func(m *model.Site) { m.Waves[0].Pools = m.Waves[0].Pools[:1] }},
	}
	for _, c := range cases {
		for _, phase := range []model.MaintenancePhase{model.PhaseGranted, model.PhaseDraining, model.PhaseRebooting, model.PhaseSoaking} {
			t.Run(c.name+" "+phase.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := simInWave(t, phase, simOptions{platform: standin.Config{StopGrace: time.Minute}})
				late := 0
				for _, p := range s.view().Permits {
					if p.Phase >= model.PhaseRebooting && (c.pool == "" || p.Pool == c.pool) && s.platform.Tally().RebootCommands[p.VM] == 0 {
						late++ // its reboot was already committed
					}
				}
				before := s.rebootsCommanded(c.pool)
				s.applyChange(t, 15*time.Minute, c.change)
				is.True(s.rebootsCommanded(c.pool) <= before+late)
				for _, v := range s.platform.ActualVMs() {
					is.True(!v.Drained || s.view().Permits[v.ID] != nil)
				}
				if c.pool == "" {
					is.Equal(len(s.view().Permits), 0)
					is.Equal(s.manifestMismatches(), nil)
				}
				s.applyChange(t, time.Second, func(m *model.Site) { m.Waves = smallSite().Waves })
				s.finishWave(t)
			})
		}
	}
}
