package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the scripts run the product and the stand-ins around it as
// separate processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"comfreyloom": mainInTest,
		"attempt":     attemptMain,
		"platform":    platformMain,
		"upstream":    upstreamMain,
		"relay":       relayMain,
		"load":        loadMain,
		"watch":       watchMain,
		"revise":      reviseMain,
		"worker":      workerMain,
	})
}

func TestScript(t *testing.T) {
	deadline, _ := t.Deadline()
	testscript.Run(t, testscript.Params{
		Dir:      "testdata/script",
		Deadline: deadline,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"site":     writeSite,
			"request":  request,
			"signal":   sendSignal,
			"edit":     editFile,
			"exits":    exits,
			"leader":   awaitLeader,
			"converge": converge,
			"race":     raceOperators,
		},
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			reportRaces(env)
			return err
		},
	})
}

// reportRaces fails a script when the race detector reported a data race in one
// of its processes; nothing else reads their reports.
func reportRaces(env *testscript.Env) {
	path := filepath.Join(env.WorkDir, "race")
	env.Setenv("GORACE", "log_path="+path)
	t := env.T()
	env.Defer(func() {
		reports, _ := filepath.Glob(path + ".*")
		for _, name := range reports {
			text, _ := os.ReadFile(name)
			t.Fatal(string(text))
		}
	})
}

// processSlots bounds the number of comfreyloom processes of all scripts
// together, so that a small machine runs fewer scripts at once.
var processSlots = make(chan struct{}, 24)

// writeSite implements "site [-relay] NODES [SITE-NAME]". It writes the settings
// n1.ini, n2.ini … of a site on loopback, whose first three nodes are voters, and
// its manifest site.ini. It sets NETWORK, the first three numbers of all
// addresses, PLATFORM, RELAY and, for each node, CALLERS1, UPSTREAMS1 and
// OPERATORS1. With -relay the nodes reach each other through a relay, whose links
// are in the file "links".
func writeSite(ts *testscript.TestScript, neg bool, args []string) {
	relayed := len(args) > 0 && args[0] == "-relay"
	if relayed {
		args = args[1:]
	}
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: site [-relay] NODES [SITE-NAME]")
	}
	s := testSite{name: "port-klang", network: ownNetwork(ts)}
	if len(args) == 2 {
		s.name = args[1]
	}
	_, err := fmt.Sscan(args[0], &s.nodes)
	ts.Check(err)
	for range s.nodes {
		processSlots <- struct{}{}
	}
	ts.Defer(func() {
		for range s.nodes {
			<-processSlots
		}
	})
	s.write(ts, relayed)
}

// ownNetwork returns the first three numbers of loopback addresses that no
// other script, of this process or another, uses until this one ends.
func ownNetwork(ts *testscript.TestScript) string {
	for {
		network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256))
		if l, err := net.Listen("tcp", network+"254:7000"); err == nil {
			ts.Defer(func() { _ = l.Close() })
			return network
		}
	}
}

// testSite is a site with its own loopback addresses.
type testSite struct {
	name    string
	network string
	nodes   int
}

func (s testSite) write(ts *testscript.TestScript, relayed bool) {
	ts.Setenv("PLATFORM", s.network+"200:7000")
	ts.Setenv("RELAY", s.network+"201:7000")
	ts.Setenv("NETWORK", strings.TrimSuffix(s.network, "."))
	var announce []string
	for i := range s.nodes {
		n := fmt.Sprint(i + 1)
		ts.Setenv("CALLERS"+n, s.address(i, 1))
		ts.Setenv("UPSTREAMS"+n, s.address(i, 2))
		ts.Setenv("OPERATORS"+n, s.address(i, 3))
		announce = append(announce, "http://"+s.address(i, 2))
		ts.Check(os.WriteFile(ts.MkAbs("n"+n+".ini"), []byte(s.settings(ts, i, relayed)), 0o600))
	}
	ts.Setenv("ANNOUNCE", strings.Join(announce, ","))
	ts.Check(os.WriteFile(ts.MkAbs("links"), []byte(s.links()), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("site.ini"), []byte(fmt.Sprintf(manifestText, s.name)), 0o600))
}

func (s testSite) address(node, port int) string {
	return fmt.Sprintf("%s%d:%d", s.network, node+1, 7000+port)
}

// linkAddress returns where the relay listens for traffic from one node to
// another.
func (s testSite) linkAddress(from, to int) string {
	return fmt.Sprintf("%s%d:7004", s.network, 100+10*from+to)
}

func (s testSite) links() string {
	var links strings.Builder
	for from := range s.nodes {
		for to := range s.nodes {
			if from != to {
				fmt.Fprintf(&links, "n%d n%d %s %s\n", from+1, to+1, s.linkAddress(from, to), s.address(to, 4))
			}
		}
	}
	return links.String()
}

func (s testSite) settings(ts *testscript.TestScript, node int, relayed bool) string {
	folder := ""
	if node < 3 {
		folder = ts.MkAbs(fmt.Sprintf("data%d", node+1))
	}
	var nodes strings.Builder
	for i := range s.nodes {
		address := s.address(i, 4)
		if relayed && i != node {
			address = s.linkAddress(node, i)
		}
		fmt.Fprintf(&nodes, "n%d = %s\n", i+1, address)
	}
	return fmt.Sprintf(settingsText, s.name, node+1, node+1, node+1, folder,
		s.address(node, 1), s.address(node, 2), s.address(node, 3), s.address(node, 4), nodes.String(), ts.Getenv("PLATFORM"))
}

const settingsText = `[node]
site = %s
name = n%d
vm = kl/entry-%d
availability_zone = z%d
region = kl
data_folder = %s
[listen]
callers = %s
upstreams = %s
operators = %s
nodes = %s
[nodes]
%svoters = n1, n2, n3
[platform]
address = %s
[limits]
tick = 20ms
balancer_delay = 500ms
`

// manifestText is a small site of 24 VMs; its wave starts in the far future.
const manifestText = `[site]
name = %s
revision = 1
[policy]
move_weight = 0.9
buffer_weight = 0.3
[pool berths]
min_vms = 6
max_vms = 24
processors = 32
memory = 128GB
[service drafts]
pool = berths
instances = 6
processors = 4
memory = 16GB
min_available = 3
timeout = 30s
queue_limit = 200
priority = urgent
non_idempotent_routes = POST /drafts
idempotent_routes = POST /previews
[team offices]
max_jobs = 5000
[wave january]
pools = berths
start = 2030-01-06T12:00:00Z
soak = 1s
`

// editFile implements "edit FILE OLD NEW". It replaces a text that must occur
// exactly once; \n in NEW stands for a line break.
func editFile(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: edit FILE OLD NEW")
	}
	text := ts.ReadFile(args[0])
	if strings.Count(text, args[1]) != 1 {
		ts.Fatalf("%q occurs %d times in %s", args[1], strings.Count(text, args[1]), args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], strings.ReplaceAll(args[2], `\n`, "\n"), 1)), 0o600))
}

// attemptMain runs comfreyloom in the background of a script and prints its exit
// code; a failure doesn't fail the script.
func attemptMain() {
	code := runMain(os.Args[1:], console{out: os.Stdout, err: os.Stdout})
	fmt.Println("exit code", code)
}

// exits implements "exits N PROGRAM ARGS": the program must exit with code N.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits N PROGRAM ARGS")
	}
	code := 0
	var failed *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failed) {
		code = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}
