package telemetry

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// strayEvery is the least time between two lines passed on.
const strayEvery = 10 * time.Second

// strayLines takes what libraries write to the standard logger. A faulty peer
// can make net/http write a line for each of its answers, which would fill the
// disk; so every line is counted and few are passed on.
type strayLines struct {
	logger log.Interface
	count  metrics.Counter
	now    func() time.Time

	mu   sync.Mutex
	last time.Time
}

// NewStandardWriter returns a writer for log.SetOutput of the standard library.
// Lines are counted as "log.stray_lines".
func NewStandardWriter(logger log.Interface, registry metrics.Registry) *strayLines {
	return &strayLines{logger: logger, count: metrics.GetOrRegisterCounter("log.stray_lines", registry), now: time.Now}
}

// Write implements io.Writer; it takes one line at a time.
func (s *strayLines) Write(line []byte) (int, error) {
	s.count.Inc(1)
	if s.due() {
		s.logger.WithField("lines_so_far", s.count.Count()).Warn("library: " + strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

func (s *strayLines) due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.last.IsZero() && now.Sub(s.last) < strayEvery {
		return false
	}
	s.last = now
	return true
}
