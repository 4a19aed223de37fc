package main

import (
	"context"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/telemetry"
	platformdemo "github.com/comfreyloom/comfreyloom/platform/demo"
)

type demoCommand struct {
	Level    string `arg:"--log" default:"error" placeholder:"LEVEL" help:"log level of the entry VMs: debug, info, warn or error"`
	Platform bool   `arg:"--platform" help:"the site whose VMs find each other, with stand-ins of the users' platform"`
}

func (k *demoCommand) run(c console) exitCode {
	logger, err := telemetry.NewLogger(c.err, k.Level, "text")
	if err != nil {
		fmt.Fprintf(c.err, "comfreyloom demo: --log is %q; allowed: debug, info, warn, error\n", k.Level)
		return exitUsage
	}
	run := demo.Run
	if k.Platform {
		run = platformdemo.Run
	}
	if err := run(context.Background(), c.out, logger); err != nil {
		fmt.Fprintln(c.err, "comfreyloom demo:", err)
		return exitFailed
	}
	return exitDone
}
