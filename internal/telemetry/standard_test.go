package telemetry

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// Guards against a log that fills the disk: an upstream sends unsolicited
// responses, and net/http writes a log line for each of them.
func TestLibraryLinesAreCountedAndLimited(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	registry := NewRegistry()
	w := NewLibraryLogWriter(&log.Logger{Handler: handler, Level: log.InfoLevel}, registry)
	now := time.Unix(1000, 0)
	w.now = func() time.Time { return now }
	for range 1000 {
		_, err := w.Write([]byte("Unsolicited response received\n"))
		is.NoErr(err)
	}
	is.Equal(len(handler.Entries), 1)
	is.Equal(w.lines.Count(), int64(1000))
	now = now.Add(libraryLineInterval)
	_, _ = w.Write([]byte("again\n"))
	is.Equal(len(handler.Entries), 2)
}
