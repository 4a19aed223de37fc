package settings

import (
	"math"
	"syscall"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
)

// ProcessLimits holds what the VM grants one process.
type ProcessLimits struct {
	// Memory is the memory of the process in bytes; 0 means that of the VM.
	Memory int64
	// Descriptors is how many file descriptors the process may have open; 0 means
	// the limit that the operating system sets.
	Descriptors int
}

// Bounds of the settings.
const (
	minMemory      = 1_000_000
	maxMemory      = 1_000_000_000_000
	minDescriptors = 64
	maxDescriptors = 100_000_000
)

const (
	// defaultMemory is assumed if neither the settings nor the operating system tell
	// how much memory there is, in bytes; defaultDescriptors likewise.
	defaultMemory      = 256_000_000
	defaultDescriptors = 4096
	// reservedDescriptors are for files and for the runtime.
	reservedDescriptors = 200
)

// readProcessLimits reads what the VM grants. Both keys may be missing.
func readProcessLimits(s *inifile.Section) ProcessLimits {
	var l ProcessLimits
	if s.String("memory", "") != "" {
		l.Memory = s.Bytes("memory", "", minMemory, maxMemory)
	}
	if s.String("descriptors", "") != "" {
		l.Descriptors = int(s.Int("descriptors", "", minDescriptors, maxDescriptors))
	}
	return l
}

// Share returns a share of the memory, in bytes, and of the descriptors that are free
// for connections.
func (l ProcessLimits) Share(memory, descriptors float64) (bytes int64, connections int) {
	free := max(l.descriptors()-reservedDescriptors, l.descriptors()/2)
	return int64(memory * float64(l.MemoryBytes())), int(descriptors * float64(free))
}

// MemoryBytes returns the memory that the process may use: that of the settings, else
// that of the VM.
func (l ProcessLimits) MemoryBytes() int64 {
	if l.Memory > 0 {
		return l.Memory
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func (l ProcessLimits) descriptors() int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
