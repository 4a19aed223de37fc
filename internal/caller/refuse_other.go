//go:build !linux

package caller

import "net"

// dropNewConnections does nothing on systems other than Linux.
func dropNewConnections(net.Listener) error { return nil }
