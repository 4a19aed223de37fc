package controller

import (
	"fmt"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// moved counts the stops of jobs for the system's own sake, and the most of
// any one job.
func (r *policyRun) moved() (total, displaced, most int) {
	for _, n := range r.stops {
		total += n
		displaced++
		most = max(most, n)
	}
	return total, displaced, most
}

// vmMoves counts the moves of VMs between pools since the wave began.
func (r *policyRun) vmMoves() int {
	moves := 0
	for id, o := range r.view().Owners {
		moves += int(o.Generation-r.generations[id]) / 2
	}
	return moves
}

// wrong counts the jobs that were lost or doubled.
func (r *policyRun) wrong() int {
	tally := r.platform.Tally()
	wrong := tally.Overlaps
	for id, j := range r.view().Jobs {
		done := tally.Done[id]
		switch {
		case j.State == model.JobDone && done == 0, !j.Spec.Idempotent && tally.Starts[id] > 1:
			wrong++
		}
	}
	return wrong + len(r.broken())
}

var policyVariants = []struct {
	name  string
	ideas wave.Ideas
}{
	{"plain", wave.Ideas{}},
	{"SteerNew", wave.Ideas{SteerNew: true}},
	{"DisplaceToDone", wave.Ideas{DisplaceToDone: true}},
	{"LargestSet", wave.Ideas{LargestSet: true}},
	{"OrderByCost", wave.Ideas{OrderByCost: true}},
	{"RespectBusy", wave.Ideas{RespectBusy: true}},
	{"chosen", wave.Chosen()},
}

// BenchmarkPolicy carries a wave through each site, under load, lies about
// sizes, failures and cancel storms, in the plain way, with each idea alone and
// with the chosen set. Run it with -benchtime 1x.
func BenchmarkPolicy(b *testing.B) {
	const seeds = 2
	for _, p := range policySites {
		for _, v := range policyVariants {
			b.Run(p.name+"/"+v.name, func(b *testing.B) {
				for range b.N {
					report(b, p, v.ideas, seeds)
				}
			})
		}
	}
}

func report(b *testing.B, p policySite, ideas wave.Ideas, seeds uint64) {
	var ratio, minutes, held, heldMost, wait, total, most, vmMoves, jobs, yields float64
	violations, dip, wrong := 0, 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		r := newPolicyRun(p, ideas, seed)
		r.run()
		took := r.end.Sub(simStart.Add(policyWarm))
		minutes += took.Minutes() / float64(seeds)
		ratio += float64(took) / float64(r.lowerBound()) / float64(seeds)
		held += mean(r.held) / float64(seeds)
		heldMost = max(heldMost, quantile(r.held, 1))
		wait = max(wait, quantile(r.waits, 0.99))
		n, displaced, worst := r.moved()
		total += float64(n) / float64(seeds)
		jobs += float64(displaced) / float64(seeds)
		most = max(most, float64(worst))
		vmMoves += float64(r.vmMoves()) / float64(seeds)
		yields += float64(r.yields) / float64(seeds)
		violations += r.violations
		dip = max(dip, r.worstDip)
		wrong += r.wrong()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(minutes, "rollout-min")
	b.ReportMetric(ratio, "rollout-ratio")
	b.ReportMetric(held, "held-mean")
	b.ReportMetric(heldMost, "held-worst")
	b.ReportMetric(total, "job-moves")
	b.ReportMetric(jobs, "jobs-moved")
	b.ReportMetric(most, "moves-a-job")
	b.ReportMetric(vmMoves, "vm-moves")
	b.ReportMetric(yields, "yields")
	b.ReportMetric(wait, "urgent-p99-s")
	b.ReportMetric(float64(violations), "violations")
	b.ReportMetric(float64(dip), "worst-dip")
	b.ReportMetric(float64(wrong), "lost-or-doubled")
}

// BenchmarkPolicyCalm is the chosen set without failures, seed by seed: the
// lower bound is then that of the load alone, or of a job that must not be cut.
func BenchmarkPolicyCalm(b *testing.B) {
	for _, p := range policySites {
		for seed := uint64(1); seed <= 6; seed++ {
			b.Run(fmt.Sprint(p.name, "/", seed), func(b *testing.B) {
				for range b.N {
					r := newPolicyRun(p, wave.Chosen(), seed)
					r.calm = true
					r.run()
					moves, _, most := r.moved()
					took := r.end.Sub(simStart.Add(policyWarm))
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(took.Minutes(), "rollout-min")
					b.ReportMetric(float64(took)/float64(r.lowerBound()), "rollout-ratio")
					b.ReportMetric(r.uncuttable.Minutes(), "uncuttable-min")
					b.ReportMetric(float64(moves), "job-moves")
					b.ReportMetric(float64(most), "moves-a-job")
					b.ReportMetric(quantile(r.waits, 0.99), "urgent-p99-s")
					b.ReportMetric(float64(r.violations), "violations")
				}
			})
		}
	}
}
