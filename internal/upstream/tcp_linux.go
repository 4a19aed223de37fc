package upstream

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), in
// milliseconds; the syscall package has no constant for it.
const tcpUserTimeout = 0x12

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. Without
// it the kernel retransmits for many minutes before it reports an error, for
// example when a firewall on the path has lost the state of the connection.
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
