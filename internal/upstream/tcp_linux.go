package upstream

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), in
// milliseconds; the syscall package does not name it.
const tcpUserTimeout = 0x12

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. Without
// it a connection whose path lost track of it retries for many minutes before
// the kernel reports an error.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
