package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
)

// raceOperators is "race ROUNDS MANIFEST NODE NODE": in each round two
// operators hand in the next revision at the same time at two entry VMs, with
// different texts. One must win; the other must be told the winner's digest.
func raceOperators(ts *testscript.TestScript, neg bool, args []string) {
	var rounds int
	if neg || len(args) != 4 {
		ts.Fatalf("usage: race ROUNDS MANIFEST NODE NODE")
	}
	_, err := fmt.Sscan(args[0], &rounds)
	ts.Check(err)
	text := ts.ReadFile(args[1])
	wins := [2]int{}
	for round := range rounds {
		operators := [2]*applying{}
		var together conc.WaitGroup
		for i := range operators {
			o := &applying{file: ts.MkAbs(fmt.Sprintf("operator-%d.ini", i)), address: ts.Getenv("OPERATORS" + args[2+i])}
			operators[i] = o
			own := strings.Replace(text, "revision = 1\n", fmt.Sprintf("revision = %d\n# operator %d\n", round+2, i), 1)
			ts.Check(os.WriteFile(o.file, []byte(own), 0o600))
			together.Go(func() { o.apply(ts.Getenv("PATH")) })
		}
		together.Wait()
		wins[winner(ts, operators)]++
	}
	ts.Logf("%d races, won %d and %d times", rounds, wins[0], wins[1])
}

// applying is one run of "comfreyloom apply".
type applying struct {
	file, address string
	code          int
	out, errors   bytes.Buffer
}

func (a *applying) apply(path string) {
	program := filepath.Join(filepath.SplitList(path)[0], "comfreyloom")
	c := exec.Command(program, "apply", "--address", a.address, a.file)
	c.Stdout, c.Stderr = &a.out, &a.errors
	_ = c.Run() // the exit code is judged
	a.code = c.ProcessState.ExitCode()
}

var digestPattern = regexp.MustCompile(`digest ([0-9a-f]{64})`)

func winner(ts *testscript.TestScript, o [2]*applying) int {
	won := 0
	if o[1].code == int(exitDone) {
		won = 1
	}
	lost := o[1-won]
	accepted := digestPattern.FindStringSubmatch(o[won].out.String())
	told := digestPattern.FindStringSubmatch(lost.errors.String())
	if o[won].code != int(exitDone) || lost.code != int(exitFailed) || accepted == nil || told == nil || accepted[1] != told[1] {
		ts.Fatalf("exit codes %d and %d\n%s%s\n%s%s", o[0].code, o[1].code, &o[0].out, &o[0].errors, &o[1].out, &o[1].errors)
	}
	return won
}
