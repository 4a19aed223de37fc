package caller

import (
	"net"
	"syscall"
)

// dropNewConnections makes a listener drop the first packet of new connections,
// so that connections which the kernel has already established can be accepted
// before the listener is closed. Closing it resets whatever is still in its
// accept queue: the connection of a caller who has already sent a request would
// be cut.
func dropNewConnections(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	const (
		flagsOffset = 13 // of the TCP header
		flagSYN     = 0x02
		keepAll     = 0xffff
	)
	// The deprecated calls avoid a dependency on golang.org/x/net/bpf for four
	// instructions.
	filter := []syscall.SockFilter{
		*syscall.LsfStmt(syscall.BPF_LD|syscall.BPF_B|syscall.BPF_ABS, flagsOffset),     //lint:ignore SA1019 as above
		*syscall.LsfJump(syscall.BPF_JMP|syscall.BPF_JSET|syscall.BPF_K, flagSYN, 0, 1), //lint:ignore SA1019 as above
		*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, 0),                              //lint:ignore SA1019 as above
		*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, keepAll),                        //lint:ignore SA1019 as above
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.AttachLsf(int(fd), filter) //lint:ignore SA1019 as above
	})
	if err != nil {
		return err
	}
	return failed
}
