package replica

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux: monotonic, and it goes on while
// the machine is suspended. With a clock that stands still meanwhile a leader
// that slept past its lease would wake up and believe that it still holds it.
const clockBoottime = 7

// systemClock returns the time since the machine was booted.
func systemClock() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("replica: clock_gettime: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}
