package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// usage is the cumulative resource usage of a process since its start.
type usage struct {
	cpu               time.Duration
	received, written int64
	resident          int64
}

// usageOf reads the usage of a process from /proc: processor time, bytes read and
// written (sockets and files together), and resident memory.
func (r *capacityRun) usageOf(i int) usage {
	proc := fmt.Sprintf("/proc/%d/", r.processes[i].Process.Pid)
	stat, err := os.ReadFile(proc + "stat")
	r.check(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const clockTick = 10 * time.Millisecond
	var u usage
	for _, i := range []int{11, 12} { // utime, stime
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		r.check(err)
		u.cpu += time.Duration(ticks) * clockTick
	}
	io := r.readTable(proc + "io")
	u.received, u.written = io["rchar"], io["wchar"]
	u.resident = r.readTable(proc + "status")["VmRSS"] * 1024
	return u
}

// readTable parses a file of lines "name: number".
func (r *capacityRun) readTable(file string) map[string]int64 {
	text, err := os.ReadFile(file)
	r.check(err)
	numbers := map[string]int64{}
	for _, line := range strings.Split(string(text), "\n") {
		name, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); len(fields) > 0 {
			numbers[name], _ = strconv.ParseInt(fields[0], 10, 64)
		}
	}
	return numbers
}

func (r *capacityRun) usages() []usage {
	all := make([]usage, r.nodes)
	for i := range r.processes {
		all[i] = r.usageOf(i)
	}
	return all
}

// rate is the usage of a process per second.
type rate struct {
	// cpu is the share of one core.
	cpu, received, written float64
}

func rateOf(before, after usage, seconds float64) rate {
	return rate{
		cpu:      (after.cpu - before.cpu).Seconds() / seconds,
		received: float64(after.received-before.received) / seconds,
		written:  float64(after.written-before.written) / seconds,
	}
}

// reportUsage prints the usage of each process over a span during which work ran. With
// events it records the cost of one event, which is the usage above that of the
// last measurement without events.
func (r *capacityRun) reportUsage(load string, span time.Duration, events int, work func()) {
	began := time.Now()
	before := r.usages()
	work()
	time.Sleep(max(0, span-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := r.usages()
	leader := string(r.status().Leader) // a large response, so it is requested after the measurement
	rates := make([]rate, r.nodes)
	for i := range r.processes {
		rates[i] = rateOf(before[i], after[i], seconds)
		role := r.role(i, leader)
		resident := float64(after[i].resident) / 1e6
		fmt.Printf("workers=%d pools=%d load=%q node=n%d role=%s cpu_percent=%.2f received_per_s=%.0f written_per_s=%.0f resident_mb=%.1f\n",
			r.workers, r.pools, load, i+1, role, 100*rates[i].cpu, rates[i].received, rates[i].written, resident)
		r.fits.add(load, role, "resident_mb", r.workers, resident)
		if events == 0 {
			r.fits.add(load, role, "cpu_percent", r.workers, 100*rates[i].cpu)
			r.fits.add(load, role, "bytes_per_s", r.workers, rates[i].received+rates[i].written)
			continue
		}
		share := seconds / float64(events)
		r.fits.add(load, role, "cpu_ms_an_event", r.workers, 1000*share*(rates[i].cpu-r.idle[i].cpu))
		r.fits.add(load, role, "bytes_an_event", r.workers,
			share*(rates[i].received+rates[i].written-r.idle[i].received-r.idle[i].written))
	}
	if events == 0 {
		r.idle = rates
	}
}

func (r *capacityRun) role(i int, leader string) string {
	switch {
	case fmt.Sprintf("n%d", i+1) == leader:
		return "leader"
	case i < r.voters:
		return "voter"
	default:
		return "learner"
	}
}

// reportDurations prints the median and the maximum.
func (r *capacityRun) reportDurations(figure string, all []time.Duration) {
	if len(all) == 0 {
		fmt.Printf("workers=%d figure=%s count=0\n", r.workers, figure)
		return
	}
	slices.Sort(all)
	median, worst := all[len(all)/2], all[len(all)-1]
	fmt.Printf("workers=%d figure=%s count=%d median=%s worst=%s\n", r.workers, figure, len(all), median.Round(time.Millisecond), worst.Round(time.Millisecond))
	r.fits.add(figure, "site", "worst_ms", r.workers, float64(worst.Milliseconds()))
}

// capacityFits collects points by load, role and figure.
type capacityFits struct {
	keys   []string
	points map[string]map[int][]float64
}

func (f *capacityFits) add(load, role, figure string, workers int, value float64) {
	key := fmt.Sprintf("load=%q role=%s figure=%s", load, role, figure)
	if f.points == nil {
		f.points = map[string]map[int][]float64{}
	}
	if f.points[key] == nil {
		f.points[key] = map[int][]float64{}
		f.keys = append(f.keys, key)
	}
	f.points[key][workers] = append(f.points[key][workers], value)
}

// print fits value = intercept + slope * workers by least squares to the means of
// the processes of a role at each size, and prints the maximum as well.
func (f *capacityFits) print() {
	for _, key := range f.keys {
		var x, y []float64
		points := ""
		for workers, values := range f.points[key] {
			x, y = append(x, float64(workers)), append(y, mean(values))
		}
		for _, workers := range slices.Sorted(maps.Keys(f.points[key])) {
			values := f.points[key][workers]
			points += fmt.Sprintf(" %d:%.3f(max %.3f)", workers, mean(values), slices.Max(values))
		}
		intercept, slope := leastSquares(x, y)
		fmt.Printf("fit %s intercept=%.3f slope_per_1000_workers=%.3f at_1300=%.3f points%s\n", key, intercept, 1000*slope, intercept+1300*slope, points)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// leastSquares returns the line of best fit; its slope is 0 for a single point.
func leastSquares(x, y []float64) (intercept, slope float64) {
	mx, my := mean(x), mean(y)
	var sxy, sxx float64
	for i := range x {
		sxy += (x[i] - mx) * (y[i] - my)
		sxx += (x[i] - mx) * (x[i] - mx)
	}
	if sxx > 0 {
		slope = sxy / sxx
	}
	return my - slope*mx, slope
}
