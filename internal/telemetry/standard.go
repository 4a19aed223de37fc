package telemetry

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// libraryLineInterval is the minimum time between two lines that are passed on.
const libraryLineInterval = 10 * time.Second

// libraryLogWriter receives what libraries write to the standard logger. A faulty
// peer can make net/http write a line for each of its responses, which would
// fill the disk. So all lines are counted, and few are passed on.
type libraryLogWriter struct {
	logger log.Interface
	lines  metrics.Counter
	now    func() time.Time

	mu         sync.Mutex
	lastPassed time.Time
}

// NewLibraryLogWriter returns a writer for log.SetOutput of the standard library.
// It counts the lines as "log.stray_lines".
func NewLibraryLogWriter(logger log.Interface, registry metrics.Registry) *libraryLogWriter {
	return &libraryLogWriter{logger: logger, lines: metrics.GetOrRegisterCounter("log.stray_lines", registry), now: time.Now}
}

// Write implements io.Writer. It receives one line at a time.
func (s *libraryLogWriter) Write(line []byte) (int, error) {
	s.lines.Inc(1)
	if s.due() {
		s.logger.WithField("lines_so_far", s.lines.Count()).Warn("library: " + strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

func (s *libraryLogWriter) due() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.lastPassed.IsZero() && now.Sub(s.lastPassed) < libraryLineInterval {
		return false
	}
	s.lastPassed = now
	return true
}
