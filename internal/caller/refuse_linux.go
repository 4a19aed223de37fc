package caller

import (
	"net"
	"syscall"
)

// refuseNew makes a listener drop the first packet of new connections, so
// that those which the kernel has established already can be accepted before
// the listener is closed. Closing it resets whatever still waits in its queue:
// a caller whose request was already on its way would see its connection cut.
func refuseNew(l net.Listener) error {
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
	// The deprecated calls stand in for golang.org/x/net/bpf, which would be a
	// library for four instructions.
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
