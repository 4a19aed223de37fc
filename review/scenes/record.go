package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the written account of a case: one line for each event, with the time since
// the case began.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.began) }

// note writes one line, to standard output as well.
func (r *record) note(format string, values ...any) { r.write(true, format, values...) }

// detail writes one line to the record only.
func (r *record) detail(format string, values ...any) { r.write(false, format, values...) }

func (r *record) write(echo bool, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.out, line) // a record that can't be written shows in its length
	if echo {
		_, _ = io.WriteString(os.Stdout, line)
	}
}
