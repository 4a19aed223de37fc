// Package steady provides the clock for leases: it is monotonic and continues
// while the machine is suspended.
package steady

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux. With a clock that stops while the
// machine is suspended, a process that was suspended beyond the end of its
// lease would resume in the belief that it still holds the lease.
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
