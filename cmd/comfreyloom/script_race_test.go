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

// raceOperators implements "race ROUNDS MANIFEST NODE NODE". In each round two
// operators concurrently apply the next revision with different texts at two
// entry VMs. One must be accepted; the other must get the accepted digest.
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
		runs := [2]*applyRun{}
		var concurrent conc.WaitGroup
		for i := range runs {
			run := &applyRun{file: ts.MkAbs(fmt.Sprintf("operator-%d.ini", i)), address: ts.Getenv("OPERATORS" + args[2+i])}
			runs[i] = run
			revised := strings.Replace(text, "revision = 1\n", fmt.Sprintf("revision = %d\n# operator %d\n", round+2, i), 1)
			ts.Check(os.WriteFile(run.file, []byte(revised), 0o600))
			concurrent.Go(func() { run.run(ts.Getenv("PATH")) })
		}
		concurrent.Wait()
		wins[winner(ts, runs)]++
	}
	ts.Logf("%d races, won %d and %d times", rounds, wins[0], wins[1])
}

// applyRun is one run of "comfreyloom apply".
type applyRun struct {
	file, address string
	code          int
	out, errors   bytes.Buffer
}

func (a *applyRun) run(path string) {
	program := filepath.Join(filepath.SplitList(path)[0], "comfreyloom")
	c := exec.Command(program, "apply", "--address", a.address, a.file)
	c.Stdout, c.Stderr = &a.out, &a.errors
	_ = c.Run() // winner checks the exit code
	a.code = c.ProcessState.ExitCode()
}

var digestPattern = regexp.MustCompile(`digest ([0-9a-f]{64})`)

func winner(ts *testscript.TestScript, runs [2]*applyRun) int {
	won := 0
	if runs[1].code == int(exitDone) {
		won = 1
	}
	lost := runs[1-won]
	accepted := digestPattern.FindStringSubmatch(runs[won].out.String())
	reported := digestPattern.FindStringSubmatch(lost.errors.String())
	if runs[won].code != int(exitDone) || lost.code != int(exitFailed) || accepted == nil || reported == nil || accepted[1] != reported[1] {
		ts.Fatalf("exit codes %d and %d\n%s%s\n%s%s", runs[0].code, runs[1].code, &runs[0].out, &runs[0].errors, &runs[1].out, &runs[1].errors)
	}
	return won
}
