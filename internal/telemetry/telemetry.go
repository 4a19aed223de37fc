// Package telemetry sets up logs and metrics. Events are counted; a log line is
// written only when a state changes, so that a flood of requests or faults can't
// become a flood of log lines.
package telemetry

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rcrowley/go-metrics"
)

// NewLogger returns a logger that writes to w. The level is debug, info, warn or
// error; the format is json or text.
func NewLogger(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return &log.Logger{Handler: newHandler(w, format), Level: parsed}, nil
}

func newHandler(w io.Writer, format string) log.Handler {
	if format == "text" {
		return text.New(w)
	}
	return json.New(w)
}

// NewRegistry returns an empty metrics registry for one process.
func NewRegistry() metrics.Registry { return metrics.NewRegistry() }
