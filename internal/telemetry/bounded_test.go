package telemetry

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
)

// stuckWriter acts like a pipe whose reader has stopped.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that stall when the reader of standard output stops: the
// pipe is full, and every goroutine that logs would block in the write.
func TestStuckReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	stuck := stuckWriter{release: make(chan struct{})}
	b := NewBoundedHandler(stuck, registry)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = b.Run(ctx)
	}()
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range 3 * maxQueuedLines {
		logger.Info("a line of some length that fills what is gathered for one write")
	}
	is.True(b.lost.Count() > 0)
	close(stuck.release)
	cancel()
	<-ended
}

func TestLinesAreWholeAndErrorsAreText(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewBoundedHandler(&out, NewRegistry())
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	logger.WithError(errors.New("no route")).Warn("a call failed")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_ = b.Run(ctx)
	is.True(strings.Contains(out.String(), `"error":"no route"`))
	is.True(strings.HasSuffix(out.String(), "}\n"))
}
