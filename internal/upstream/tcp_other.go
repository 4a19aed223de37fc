//go:build !linux

package upstream

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing on systems without TCP_USER_TIMEOUT. Keepalive
// probes detect dead connections there, but later.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }
