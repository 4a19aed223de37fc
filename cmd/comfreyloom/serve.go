package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/comfreyloom/comfreyloom/internal/agent"
	"github.com/comfreyloom/comfreyloom/internal/settings"
	"github.com/comfreyloom/comfreyloom/internal/telemetry"
	"github.com/comfreyloom/comfreyloom/platform"
)

type serveCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings of this VM; where it is left out, a variable of the environment names the file, see deploy"`
}

// run serves until SIGTERM or SIGINT, then shuts down gracefully. A second
// signal terminates the process immediately.
func (k *serveCommand) run(c console) exitCode {
	if k.Settings == "" {
		k.Settings = os.Getenv(platform.SettingsVariable)
	}
	if text, err := os.ReadFile(k.Settings); err == nil && settings.IsMember(text) {
		return serveMember(k.Settings, c)
	}
	s, problems, err := settings.Load(k.Settings)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitUsage
	}
	if len(problems) > 0 {
		printProblems(c, problems)
		return exitUsage
	}
	logger, err := telemetry.NewLogger(c.err, s.Log.Level, s.Log.Format)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitUsage
	}
	counters := telemetry.NewRegistry()
	stdlog.SetOutput(telemetry.NewLibraryLogWriter(logger, counters))
	stdlog.SetFlags(0)
	a, err := agent.New(s, agent.Options{Logger: logger, Metrics: counters})
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	if err := a.Run(ctx); err != nil {
		logger.WithError(err).Error("ended")
		return exitFailed
	}
	return exitDone
}
