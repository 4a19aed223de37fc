package member

import (
	"math"
	"syscall"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// socketKind is a kind of listener of a process.
type socketKind struct {
	name string
	// memory and descriptors are the share of the process's that the connections may
	// hold. The rest is for the process itself, for garbage, and for its own calls.
	memory, descriptors float64
}

var (
	callersSocket   = socketKind{name: "callers", memory: 0.25, descriptors: 0.5}
	operatorsSocket = socketKind{name: "operators", memory: 0.25, descriptors: 0.375}
	readinessSocket = socketKind{name: "readiness", memory: 0.02, descriptors: 0.0625}
	metricsSocket   = socketKind{name: "metrics", memory: 0.02, descriptors: 0.0625}
	nodesSocket     = socketKind{name: "nodes", memory: 0.15, descriptors: 0.125}
)

const (
	// defaultMemory is assumed if neither the settings nor the operating system tell
	// how much memory there is, in bytes; defaultDescriptors likewise.
	defaultMemory      = 256_000_000
	defaultDescriptors = 4096
	// reservedDescriptors are for files and for the runtime.
	reservedDescriptors = 200
)

// newGate returns the gate of a listener.
func (m *Member) newGate(kind socketKind) *intake.Gate {
	c := intake.Config{
		Name: kind.name, Logger: m.Logger, Metrics: m.Metrics,
	}
	c.Memory, c.Connections = kind.shares(m.Settings.Limits)
	if kind == callersSocket {
		c.Limits = m.callerLimits
	}
	return intake.New(c)
}

// newNodeIntake returns the bounds of the listener for the site's other processes.
func (m *Member) newNodeIntake() *node.Intake {
	memory, connections := nodesSocket.shares(m.Settings.Limits)
	return node.NewIntake(memory, connections, m.Logger, m.Metrics)
}

// shares returns the memory in bytes and the connections of a listener.
func (k socketKind) shares(l settings.MemberLimits) (memory int64, connections int) {
	return int64(k.memory * float64(Memory(l))), int(k.descriptors * float64(descriptors(l)-reservedDescriptors))
}

// callerLimits returns the limits of the configuration.
func (m *Member) callerLimits() intake.Limits {
	l, _ := m.HelloClient.Limits() // none while no configuration is known
	return intake.Limits{
		HeaderBytes:   l.HeaderBytes,
		HeaderTimeout: time.Duration(l.HeaderTimeoutMS) * time.Millisecond,
		IdleTimeout:   time.Duration(l.IdleTimeoutMS) * time.Millisecond,
	}
}

// Memory returns the memory that the process may use, in bytes: that of the settings,
// else that of the VM.
func Memory(l settings.MemberLimits) int64 {
	if l.Memory > 0 {
		return l.Memory
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// descriptors returns how many descriptors the process may have open, twice those that
// are reserved at least.
func descriptors(l settings.MemberLimits) int {
	n := l.Descriptors
	if n == 0 {
		n = descriptorLimit()
	}
	return max(n, 2*reservedDescriptors)
}

func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
