package main

import (
	"encoding/csv"
	"fmt"
	"strconv"

	"github.com/comfreyloom/comfreyloom/internal/explain"
)

type waitsCommand struct {
	CSV   bool     `arg:"--csv" help:"a row a job instead of the summary"`
	Pools bool     `arg:"--pools" help:"what each pool had, needed and had idle, second by second"`
	Files []string `arg:"positional" help:"logs of processes; standard input without any"`
}

func (k *waitsCommand) run(c console) exitCode {
	lines, skipped, err := readLogs(k.Files)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom waits:", err)
		return exitUsage
	}
	if skipped > 0 {
		fmt.Fprintf(c.err, "comfreyloom waits: %d lines are no log lines\n", skipped)
	}
	waits, samples := explain.Waits(lines)
	switch {
	case k.Pools:
		return k.showPools(c, samples)
	case len(waits) == 0:
		fmt.Fprintln(c.err, "comfreyloom waits: no line tells of a job that was accepted and started; give the logs of entry and core VMs")
		return exitFailed
	case k.CSV:
		return writeWaits(c, waits)
	}
	showWaits(c, waits)
	return exitDone
}

func showWaits(c console, waits []explain.Wait) {
	fmt.Fprintf(c.out, "%-16s %6s %9s %9s   seconds waited, by cause\n", "pool", "jobs", "half", "95 %")
	for _, p := range explain.ByPool(waits) {
		fmt.Fprintf(c.out, "%-16s %6d %9s %9s  ", p.Pool, p.Jobs, p.Median, p.P95)
		for cause, waited := range p.ByCause {
			fmt.Fprintf(c.out, " %s %.1f", explain.Cause(cause), waited.Seconds())
		}
		fmt.Fprintln(c.out)
	}
}

func writeWaits(c console, waits []explain.Wait) exitCode {
	w := csv.NewWriter(c.out)
	header := []string{"job", "pool", "accepted", "waited_ms"}
	for cause := range waits[0].ByCause {
		header = append(header, explain.Cause(cause).String())
	}
	rows := [][]string{header}
	for i := range waits {
		row := []string{waits[i].Job, waits[i].Pool, waits[i].From.Format("15:04:05.000"), strconv.FormatInt(waits[i].Total.Milliseconds(), 10)}
		for _, waited := range waits[i].ByCause {
			row = append(row, strconv.FormatInt(waited.Milliseconds(), 10))
		}
		rows = append(rows, row)
	}
	if err := w.WriteAll(rows); err != nil {
		fmt.Fprintln(c.err, "comfreyloom waits:", err)
		return exitFailed
	}
	return exitDone
}

// showPools prints a line per sample with the cores that each pool has and needs
// and its idle VMs.
func (k *waitsCommand) showPools(c console, samples []explain.BalanceSample) exitCode {
	if len(samples) == 0 {
		fmt.Fprintln(c.err, "comfreyloom waits: no line tells of the balance of pools; give the logs of core VMs")
		return exitFailed
	}
	pools := explain.Pools(samples)
	fmt.Fprintf(c.out, "%-12s %-20s", "time", "leader")
	for _, pool := range pools {
		fmt.Fprintf(c.out, " %18s", pool)
	}
	fmt.Fprintln(c.out)
	for _, sample := range samples {
		fmt.Fprintf(c.out, "%-12s %-20s", sample.Time.Format("15:04:05.000"), sample.Source)
		for _, pool := range pools {
			b := sample.Pools[pool]
			fmt.Fprintf(c.out, " %5.0f/%-5.0f idle %2d", float64(b.Have)/1000, float64(b.Need)/1000, b.IdleVMs)
		}
		fmt.Fprintln(c.out)
	}
	return exitDone
}
