package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// votersKey is the only key of [nodes] that is not a node's name.
const votersKey = "voters"

// maxNodes is the maximum number of VMs that a site may use as entry VMs.
const maxNodes = 18

func readNode(s *inifile.Section) Node {
	return Node{
		Site:       s.String("site", inifile.Required),
		Name:       model.NodeID(s.String("name", inifile.Required)),
		VM:         model.VMID(s.String("vm", inifile.Required)),
		Zone:       model.ZoneID(s.String("availability_zone", inifile.Required)),
		Region:     model.RegionID(s.String("region", inifile.Required)),
		DataFolder: s.String("data_folder", ""),
	}
}

func readListen(s *inifile.Section) Listen {
	return Listen{
		Callers:   s.Address("callers", inifile.Required),
		Upstreams: s.Address("upstreams", inifile.Required),
		Operators: s.Address("operators", inifile.Required),
		Nodes:     s.Address("nodes", inifile.Required),
	}
}

func readPlatform(s *inifile.Section) Platform {
	return Platform{
		Address:   s.Address("address", inifile.Required),
		TokenFile: s.String("token_file", ""),
	}
}

func readSecurity(s *inifile.Section) Security {
	return Security{
		Operators: s.String("operators", ""),
		Nodes:     s.String("nodes", ""),
		Upstreams: s.String("upstreams", ""),
	}
}

func readLog(s *inifile.Section) Log {
	return Log{
		Level:  s.Choice("level", "info", "debug", "info", "warn", "error"),
		Format: s.Choice("format", "json", "json", "text"),
	}
}

func readLimits(s *inifile.Section) Limits {
	return Limits{
		Process:           readProcessLimits(s),
		RequestBody:       s.Bytes("request_body", "16MB", 1e3, 1e9),
		CallerConnections: int(s.Int("caller_connections", "4096", 1, 65536)),
		BalancerDelay:     s.Duration("balancer_delay", "2s", time.Millisecond, time.Minute),
		StopTimeout:       s.Duration("stop_timeout", "60s", time.Second, time.Hour),
		SnapshotEvery:     int(s.Int("snapshot_every", "10000", 100, 1e6)),
		Tick:              s.Duration("tick", "100ms", 5*time.Millisecond, time.Second),
		UpstreamLease:     s.Duration("upstream_lease", "10s", 500*time.Millisecond, time.Minute),
	}
}

func (s *Settings) readNodes(section *inifile.Section) {
	for _, key := range section.Keys() {
		if key == votersKey {
			continue
		}
		s.Nodes = append(s.Nodes, Peer{Name: model.NodeID(key), Address: section.Address(key, inifile.Required)})
	}
	for _, name := range section.List(votersKey, inifile.Required) {
		s.Voters = append(s.Voters, model.NodeID(name))
	}
}

func (s *Settings) check(f *inifile.File) {
	s.checkNodes(f)
	s.checkVoters(f)
	s.checkAddresses(f)
}

func (s *Settings) checkNodes(f *inifile.File) {
	if len(s.Nodes) > maxNodes {
		f.Report("nodes", "", fmt.Sprintf("names %d VMs; at most %d are allowed", len(s.Nodes), maxNodes))
	}
	if address := s.PeerAddress(s.Node.Name); address == "" {
		f.Report("nodes", string(s.Node.Name), "is missing: [node] name must be one of [nodes]")
	} else if address != s.Listen.Nodes {
		f.Report("listen", "nodes", fmt.Sprintf("is %q but [nodes] says %q for this VM; they must be equal", s.Listen.Nodes, address))
	}
	if strings.ContainsAny(string(s.Node.Name), "#/ ") {
		f.Report("node", "name", "must not hold '#', '/' or a space")
	}
}

// checkVoters allows 3 or 5 voters: an even number tolerates no more failures than
// one voter less, and more than five slow down each commit.
func (s *Settings) checkVoters(f *inifile.File) {
	if n := len(s.Voters); n != 3 && n != 5 {
		f.Report("nodes", votersKey, fmt.Sprintf("names %d VMs; allowed: 3 or 5", n))
	}
	seen := map[model.NodeID]bool{}
	for _, name := range s.Voters {
		if seen[name] {
			f.Report("nodes", votersKey, fmt.Sprintf("names %q twice", name))
		}
		seen[name] = true
		if s.PeerAddress(name) == "" {
			f.Report("nodes", votersKey, fmt.Sprintf("names %q, which is not one of [nodes]", name))
		}
	}
	if s.IsVoter() && s.Node.DataFolder == "" {
		f.Report("node", "data_folder", "is missing: a voter needs a folder on a disk")
	}
}

func (s *Settings) checkAddresses(f *inifile.File) {
	seen := map[string]string{}
	listeners := []struct{ key, address string }{
		{"callers", s.Listen.Callers}, {"upstreams", s.Listen.Upstreams},
		{"operators", s.Listen.Operators}, {"nodes", s.Listen.Nodes},
	}
	for _, l := range listeners {
		if other, taken := seen[l.address]; taken && l.address != "" {
			f.Report("listen", l.key, fmt.Sprintf("has the same address as %s; each kind of peer needs its own", other))
		}
		seen[l.address] = l.key
	}
}
