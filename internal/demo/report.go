package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
)

// report collects the results of the steps and the measures.
type report struct {
	began time.Time
	lines []string

	mu              sync.Mutex
	urgentLatencies []time.Duration
	batchLatencies  []time.Duration
	failures        []string

	keyedRuns, jobsDone, reboots int
	start, finish                operator.Status
	manifestTime                 time.Duration
	waveTime                     time.Duration
	// heldVMs sums up the VMs that were spare or under maintenance in each sample of
	// the wave; maxHeldVMs is the largest number in one sample.
	samples, heldVMs, maxHeldVMs int
}

func (r *report) recordStep(name string, took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "FAILED"
	}
	r.lines = append(r.lines, fmt.Sprintf("%-6s %6.2fs  %s", result, took.Seconds(), name))
}

func (r *report) recordResponse(p model.Priority, response apiResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case response.status != 200 || response.verdict != model.Ran.String():
		r.failures = append(r.failures, fmt.Sprintf("%s request: status %d, %s", p, response.status, response.verdict))
	case p == model.Urgent:
		r.urgentLatencies = append(r.urgentLatencies, response.took)
	default:
		r.batchLatencies = append(r.batchLatencies, response.took)
	}
}

func (r *report) checkAllAnswered(urgent, batch int) error {
	if len(r.urgentLatencies) == urgent && len(r.batchLatencies) == batch {
		return nil
	}
	return fmt.Errorf("%d of %d urgent and %d of %d batch requests answered: %s",
		len(r.urgentLatencies), urgent, len(r.batchLatencies), batch, strings.Join(r.failures, "; "))
}

// checkWave checks one status during the wave and reports whether the wave is done.
// It returns an error while a service is below its availability budget.
func (r *report) checkWave(status operator.Status) (bool, error) {
	for _, b := range status.Budgets {
		if b.Available < b.MinAvailable {
			return false, fmt.Errorf("service %s had %d of at least %d instances", b.Service, b.Available, b.MinAvailable)
		}
	}
	held := 0
	for _, vm := range status.VMs {
		if vm.Pool == "" || vm.Phase != "" {
			held++
		}
	}
	r.samples++
	r.heldVMs += held
	r.maxHeldVMs = max(r.maxHeldVMs, held)
	for _, w := range status.Waves {
		if w.State == "done" && w.UnderMaintenance == 0 {
			return true, nil
		}
	}
	return false, fmt.Errorf("waves: %+v", status.Waves)
}

// moves counts the VMs whose pool has changed since all instances were available.
func (r *report) moves() int {
	before := map[model.VMID]model.PoolID{}
	for _, vm := range r.start.VMs {
		before[vm.VM] = vm.Pool
	}
	moved := 0
	for _, vm := range r.finish.VMs {
		if pool, known := before[vm.VM]; known && pool != vm.Pool {
			moved++
		}
	}
	return moved
}

func (r *report) write(w io.Writer) {
	fmt.Fprintln(w, "comfreyloom demo: three entry VMs, 12 VMs in 3 availability zones, 2 pools, 2 services")
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintf(w, "\nrequests      urgent %s; batch %s\n", formatLatencies(r.urgentLatencies), formatLatencies(r.batchLatencies))
	fmt.Fprintf(w, "non-idempotent %d requests sent twice each, each ran once\n", r.keyedRuns)
	fmt.Fprintf(w, "jobs          %d done\n", r.jobsDone)
	if r.samples > 0 {
		fmt.Fprintf(w, "\nbuffer cost   %.1f of %d VMs spare or under maintenance on average, %d at worst\n",
			float64(r.heldVMs)/float64(r.samples), len(vms()), r.maxHeldVMs)
	}
	fmt.Fprintf(w, "roll-out time configuration %.3fs, wave of %d reboots %.1fs\n",
		r.manifestTime.Seconds(), r.reboots, r.waveTime.Seconds())
	fmt.Fprintf(w, "moves         %d VMs changed pool\n", r.moves())
	fmt.Fprintf(w, "\ntotal %.1fs\n", time.Since(r.began).Seconds())
}

func formatLatencies(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprintf("%d answered, median %s, slowest %s", len(sorted),
		sorted[len(sorted)/2].Round(100*time.Microsecond), sorted[len(sorted)-1].Round(100*time.Microsecond))
}

// leaderStatus returns the status of the leader; only its budgets take the health
// of VMs into account.
func (s *Site) leaderStatus(ctx context.Context) (operator.Status, error) {
	status, err := s.status(ctx, 0)
	if err != nil {
		return status, err
	}
	for i := range s.addresses {
		if fmt.Sprintf("entry-%d", i+1) == string(status.Leader) {
			return s.status(ctx, i)
		}
	}
	return status, fmt.Errorf("no leader is known")
}
