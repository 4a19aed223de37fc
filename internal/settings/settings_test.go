package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `
[node]
site = port-klang
name = a
vm = vm-a
availability_zone = z1
region = kl
data_folder = data
[listen]
callers = 127.0.0.1:1
upstreams = 127.0.0.1:2
operators = 127.0.0.1:3
nodes = 127.0.0.1:4
[nodes]
a = 127.0.0.1:4
b = 127.0.0.2:4
c = 127.0.0.3:4
voters = a, b, c
[platform]
address = 127.0.0.1:9
`

func TestParseValid(t *testing.T) {
	is := is.New(t)
	s, problems := Parse("x.ini", []byte(validSettings))
	is.Equal(len(problems), 0)
	is.True(s.IsVoter())
	is.Equal(s.PeerAddress("b"), "127.0.0.2:4")
	is.Equal(s.Limits.BalancerDelay, 2*time.Second)
}

// TestParseRefuses makes one mistake in the valid file and expects a problem that
// names section, key and the allowed values.
func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "vm = vm-a", "vm = vm-a\nvmm = 1", "x.ini: [node] vmm: is not a known key"},
		{"unknown section", "[platform]", "[other]\n[platform]", "x.ini: [other] is not a known section"},
		{"doubled key", "vm = vm-a", "vm = vm-a\nvm = vm-b", "[node] vm: appears twice"},
		{"doubled section", "[platform]", "[node]\nname = b\n[platform]", "[node] appears twice"},
		{"host name", "callers = 127.0.0.1:1", "callers = localhost:1", "[listen] callers: is \"localhost:1\"; allowed: IP:port"},
		{"same address", "callers = 127.0.0.1:1", "callers = 127.0.0.1:2", "has the same address as callers"},
		{"missing unit", "[platform]", "[limits]\nstop_timeout = 30\n[platform]", "[limits] stop_timeout: is \"30\"; allowed: a duration with its unit"},
		{"zero without unit", "[platform]", "[limits]\nbalancer_delay = 0\n[platform]", "[limits] balancer_delay"},
		{"size without unit", "[platform]", "[limits]\nrequest_body = 1000\n[platform]", "allowed: a size with its unit"},
		{"two voters", "voters = a, b, c", "voters = a, b", "names 2 VMs; allowed: 3 or 5"},
		{"doubled voter", "voters = a, b, c", "voters = a, b, b", "names \"b\" twice"},
		{"voter unknown", "voters = a, b, c", "voters = a, b, d", "names \"d\", which is not one of [nodes]"},
		{"voter without folder", "data_folder = data", "", "[node] data_folder: is missing"},
		{"not one of the nodes", "name = a", "name = z", "[nodes] z: is missing"},
		{"key before sections", "\n[node]", "stray = 1\n[node]", "stray: stands before the first section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.old))
			_, problems := Parse("x.ini", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var all []string
			for _, p := range problems {
				all = append(all, p.String())
			}
			is.True(strings.Contains(strings.Join(all, "\n"), c.want)) // the message names the mistake
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := Parse("x.ini", text)
		if len(problems) == 0 && s.PeerAddress(s.Node.Name) != s.Listen.Nodes {
			t.Fatal("accepted settings in which [listen] nodes differs from the address in [nodes]")
		}
	})
}
