//go:build !linux

package caller

import "net"

// refuseNew does nothing where a listener can't be told to finish its queue.
func refuseNew(net.Listener) error { return nil }
