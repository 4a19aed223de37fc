package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the scripts run the product, and the stand-in of the platform,
// as processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"comfreyloom": main,
		"platform":    platformMain,
	})
}

func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"site":    writeSite,
			"request": request,
			"signal":  sendSignal,
			"edit":    editFile,
			"exits":   exits,
		},
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
	})
}

// writeSite is "site NODES": it writes the settings n1.ini, n2.ini … of a site
// on free loopback ports, of which the first three are voters, and sets
// PLATFORM and, for each node, CALLERS1, UPSTREAMS1, OPERATORS1.
func writeSite(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: site NODES [SITE-NAME]")
	}
	name := "port-klang"
	if len(args) == 2 {
		name = args[1]
	}
	var count int
	_, err := fmt.Sscan(args[0], &count)
	ts.Check(err)
	addresses := freeAddresses(ts, 4*count+1)
	ts.Setenv("PLATFORM", addresses[4*count])
	var nodes, upstreams strings.Builder
	for i := range count {
		fmt.Fprintf(&nodes, "n%d = %s\n", i+1, addresses[4*i+3])
		fmt.Fprintf(&upstreams, "http://%s,", addresses[4*i+1])
	}
	ts.Setenv("ANNOUNCE", strings.TrimSuffix(upstreams.String(), ","))
	for i := range count {
		own := addresses[4*i : 4*i+4]
		ts.Setenv(fmt.Sprintf("CALLERS%d", i+1), own[0])
		ts.Setenv(fmt.Sprintf("UPSTREAMS%d", i+1), own[1])
		ts.Setenv(fmt.Sprintf("OPERATORS%d", i+1), own[2])
		folder := ""
		if i < 3 {
			folder = ts.MkAbs(fmt.Sprintf("data%d", i+1))
		}
		text := fmt.Sprintf(settingsText, name, i+1, i+1, i+1, folder, own[0], own[1], own[2], own[3], nodes.String(), addresses[4*count])
		ts.Check(os.WriteFile(ts.MkAbs(fmt.Sprintf("n%d.ini", i+1)), []byte(text), 0o600))
	}
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
balancer_delay = 100ms
upstream_lease = 3s
`

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(ts *testscript.TestScript, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// editFile is "edit FILE OLD NEW": it replaces a text that must occur once.
func editFile(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: edit FILE OLD NEW")
	}
	text := ts.ReadFile(args[0])
	if strings.Count(text, args[1]) != 1 {
		ts.Fatalf("%q occurs %d times in %s", args[1], strings.Count(text, args[1]), args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// exits is "exits N PROGRAM ARGS": the program must end with exit code N.
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
