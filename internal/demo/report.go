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

// report collects what happened.
type report struct {
	began time.Time
	lines []string

	mu     sync.Mutex
	urgent []time.Duration
	batch  []time.Duration
	other  []string

	keyed, jobs, reboots int
	start, finish        operator.Status
	rollOutConfiguration time.Duration
	rollOutWave          time.Duration
	samples, held, worst int
}

func (r *report) step(name string, took time.Duration, err error) {
	word := "ok"
	if err != nil {
		word = "FAILED"
	}
	r.lines = append(r.lines, fmt.Sprintf("%-6s %6.2fs  %s", word, took.Seconds(), name))
}

func (r *report) answered(p model.Priority, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.status != 200 || o.verdict != model.Ran.String():
		r.other = append(r.other, fmt.Sprintf("%s request: status %d, %s", p, o.status, o.verdict))
	case p == model.Urgent:
		r.urgent = append(r.urgent, o.took)
	default:
		r.batch = append(r.batch, o.took)
	}
}

func (r *report) everyAnswered(urgent, batch int) error {
	if len(r.urgent) == urgent && len(r.batch) == batch {
		return nil
	}
	return fmt.Errorf("%d of %d urgent and %d of %d batch requests answered: %s",
		len(r.urgent), urgent, len(r.batch), batch, strings.Join(r.other, "; "))
}

// watchWave takes one look at the wave. A budget below its least ends the demo.
func (r *report) watchWave(status operator.Status) (bool, error) {
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
	r.held += held
	r.worst = max(r.worst, held)
	for _, w := range status.Waves {
		if w.State == "done" && w.UnderMaintenance == 0 {
			return true, nil
		}
	}
	return false, fmt.Errorf("waves: %+v", status.Waves)
}

// moves counts the VMs whose pool changed since the instances were up.
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
	fmt.Fprintf(w, "\nrequests      urgent %s; batch %s\n", spread(r.urgent), spread(r.batch))
	fmt.Fprintf(w, "non-idempotent %d requests sent twice each, each ran once\n", r.keyed)
	fmt.Fprintf(w, "jobs          %d done\n", r.jobs)
	if r.samples > 0 {
		fmt.Fprintf(w, "\nbuffer cost   %.1f of %d VMs spare or under maintenance on average, %d at worst\n",
			float64(r.held)/float64(r.samples), len(vms()), r.worst)
	}
	fmt.Fprintf(w, "roll-out time configuration %.3fs, wave of %d reboots %.1fs\n",
		r.rollOutConfiguration.Seconds(), r.reboots, r.rollOutWave.Seconds())
	fmt.Fprintf(w, "moves         %d VMs changed pool\n", r.moves())
	fmt.Fprintf(w, "\ntotal %.1fs\n", time.Since(r.began).Seconds())
}

func spread(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprintf("%d answered, median %s, slowest %s", len(sorted),
		sorted[len(sorted)/2].Round(100*time.Microsecond), sorted[len(sorted)-1].Round(100*time.Microsecond))
}

// leaderStatus reads the status of the leader, whose account of the budgets
// also counts health.
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
