package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Role is the role of a process on a site whose VMs discover each other.
type Role string

// The roles.
const (
	// RoleEntry serves callers and holds no state.
	RoleEntry Role = "entry"
	// RoleCore stores the control log and serves operators and workers.
	RoleCore Role = "core"
)

// Member holds the settings of a process on a site whose VMs discover each other:
// they list seeds instead of all VMs. They are immutable after LoadMember.
type Member struct {
	Node   MemberNode
	Listen MemberListen
	// Seeds are the IPs of core VMs at the time when the file was written.
	Seeds  []string
	Bounds MemberBounds
	// Fleet and Advisor are the IP:port of external services, empty for none.
	Fleet, Advisor string
	// FleetRate is the number of orders per second that the fleet service accepts
	// from the whole site.
	FleetRate float64
	// WorkersPerRelay is how many workers one core VM calls for the leader; a site
	// with fewer workers has no such VM.
	WorkersPerRelay int
	// Limits is what the VM grants the process.
	Limits ProcessLimits
	Log    Log
}

// MemberNode identifies this process.
type MemberNode struct {
	Name model.NodeID
	Role Role
	IP   string
	Zone model.ZoneID
	// DataFolder is the folder of all stored files; empty on an entry VM.
	DataFolder string
	// MayFound is set when the whole site starts for the first time.
	MayFound bool
}

// MemberListen holds the listen addresses, an IP:port for each kind of peer.
type MemberListen struct {
	Callers, Readiness string
	Operators          string
	// Nodes is the address for calls between the site's own processes; its port is
	// the same on all VMs. Metrics is the address that serves counters.
	Nodes, Metrics string
}

// maxLostDisks bounds the setting lost_disks, which takes twice as many voters and
// one more.
const maxLostDisks = 8

// maxWorkersPerRelay bounds the setting workers_per_vm; at the bound no site has
// relays.
const maxWorkersPerRelay = 1_000_000

// MemberBounds holds times and numbers that the site or its environment guarantees.
type MemberBounds struct {
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// WorkerStopTime is the longest time that a worker takes to stop a run.
	WorkerStopTime time.Duration
	// FleetTakeOver is the time within which orders for one VM of the platform must
	// not alternate between two VMs of the site.
	FleetTakeOver time.Duration
	// LostDisks is how many core VMs may lose their disks at once.
	LostDisks int
	// StopTimeout is the time from a request to stop until the process is killed.
	StopTimeout time.Duration
}

// IsMember reports whether a settings file is for a process with a role.
func IsMember(text []byte) bool {
	f := inifile.Load("settings", text)
	return f.Has("node") && f.Section("node").Has("role")
}

// LoadMember reads and checks a file. A valid file has no problems.
func LoadMember(path string) (*Member, []inifile.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, oops.In("settings").With("file", path).Wrapf(err, "read settings")
	}
	m, problems := ParseMember(path, text)
	return m, problems, nil
}

// ParseMember parses and checks the text of a settings file and returns every
// problem in it.
func ParseMember(file string, text []byte) (*Member, []inifile.Problem) {
	f := inifile.Load(file, text)
	node, listen, bounds := f.Section("node"), f.Section("listen"), f.Section("bounds")
	m := &Member{
		Node: MemberNode{
			Name: model.NodeID(node.String("name", inifile.Required)),
			Role: Role(node.Choice("role", "", string(RoleEntry), string(RoleCore))),
			IP:   node.String("ip", inifile.Required), Zone: model.ZoneID(node.String("availability_zone", inifile.Required)),
			DataFolder: node.String("data_folder", ""),
			MayFound:   node.Choice("may_found", "false", "true", "false") == "true",
		},
		Listen: MemberListen{
			Callers: listen.Address("callers", ""), Readiness: listen.Address("readiness", ""),
			Operators: listen.Address("operators", ""), Nodes: listen.Address("nodes", inifile.Required),
			Metrics: listen.Address("metrics", ""),
		},
		Bounds: MemberBounds{
			LeaseMax:       bounds.Duration("worker_lease_max", "6s", time.Second, time.Minute),
			WorkerStopTime: bounds.Duration("worker_stop_within", "500ms", 0, time.Minute),
			FleetTakeOver:  bounds.Duration("fleet_take_over", "3s", 0, time.Minute),
			LostDisks:      int(bounds.Int("lost_disks", "0", 0, maxLostDisks)),
			StopTimeout:    bounds.Duration("stop_within", "6s", time.Second, time.Minute),
		},
		Fleet:     f.Section("fleet").Address("address", ""),
		FleetRate: f.Section("fleet").Float("orders_per_second", "20", 0.1, 10_000),
		Advisor:   f.Section("advisor").Address("address", ""),
		// A leader with fewer workers has the processor to call them itself.
		WorkersPerRelay: int(f.Section("relays").Int("workers_per_vm", "70", 1, maxWorkersPerRelay)),
		Limits:          readProcessLimits(f.Section("limits")),
		Log:             readLog(f.Section("log")),
	}
	m.readSeeds(f.Section("seeds"))
	m.check(f)
	return m, f.Problems()
}

// readSeeds accepts IPs and IP:port; only the IP identifies the VM.
func (m *Member) readSeeds(s *inifile.Section) {
	for _, seed := range s.List("addresses", "") {
		host, _, err := net.SplitHostPort(strings.TrimSpace(seed))
		if err != nil {
			host = strings.TrimSpace(seed)
		}
		if net.ParseIP(host) == nil {
			s.Report("addresses", fmt.Sprintf("%q is not an IP or IP:port", seed))
			continue
		}
		m.Seeds = append(m.Seeds, host)
	}
}

func (m *Member) check(f *inifile.File) {
	switch m.Node.Role {
	case RoleCore:
		if m.Node.DataFolder == "" {
			f.Report("node", "data_folder", "is missing: a core VM needs a folder on a disk")
		}
		if m.Listen.Operators == "" {
			f.Report("listen", "operators", "is missing: a core VM answers operators")
		}
	case RoleEntry:
		if m.Listen.Callers == "" || m.Listen.Readiness == "" {
			f.Report("listen", "callers", "callers and readiness are needed on an entry VM")
		}
	}
}

// NodeID returns the ID of the process on the VM with the given IP: the address of
// its listener for nodes.
func (m *Member) NodeID(ip string) model.NodeID {
	return model.NodeID(net.JoinHostPort(ip, strconv.Itoa(m.nodesPort())))
}

func (m *Member) nodesPort() int {
	_, port, err := net.SplitHostPort(m.Listen.Nodes)
	if err != nil {
		return 0
	}
	n, _ := strconv.Atoi(port) // checked when the settings were read
	return n
}
