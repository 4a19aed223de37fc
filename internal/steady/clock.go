// Package steady is the clock for leases: monotonic, and it goes on while the
// machine is suspended.
package steady

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux. With a clock that stands still
// while the machine is suspended, a process that slept past its lease would
// wake up and believe that it still holds it.
const clockBoottime = 7

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("steady: clock_gettime: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}
