// Command cases plays the cases of the review: each starts the project's processes on
// loopback addresses beside stand-ins for minions, consumers, the operator and the
// provider, and checks one rule.
//
//	cases NAME FOLDER
//
// It writes what was sent, answered and run to FOLDER/record.txt. It exits with 0 if
// the rule held, 1 if it was broken and 2 if the case couldn't run. With TROUBLE=0 in
// the environment the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTime bounds one case.
const caseTime = 105 * time.Second

// verdict is the outcome of a case that could run: what broke the rule, empty if it
// held.
type verdict []string

var cases = map[string]func(ctx context.Context, s *site, trouble bool) (verdict, error){
	"unacknowledged-leave": unacknowledgedLeave,
	"upkeep-ordered-twice": upkeepOrderedTwice,
	"flapping-minion":      flappingMinion,
	"ends-behind-a-cut":    endsBehindACut,
	"foreign-pings":        foreignPings,
	"refused-starts":       refusedStarts,
	"founding-disk-lost":   foundingDiskLost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, line := range broken {
			fmt.Println("broken:", line)
		}
		os.Exit(1)
	}
	fmt.Println("held")
}

func play(name, folder string) (broken verdict, err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, caseTime)
	defer stop()
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	defer func() {
		if closed := rec.close(); err == nil {
			err = closed
		}
	}()
	s, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", name, trouble)
	broken, err = cases[name](ctx, s, trouble)
	for _, line := range broken {
		rec.printf("broken: %s", line)
	}
	if err != nil {
		rec.printf("could not run: %v", err)
	} else if len(broken) == 0 {
		rec.printf("held")
	}
	return broken, err
}
