package member

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/workload"
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

// jobMemory is the share of a core VM's memory that jobs may take. A snapshot of them
// takes as much again while it is made, and twice that on the disk.
const jobMemory = 0.08

// room returns the memory that the jobs of the site may take.
func (m *Member) room() workload.Room {
	bytes, _ := m.Settings.Limits.Share(jobMemory, 0)
	return workload.Room(bytes)
}

// newGate returns the gate of a listener.
func (m *Member) newGate(kind socketKind) *intake.Gate {
	c := intake.Config{Name: kind.name, Logger: m.Logger, Metrics: m.Metrics}
	c.Memory, c.Connections = m.Settings.Limits.Share(kind.memory, kind.descriptors)
	if kind == callersSocket {
		c.Limits = m.callerLimits
	}
	return intake.New(c)
}

// newNodeIntake returns the bounds of the listener for the site's other processes.
func (m *Member) newNodeIntake() *node.Intake {
	memory, connections := m.Settings.Limits.Share(nodesSocket.memory, nodesSocket.descriptors)
	return node.NewIntake(memory, connections, m.Logger, m.Metrics)
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
