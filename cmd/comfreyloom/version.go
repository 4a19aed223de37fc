package main

import (
	"fmt"
	"runtime"
)

// version is set at release by the linker (-X main.version=...).
var version = "0.1.0-dev"

type versionCommand struct{}

func (versionCommand) run(c console) exitCode {
	fmt.Fprintf(c.out, "comfreyloom %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return exitDone
}
