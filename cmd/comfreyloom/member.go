package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/member"
	"github.com/comfreyloom/comfreyloom/internal/settings"
	"github.com/comfreyloom/comfreyloom/internal/telemetry"
	"github.com/comfreyloom/comfreyloom/platform"
)

// environment is the operating system's. Tests replace parts of it.
var environment member.Environment

// serveMember runs one process of a site whose VMs discover each other.
func serveMember(path string, c console) exitCode {
	s, problems, err := settings.LoadMember(path)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitUsage
	}
	if len(problems) > 0 {
		printProblems(c, problems)
		return exitUsage
	}
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitUsage
	}
	tuneMemory(s.Node.Role, s.Limits)
	counters := telemetry.NewRegistry()
	writer := telemetry.NewBoundedHandler(c.out, counters)
	logger := &log.Logger{Handler: writer, Level: level}
	stdlog.SetOutput(telemetry.NewLibraryLogWriter(logger, counters))
	stdlog.SetFlags(0)
	m, err := platform.NewMember(s, environment, logger, counters)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom serve:", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	writeCtx, stopWriting := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = writer.Run(writeCtx) // ends only when the context is cancelled
	}()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go m.WatchSettings(ctx, path, reload)
	err = m.Run(ctx)
	if err != nil {
		logger.WithError(err).Error("ended")
	}
	stopWriting()
	<-written
	if err != nil {
		return exitFailed
	}
	return exitDone
}
