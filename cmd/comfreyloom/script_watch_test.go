package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/operator"
)

// statusOf requests the status of an entry VM.
func statusOf(address string) (operator.Status, error) {
	var status operator.Status
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("status %d", response.StatusCode)
	}
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// siteMonitor records the observed status of a site and reports violations of its
// invariants.
type siteMonitor struct {
	// digests maps an index to the digest of the state, manifests a revision to the
	// digest of its manifest, and revisions a node to its highest revision.
	digests   map[uint64]string
	manifests map[uint64]string
	revisions map[string]uint64
	// checksBudgets enables the check of availability budgets; budgetMet holds the
	// services whose budget was met before.
	checksBudgets bool
	budgetMet     map[string]bool
	polls         int
	violations    []string
	mu            sync.Mutex
}

func newSiteMonitor() *siteMonitor {
	return &siteMonitor{digests: map[uint64]string{}, manifests: map[uint64]string{}, revisions: map[string]uint64{}, budgetMet: map[string]bool{}}
}

func (w *siteMonitor) addViolation(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(w.violations, text) {
		w.violations = append(w.violations, text)
	}
}

func (w *siteMonitor) observe(node string, s operator.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	w.checkSame(w.digests, s.Index, s.StateDigest, "state at index")
	if s.Revision > 0 {
		w.checkSame(w.manifests, s.Revision, s.Digest, "manifest of revision")
	}
	ready := slices.ContainsFunc(s.Nodes, func(n operator.NodeStatus) bool { return string(n.Node) == "n"+node && n.Ready })
	if ready && s.Revision < w.revisions[node] {
		w.addViolation("n%s is ready with revision %d after %d", node, s.Revision, w.revisions[node])
	}
	w.revisions[node] = max(w.revisions[node], s.Revision)
	for _, b := range s.Violations {
		w.addViolation("n%s: %s: %s", node, b.Invariant, b.Detail)
	}
	if w.checksBudgets && string(s.Leader) == "n"+node {
		w.checkBudgets(s)
	}
}

func (w *siteMonitor) checkSame(known map[uint64]string, key uint64, digest, what string) {
	if previous, seen := known[key]; seen && previous != digest {
		w.addViolation("two digests of the %s %d: %s and %s", what, key, previous, digest)
	}
	known[key] = digest
}

func (w *siteMonitor) checkBudgets(s operator.Status) {
	for _, b := range s.Budgets {
		id := string(b.Service)
		if w.budgetMet[id] && b.Available < b.MinAvailable {
			w.addViolation("service %s has %d available instances by the leader's status, at least %d are required: %s", id, b.Available, b.MinAvailable, b.Reason)
		}
		w.budgetMet[id] = w.budgetMet[id] || b.Available >= b.MinAvailable
	}
}

// watchMain polls the entry VMs given by number until SIGTERM and fails when an
// invariant was violated. With -budgets this includes the availability budgets
// that the leader reports; this is not suitable for scripts in which a new leader
// can't have the announcements of all instances yet.
func watchMain() {
	monitor := newSiteMonitor()
	flag.BoolVar(&monitor.checksBudgets, "budgets", false, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var polling conc.WaitGroup
	for _, node := range flag.Args() {
		polling.Go(func() {
			for ctx.Err() == nil {
				if s, err := statusOf(os.Getenv("OPERATORS" + node)); err == nil {
					monitor.observe(node, s)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	polling.Wait()
	fmt.Printf("watched: %d looks, revisions %v, faults: %d\n", monitor.polls, monitor.revisions, len(monitor.violations))
	for _, violation := range monitor.violations {
		fmt.Fprintln(os.Stderr, violation)
	}
	os.Exit(min(len(monitor.violations), 1))
}

// converge implements "converge [-revision N] NODES". It waits until all nodes
// have reported the same state at the same index, with revision N or later in
// force.
func converge(ts *testscript.TestScript, neg bool, args []string) {
	flags := flag.NewFlagSet("converge", flag.ContinueOnError)
	revision := flags.Uint64("revision", 0, "")
	ts.Check(flags.Parse(args))
	if neg || flags.NArg() == 0 {
		ts.Fatalf("usage: converge [-revision N] NODES")
	}
	start, monitor := time.Now(), newSiteMonitor()
	seen := map[uint64]map[string]bool{}
	var last []string
	for time.Since(start) < scriptTimeout {
		last = nil
		for _, node := range flags.Args() {
			s, err := statusOf(ts.Getenv("OPERATORS" + node))
			last = append(last, fmt.Sprintf("n%s: index %d, revision %d, %v", node, s.Index, s.Revision, err))
			if err != nil || s.Revision < *revision {
				continue
			}
			monitor.observe(node, s)
			if seen[s.Index] == nil {
				seen[s.Index] = map[string]bool{}
			}
			seen[s.Index][node] = true
			if len(monitor.violations) > 0 {
				ts.Fatalf("%s", strings.Join(monitor.violations, "\n"))
			}
			if len(seen[s.Index]) == flags.NArg() {
				ts.Logf("n%s have the same state at index %d, revision %d, after %v",
					strings.Join(flags.Args(), ", n"), s.Index, s.Revision, time.Since(start).Round(time.Millisecond))
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no common state: %s", strings.Join(last, "; "))
}

// awaitLeader implements "leader [-not NODE] NODES". It waits until all nodes name
// the same one of them as the leader and sets LEADER to its number,
// LEADER_SETTINGS, LEADER_DATA, LEADER_CALLERS and LEADER_OPERATORS. It sets A,
// A_SETTINGS, B and so on for the others.
func awaitLeader(ts *testscript.TestScript, neg bool, args []string) {
	flags := flag.NewFlagSet("leader", flag.ContinueOnError)
	excluded := flags.String("not", "", "")
	ts.Check(flags.Parse(args))
	if neg || flags.NArg() == 0 {
		ts.Fatalf("usage: leader [-not NODE] NODES")
	}
	for start := time.Now(); time.Since(start) < scriptTimeout; time.Sleep(5 * time.Millisecond) {
		leader := commonLeader(ts, flags.Args())
		if leader == "" || leader == *excluded {
			continue
		}
		ts.Logf("n%s leads, found after %v", leader, time.Since(start).Round(time.Millisecond))
		setNode(ts, "LEADER", leader)
		others := slices.DeleteFunc(slices.Clone(flags.Args()), func(n string) bool { return n == leader })
		for i, node := range others {
			setNode(ts, string(rune('A'+i)), node)
		}
		return
	}
	ts.Fatalf("no leader among n%s", strings.Join(flags.Args(), ", n"))
}

// commonLeader returns the number of the leader that all nodes report, empty when
// they don't agree.
func commonLeader(ts *testscript.TestScript, nodes []string) string {
	leader := ""
	for i, node := range nodes {
		s, err := statusOf(ts.Getenv("OPERATORS" + node))
		name := strings.TrimPrefix(string(s.Leader), "n")
		if err != nil || (i > 0 && name != leader) || !slices.Contains(nodes, name) {
			return ""
		}
		leader = name
	}
	return leader
}

func setNode(ts *testscript.TestScript, name, node string) {
	ts.Setenv(name, node)
	ts.Setenv(name+"_SETTINGS", "n"+node+".ini")
	ts.Setenv(name+"_DATA", ts.MkAbs("data"+node))
	ts.Setenv(name+"_CALLERS", ts.Getenv("CALLERS"+node))
	ts.Setenv(name+"_OPERATORS", ts.Getenv("OPERATORS"+node))
}
