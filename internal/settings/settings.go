// Package settings reads and checks the INI file of one VM: its identity, listen
// addresses, peers and limits. Settings of the whole site are in the manifest
// instead (package manifest).
package settings

import (
	"os"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/samber/oops"
)

// Settings holds the settings of one VM. They are immutable after Load.
type Settings struct {
	Node     Node
	Listen   Listen
	Nodes    []Peer
	Voters   []model.NodeID
	Platform Platform
	Security Security
	Log      Log
	Limits   Limits
}

// Node identifies this VM.
type Node struct {
	// Site must be the same on all VMs and in the manifest.
	Site   string
	Name   model.NodeID
	VM     model.VMID
	Zone   model.ZoneID
	Region model.RegionID
	// DataFolder is the folder of all stored files; empty makes the VM a learner.
	DataFolder string
}

// Listen holds the listen addresses, an IP:port for each kind of peer.
type Listen struct {
	Callers   string
	Upstreams string
	Operators string
	Nodes     string
}

// Peer is another process of comfreyloom.
type Peer struct {
	Name    model.NodeID
	Address string
}

// Platform holds the address of the platform's API.
type Platform struct {
	Address   string
	TokenFile string
}

// Security holds the paths of the token files; an empty path disables
// authentication on that listener.
type Security struct {
	Operators string
	Nodes     string
	Upstreams string
}

// Log holds the log level and format.
type Log struct {
	Level  string
	Format string
}

// Limits holds the limits of one process.
type Limits struct {
	// Process is what the VM grants the process.
	Process ProcessLimits
	// RequestBody bounds a caller's request body, in bytes.
	RequestBody int64
	// CallerConnections bounds the open connections of all callers.
	CallerConnections int
	// BalancerDelay is how long a stopping VM still accepts requests after it
	// became unready, so that the load balancer notices.
	BalancerDelay time.Duration
	// StopTimeout is the timeout of a graceful stop.
	StopTimeout time.Duration
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int
	// Tick is the length of one tick of the control log.
	Tick time.Duration
	// UpstreamLease is how long an announcement is valid without renewal.
	UpstreamLease time.Duration
}

// Load reads and checks a file. A valid file has no problems.
func Load(path string) (*Settings, []inifile.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, oops.In("settings").With("file", path).Wrapf(err, "read settings")
	}
	s, problems := Parse(path, text)
	return s, problems, nil
}

// Parse parses and checks the text of a settings file and returns every problem in
// it.
func Parse(file string, text []byte) (*Settings, []inifile.Problem) {
	f := inifile.Load(file, text)
	s := &Settings{
		Node:     readNode(f.Section("node")),
		Listen:   readListen(f.Section("listen")),
		Platform: readPlatform(f.Section("platform")),
		Security: readSecurity(f.Section("security")),
		Log:      readLog(f.Section("log")),
		Limits:   readLimits(f.Section("limits")),
	}
	s.readNodes(f.Section("nodes"))
	s.check(f)
	return s, f.Problems()
}

// IsVoter reports whether this VM votes in the control log.
func (s *Settings) IsVoter() bool { return s.isVoter(s.Node.Name) }

// PeerAddress returns the address of a VM, empty when it is unknown.
func (s *Settings) PeerAddress(name model.NodeID) string {
	for _, p := range s.Nodes {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

func (s *Settings) isVoter(name model.NodeID) bool {
	for _, v := range s.Voters {
		if v == name {
			return true
		}
	}
	return false
}
