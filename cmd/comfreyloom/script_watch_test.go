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

// statusOf asks an entry VM for its status.
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

// witness holds what was seen of a site and names what must never be seen.
type witness struct {
	// digests are those of the state by index, winners those of manifests by
	// revision; revisions are the highest in force by node.
	digests   map[uint64]string
	winners   map[uint64]string
	revisions map[string]uint64
	// budgets says that budgets are watched as well; met holds the services
	// whose budget was met before.
	budgets bool
	met     map[string]bool
	looks   int
	faults  []string
	mu      sync.Mutex
}

func newWitness() *witness {
	return &witness{digests: map[uint64]string{}, winners: map[uint64]string{}, revisions: map[string]uint64{}, met: map[string]bool{}}
}

func (w *witness) fault(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(w.faults, text) {
		w.faults = append(w.faults, text)
	}
}

func (w *witness) see(node string, s operator.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	w.same(w.digests, s.Index, s.StateDigest, "state at index")
	if s.Revision > 0 {
		w.same(w.winners, s.Revision, s.Digest, "manifest of revision")
	}
	ready := slices.ContainsFunc(s.Nodes, func(n operator.NodeStatus) bool { return string(n.Node) == "n"+node && n.Ready })
	if ready && s.Revision < w.revisions[node] {
		w.fault("n%s is ready with revision %d after %d", node, s.Revision, w.revisions[node])
	}
	w.revisions[node] = max(w.revisions[node], s.Revision)
	for _, b := range s.Violations {
		w.fault("n%s: %s: %s", node, b.Invariant, b.Detail)
	}
	if w.budgets && string(s.Leader) == "n"+node {
		w.seeBudgets(s)
	}
}

func (w *witness) same(known map[uint64]string, key uint64, digest, what string) {
	if first, seen := known[key]; seen && first != digest {
		w.fault("two digests of the %s %d: %s and %s", what, key, first, digest)
	}
	known[key] = digest
}

func (w *witness) seeBudgets(s operator.Status) {
	for _, b := range s.Budgets {
		id := string(b.Service)
		if w.met[id] && b.Available < b.MinAvailable {
			w.fault("by the leader's account service %s had %d of at least %d instances: %s", id, b.Available, b.MinAvailable, b.Reason)
		}
		w.met[id] = w.met[id] || b.Available >= b.MinAvailable
	}
}

// watchMain looks at the entry VMs that it is given by number until SIGTERM
// and fails when it saw what must never be seen. With -budgets that includes
// the leader's account of a budget below its least: not for scripts in which a
// leader comes up that can't know of the instances yet.
func watchMain() {
	w := newWitness()
	flag.BoolVar(&w.budgets, "budgets", false, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var looking conc.WaitGroup
	for _, node := range flag.Args() {
		looking.Go(func() {
			for ctx.Err() == nil {
				if s, err := statusOf(os.Getenv("OPERATORS" + node)); err == nil {
					w.see(node, s)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	looking.Wait()
	fmt.Printf("watched: %d looks, revisions %v, faults: %d\n", w.looks, w.revisions, len(w.faults))
	for _, fault := range w.faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	os.Exit(min(len(w.faults), 1))
}

// converge is "converge [-revision N] NODES": it waits until the nodes have
// been seen with the same state at the same index, and the manifest in force.
func converge(ts *testscript.TestScript, neg bool, args []string) {
	flags := flag.NewFlagSet("converge", flag.ContinueOnError)
	revision := flags.Uint64("revision", 0, "")
	ts.Check(flags.Parse(args))
	if neg || flags.NArg() == 0 {
		ts.Fatalf("usage: converge [-revision N] NODES")
	}
	began, w := time.Now(), newWitness()
	seen := map[uint64]map[string]bool{}
	var last []string
	for time.Since(began) < patience {
		last = nil
		for _, node := range flags.Args() {
			s, err := statusOf(ts.Getenv("OPERATORS" + node))
			last = append(last, fmt.Sprintf("n%s: index %d, revision %d, %v", node, s.Index, s.Revision, err))
			if err != nil || s.Revision < *revision {
				continue
			}
			w.see(node, s)
			if seen[s.Index] == nil {
				seen[s.Index] = map[string]bool{}
			}
			seen[s.Index][node] = true
			if len(w.faults) > 0 {
				ts.Fatalf("%s", strings.Join(w.faults, "\n"))
			}
			if len(seen[s.Index]) == flags.NArg() {
				ts.Logf("n%s have the same state at index %d, revision %d, after %v",
					strings.Join(flags.Args(), ", n"), s.Index, s.Revision, time.Since(began).Round(time.Millisecond))
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("no common state: %s", strings.Join(last, "; "))
}

// awaitLeader is "leader [-not NODE] NODES": it waits until the nodes name one
// of them as the leader and sets LEADER to its number, LEADER_SETTINGS,
// LEADER_CALLERS and LEADER_OPERATORS, and A, B … and the like for the others.
func awaitLeader(ts *testscript.TestScript, neg bool, args []string) {
	flags := flag.NewFlagSet("leader", flag.ContinueOnError)
	not := flags.String("not", "", "")
	ts.Check(flags.Parse(args))
	if neg || flags.NArg() == 0 {
		ts.Fatalf("usage: leader [-not NODE] NODES")
	}
	for began := time.Now(); time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		leader := namedBy(ts, flags.Args())
		if leader == "" || leader == *not {
			continue
		}
		ts.Logf("n%s leads, found after %v", leader, time.Since(began).Round(time.Millisecond))
		setNode(ts, "LEADER", leader)
		others := slices.DeleteFunc(slices.Clone(flags.Args()), func(n string) bool { return n == leader })
		for i, node := range others {
			setNode(ts, string(rune('A'+i)), node)
		}
		return
	}
	ts.Fatalf("no leader among n%s", strings.Join(flags.Args(), ", n"))
}

// namedBy returns the number of the leader that all the nodes name.
func namedBy(ts *testscript.TestScript, nodes []string) string {
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
