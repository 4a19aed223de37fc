//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing where TCP_USER_TIMEOUT does not exist; keepalive
// probes then find dead connections, later.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }
