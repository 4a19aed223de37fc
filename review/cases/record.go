package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the time since
// the case began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	text  *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, text: bufio.NewWriter(f), began: time.Now()}, nil
}

// now returns the time since the case began.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write shows at close.
	_, _ = fmt.Fprintf(r.text, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.text.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
