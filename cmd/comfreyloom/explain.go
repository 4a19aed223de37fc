package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/explain"
)

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"a job, task or worker as the log names it"`
	Files []string `arg:"positional" help:"logs of processes; standard input without any"`
}

func (k *explainCommand) run(c console) exitCode {
	lines, skipped, err := readLogs(k.Files)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom explain:", err)
		return exitUsage
	}
	entries := explain.Timeline(lines, k.ID)
	if skipped > 0 {
		fmt.Fprintf(c.err, "comfreyloom explain: %d lines are no log lines\n", skipped)
	}
	if len(entries) == 0 {
		fmt.Fprintf(c.err, "comfreyloom explain: no line names %s\n", k.ID)
		return exitFailed
	}
	first := entries[0].Time
	for i := range entries {
		if !entries[i].Context {
			first = entries[i].Time
			break
		}
	}
	for i := range entries {
		e := &entries[i]
		mark := " "
		if e.Context {
			mark = "|"
		}
		fmt.Fprintf(c.out, "%s %+9.3fs %s %-20s %s\n", e.Time.Format("15:04:05.000"), e.Time.Sub(first).Seconds(), mark, e.Source, e.Description)
	}
	return exitDone
}

// readLogs reads the logs of several processes, or one from standard input.
func readLogs(files []string) (all []explain.Line, skipped int, err error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin, "-")
	}
	for _, name := range files {
		lines, n, err := readLog(name)
		if err != nil {
			return nil, 0, err
		}
		all, skipped = append(all, lines...), skipped+n
	}
	return all, skipped, nil
}

func readLog(name string) ([]explain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return explain.Read(io.Reader(file), source)
}
