package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const coreSettings = `[node]
name = core-1
role = core
ip = 10.1.0.9
availability_zone = a
data_folder = /data/core
may_found = true
[listen]
operators = 10.1.0.9:8623
nodes = 10.1.0.9:7060
[seeds]
addresses = 10.1.0.9:8623,10.2.0.9:8623,10.3.0.9
[bounds]
worker_lease_max = 6000ms
worker_stop_within = 400ms
lost_disks = 2
[fleet]
address = 10.200.0.1:80
orders_per_second = 64.0
[limits]
memory = 280MB
descriptors = 4096
`

func TestMemberSettings(t *testing.T) {
	is := is.New(t)
	is.True(IsMember([]byte(coreSettings)))
	m, problems := ParseMember("core.ini", []byte(coreSettings))
	is.Equal(len(problems), 0)
	is.Equal(m.Node.Role, RoleCore)
	is.True(m.Node.MayFound)
	is.Equal(m.Seeds, []string{"10.1.0.9", "10.2.0.9", "10.3.0.9"})
	is.Equal(string(m.NodeID("10.2.0.9")), "10.2.0.9:7060")
	is.Equal(m.Bounds.LeaseMax, 6*time.Second)
	is.Equal(m.Bounds.WorkerStopTime, 400*time.Millisecond)
	is.Equal(m.FleetRate, 64.0)
	is.Equal(m.Bounds.LostDisks, 2)
	is.Equal(m.Limits, ProcessLimits{Memory: 280_000_000, Descriptors: 4096})
	without, _ := ParseMember("core.ini", []byte(strings.Replace(coreSettings, "lost_disks = 2\n", "", 1)))
	is.Equal(without.Bounds.LostDisks, 0) // the seeds alone found the site, as before there was the key
	unlimited, problems := ParseMember("core.ini", []byte(strings.NewReplacer("memory = 280MB\n", "", "descriptors = 4096\n", "").Replace(coreSettings)))
	is.Equal(len(problems), 0)
	is.Equal(unlimited.Limits, ProcessLimits{})
}

func TestMemberProblemsNameTheKey(t *testing.T) {
	for name, c := range map[string]struct{ from, to, key string }{
		"no disk":      {"data_folder = /data/core\n", "", "data_folder"},
		"no operators": {"operators = 10.1.0.9:8623\n", "", "operators"},
		"bad seed":     {",10.3.0.9", ",somewhere", "addresses"},
		"bad role":     {"role = core", "role = other", "role"},
		"unknown key":  {"ip = 10.1.0.9", "ip = 10.1.0.9\nspeed = 3", "speed"},
		"no unit":      {"6000ms", "6000", "worker_lease_max"},
		"memory":       {"280MB", "280", "memory"},
		"descriptors":  {"descriptors = 4096", "descriptors = few", "descriptors"},
		"too many":     {"lost_disks = 2", "lost_disks = 9", "lost_disks"},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := ParseMember("core.ini", []byte(strings.Replace(coreSettings, c.from, c.to, 1)))
			found := false
			for _, p := range problems {
				found = found || p.Key == c.key
			}
			if !found {
				t.Errorf("no problem names %s: %v", c.key, problems)
			}
		})
	}
	is.New(t).True(!IsMember([]byte("[node]\nname = x\n")))
}
