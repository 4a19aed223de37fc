package telemetry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/ring"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 4096
	// lostReportInterval is the minimum time between two reports of lost lines.
	lostReportInterval = time.Second
)

// BoundedHandler is a log handler that never blocks its callers: lines go through a
// bounded ring to a single writer. Lines that don't fit are dropped, counted as
// "log.lost_lines" and reported by a log line. With a blocking handler, a reader
// of the log that stops reading would stop every request.
type BoundedHandler struct {
	lines    *ring.Ring[*log.Entry]
	lost     metrics.Counter
	reported int64
	out      *bufio.Writer
}

// flushBytes is how many bytes are collected for one write while lines keep
// arriving: as many as a pipe accepts atomically.
const flushBytes = 4 << 10

// NewBoundedHandler returns a handler that writes JSON lines to out.
func NewBoundedHandler(out io.Writer, r metrics.Registry) *BoundedHandler {
	return &BoundedHandler{lines: ring.New[*log.Entry](maxQueuedLines), lost: metrics.GetOrRegisterCounter("log.lost_lines", r), out: bufio.NewWriterSize(out, flushBytes)}
}

// HandleLog implements log.Handler.
func (b *BoundedHandler) HandleLog(e *log.Entry) error {
	if b.lines.TryPut(e) != nil {
		b.lost.Inc(1)
	}
	return nil
}

// Run writes lines until ctx ends, then those that are still queued.
func (b *BoundedHandler) Run(ctx context.Context) error {
	ticker := time.NewTicker(lostReportInterval)
	defer ticker.Stop()
	for {
		e, err := b.lines.Get(ctx)
		if err != nil {
			break
		}
		b.write(e)
		if b.lines.Len() == 0 {
			_ = b.out.Flush() // an error of standard output can't be reported anywhere
		}
		select {
		case <-ticker.C:
			b.reportLost()
		default:
		}
	}
	for {
		e, ok := b.lines.TryGet()
		if !ok {
			_ = b.out.Flush()
			return ctx.Err()
		}
		b.write(e)
	}
}

// logLine is the JSON form of an entry.
type logLine struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func (b *BoundedHandler) write(e *log.Entry) {
	for name, value := range e.Fields {
		if err, ok := value.(error); ok {
			e.Fields[name] = err.Error()
		}
	}
	text, err := json.Marshal(logLine{Time: e.Timestamp.Format(timeFormat), Level: e.Level.String(), Message: e.Message, Fields: e.Fields})
	if err != nil {
		b.lost.Inc(1)
		return
	}
	if b.out.Available() <= len(text) {
		_ = b.out.Flush() // a line is never split over two writes, so that readers get whole lines
	}
	_, _ = b.out.Write(append(text, '\n')) // errors are ignored as in Run
}

func (b *BoundedHandler) reportLost() {
	lost := b.lost.Count()
	if lost == b.reported {
		return
	}
	entry := log.NewEntry(&log.Logger{Handler: b, Level: log.InfoLevel})
	entry.Timestamp, entry.Level, entry.Message = time.Now(), log.WarnLevel, "log lines were left out"
	entry.Fields = log.Fields{"lines": lost - b.reported}
	b.reported = lost
	b.write(entry)
}
