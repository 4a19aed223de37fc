package main

import (
	"context"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/demo"
	"github.com/comfreyloom/comfreyloom/internal/telemetry"
)

type demoCommand struct {
	Level string `arg:"--log" default:"error" placeholder:"LEVEL" help:"log level of the entry VMs: debug, info, warn or error"`
}

func (k *demoCommand) run(c console) exitCode {
	logger, err := telemetry.NewLogger(c.err, k.Level, "text")
	if err != nil {
		fmt.Fprintf(c.err, "comfreyloom demo: --log is %q; allowed: debug, info, warn, error\n", k.Level)
		return exitUsage
	}
	if err := demo.Run(context.Background(), c.out, logger); err != nil {
		fmt.Fprintln(c.err, "comfreyloom demo:", err)
		return exitFailed
	}
	return exitDone
}
