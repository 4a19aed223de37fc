package main

import (
	"math"
	"runtime/debug"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// A core VM that is allowed to keep more garbage must still stay below half of its
// VM's memory.
func TestCoreVMStaysBelowHalfOfItsMemory(t *testing.T) {
	is := is.New(t)
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	tuneMemory(settings.RoleCore, settings.ProcessLimits{Memory: 280_000_000})
	is.True(debug.SetMemoryLimit(-1) < 140_000_000)
	tuneMemory(settings.RoleCore, settings.ProcessLimits{})
	var info syscall.Sysinfo_t
	is.NoErr(syscall.Sysinfo(&info))
	set := debug.SetMemoryLimit(-1)
	is.True(set < math.MaxInt64)
	is.True(float64(set) < 0.5*float64(info.Totalram)*float64(info.Unit))
	is.Equal(debug.SetGCPercent(100), collectionPercent)
}
