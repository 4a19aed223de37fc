package controller

import (
	"fmt"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// jobMoves counts the stops of jobs by the wave, the jobs that were stopped,
// and the maximum number of stops of one job.
func (r *policyRun) jobMoves() (total, displaced, maxMoves int) {
	for _, n := range r.moves {
		total += n
		displaced++
		maxMoves = max(maxMoves, n)
	}
	return total, displaced, maxMoves
}

// vmMoves counts the moves of VMs between pools since the wave began.
func (r *policyRun) vmMoves() int {
	moves := 0
	for id, o := range r.view().Owners {
		moves += int(o.Generation-r.generations[id]) / 2
	}
	return moves
}

// lostOrDoubled counts the jobs that were lost or ran twice, and the violated
// invariants.
func (r *policyRun) lostOrDoubled() int {
	tally := r.platform.Tally()
	wrong := tally.Overlaps
	for id, j := range r.view().Jobs {
		done := tally.Succeeded[id]
		switch {
		case j.State == model.JobDone && done == 0, !j.Spec.Idempotent && tally.Starts[id] > 1:
			wrong++
		}
	}
	return wrong + len(r.invariantViolations())
}

var policyVariants = []struct {
	name     string
	features wave.Features
}{
	{"plain", wave.Features{}},
	{"SteerNew", wave.Features{SteerNew: true}},
	{"DisplaceToDone", wave.Features{DisplaceToDone: true}},
	{"LargestSet", wave.Features{LargestSet: true}},
	{"OrderByCost", wave.Features{OrderByCost: true}},
	{"RespectBusy", wave.Features{RespectBusy: true}},
	{"chosen", wave.AllFeatures()},
}

// BenchmarkPolicy runs a wave through each site under load, with misdeclared
// sizes, failures and mass cancellations: without any feature, with each feature
// alone and with all that production uses ("chosen"). Run it with -benchtime 1x.
func BenchmarkPolicy(b *testing.B) {
	const seeds = 2
	for _, p := range policySites {
		for _, v := range policyVariants {
			b.Run(p.name+"/"+v.name, func(b *testing.B) {
				for range b.N {
					reportPolicy(b, p, v.features, seeds)
				}
			})
		}
	}
}

func reportPolicy(b *testing.B, p policySite, features wave.Features, seeds uint64) {
	var ratio, minutes, reserved, maxReserved, wait, total, maxMoves, vmMoves, jobs, preemptions float64
	violations, shortfall, wrong := 0, 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		r := newPolicyRun(p, features, seed)
		r.run()
		took := r.end.Sub(simStart.Add(policyWarmup))
		minutes += took.Minutes() / float64(seeds)
		ratio += float64(took) / float64(r.lowerBound()) / float64(seeds)
		reserved += mean(r.reserved) / float64(seeds)
		maxReserved = max(maxReserved, quantile(r.reserved, 1))
		wait = max(wait, quantile(r.waits, 0.99))
		n, displaced, worst := r.jobMoves()
		total += float64(n) / float64(seeds)
		jobs += float64(displaced) / float64(seeds)
		maxMoves = max(maxMoves, float64(worst))
		vmMoves += float64(r.vmMoves()) / float64(seeds)
		preemptions += float64(r.preemptions) / float64(seeds)
		violations += r.violations
		shortfall = max(shortfall, r.worstShortfall)
		wrong += r.lostOrDoubled()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(minutes, "rollout-min")
	b.ReportMetric(ratio, "rollout-ratio")
	b.ReportMetric(reserved, "held-mean")
	b.ReportMetric(maxReserved, "held-worst")
	b.ReportMetric(total, "job-moves")
	b.ReportMetric(jobs, "jobs-moved")
	b.ReportMetric(maxMoves, "moves-a-job")
	b.ReportMetric(vmMoves, "vm-moves")
	b.ReportMetric(preemptions, "yields")
	b.ReportMetric(wait, "urgent-p99-s")
	b.ReportMetric(float64(violations), "violations")
	b.ReportMetric(float64(shortfall), "worst-dip")
	b.ReportMetric(float64(wrong), "lost-or-doubled")
}

// BenchmarkPolicyWithoutFailures runs a wave with all features and without
// failures, seed by seed: the lower bound then depends only on the load, or on a
// job that must not be interrupted.
func BenchmarkPolicyWithoutFailures(b *testing.B) {
	for _, p := range policySites {
		for seed := uint64(1); seed <= 6; seed++ {
			b.Run(fmt.Sprint(p.name, "/", seed), func(b *testing.B) {
				for range b.N {
					r := newPolicyRun(p, wave.AllFeatures(), seed)
					r.withoutFailures = true
					r.run()
					moves, _, maxMoves := r.jobMoves()
					took := r.end.Sub(simStart.Add(policyWarmup))
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(took.Minutes(), "rollout-min")
					b.ReportMetric(float64(took)/float64(r.lowerBound()), "rollout-ratio")
					b.ReportMetric(r.uninterruptible.Minutes(), "uncuttable-min")
					b.ReportMetric(float64(moves), "job-moves")
					b.ReportMetric(float64(maxMoves), "moves-a-job")
					b.ReportMetric(quantile(r.waits, 0.99), "urgent-p99-s")
					b.ReportMetric(float64(r.violations), "violations")
				}
			})
		}
	}
}
