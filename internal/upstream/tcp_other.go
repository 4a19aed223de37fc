//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where TCP_USER_TIMEOUT does not exist; keepalive
// probes then find dead connections, later.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
