package main

import (
	"fmt"
)

type demoCommand struct{}

func (k *demoCommand) run(c console) exitCode {
	fmt.Fprintln(c.err, "comfreyloom demo: in work")
	return exitFailed
}
