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
	// lineRing bounds the lines that wait for the writer.
	lineRing = 4096
	// lossEvery is the least time between two lines that tell of lost ones.
	lossEvery = time.Second
)

// Bounded is a log handler that never makes its callers wait: lines go through
// a bounded ring to one writer. What does not fit is counted as
// "log.lost_lines", and a line tells of it. Without it a reader of the log
// that stops would stop every request.
type Bounded struct {
	lines *ring.Ring[*log.Entry]
	lost  metrics.Counter
	told  int64
	out   *bufio.Writer
}

// flushBytes is how much is gathered for one write while lines go on coming: what
// a pipe takes in one piece.
const flushBytes = 4 << 10

// NewBounded returns a handler that writes JSON lines to out.
func NewBounded(out io.Writer, r metrics.Registry) *Bounded {
	return &Bounded{lines: ring.New[*log.Entry](lineRing), lost: metrics.GetOrRegisterCounter("log.lost_lines", r), out: bufio.NewWriterSize(out, flushBytes)}
}

// HandleLog implements log.Handler.
func (b *Bounded) HandleLog(e *log.Entry) error {
	if b.lines.TryPut(e) != nil {
		b.lost.Inc(1)
	}
	return nil
}

// Run writes lines until ctx ends, then those that still wait.
func (b *Bounded) Run(ctx context.Context) error {
	ticker := time.NewTicker(lossEvery)
	defer ticker.Stop()
	for {
		e, err := b.lines.Get(ctx)
		if err != nil {
			break
		}
		b.write(e)
		if b.lines.Len() == 0 {
			_ = b.out.Flush() // nobody is left to tell when standard output is gone
		}
		select {
		case <-ticker.C:
			b.tellLoss()
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

// line is how an entry is written.
type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func (b *Bounded) write(e *log.Entry) {
	for name, value := range e.Fields {
		if err, ok := value.(error); ok {
			e.Fields[name] = err.Error()
		}
	}
	text, err := json.Marshal(line{Time: e.Timestamp.Format(timeFormat), Level: e.Level.String(), Message: e.Message, Fields: e.Fields})
	if err != nil {
		b.lost.Inc(1)
		return
	}
	if b.out.Available() <= len(text) {
		_ = b.out.Flush() // a line never spans two writes, so that readers get whole ones
	}
	_, _ = b.out.Write(append(text, '\n')) // as above
}

func (b *Bounded) tellLoss() {
	lost := b.lost.Count()
	if lost == b.told {
		return
	}
	entry := log.NewEntry(&log.Logger{Handler: b, Level: log.InfoLevel})
	entry.Timestamp, entry.Level, entry.Message = time.Now(), log.WarnLevel, "log lines were left out"
	entry.Fields = log.Fields{"lines": lost - b.told}
	b.told = lost
	b.write(entry)
}
