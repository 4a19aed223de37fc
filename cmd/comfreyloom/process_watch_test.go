package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// resetPeak is what the kernel reads as an order to reset the peak of a process's memory.
const resetPeak = "5"

// processWatch follows the descriptors of a process.
type processWatch struct {
	pid         int
	stop, ended chan struct{}
	most        int
	err         error
}

func (s *memberSite) watchProcess(name string) *processWatch {
	w := &processWatch{pid: s.processes[name].Process.Pid, stop: make(chan struct{}), ended: make(chan struct{})}
	s.must(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", w.pid), []byte(resetPeak), 0o200))
	go w.run()
	return w
}

func (w *processWatch) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
		names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
		if err != nil {
			w.err = err
			return
		}
		w.most = max(w.most, len(names))
	}
}

// end returns the peak of the process's memory in bytes and the most descriptors that
// were open, or an error if the process has ended.
func (w *processWatch) end() (peak int64, descriptors int, err error) {
	close(w.stop)
	<-w.ended
	if w.err != nil {
		return 0, 0, w.err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kilobytes << 10, w.most, err
		}
	}
	return 0, 0, fmt.Errorf("process %d names no peak of its memory; it has ended", w.pid)
}
