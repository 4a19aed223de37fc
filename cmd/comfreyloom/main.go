// Command comfreyloom is a fleet capacity and maintenance manager: one binary
// for every entry VM and for the operators' pipeline.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// exitCode is the exit status of a command; pipelines rely on it.
type exitCode int

const (
	// exitDone: the command succeeded.
	exitDone exitCode = 0
	// exitFailed: it had no effect or was refused.
	exitFailed exitCode = 1
	// exitUsage: the arguments or a file are invalid; nothing was sent.
	exitUsage exitCode = 2
	// exitUnknown: it may have taken effect; running it again is safe.
	exitUnknown exitCode = 3
)

// arguments is the command line; exactly one subcommand is set.
type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run one entry VM's process"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file or a manifest without using it"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"make a manifest the site's desired state"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show pools, VMs, budgets and waves"`
	Jobs    *jobsCommand    `arg:"subcommand:jobs" help:"show jobs and why they wait"`
	Audit   *auditCommand   `arg:"subcommand:audit" help:"show the audit trail of changes"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell from logs what happened to a job, task or worker"`
	Waits   *waitsCommand   `arg:"subcommand:waits" help:"tell from logs how long jobs waited for their first start, and for what"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run a small site in this process and report"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description is shown above the help text.
func (arguments) Description() string {
	return "comfreyloom manages a fleet's capacity and maintenance, driven by one manifest."
}

// Epilogue is shown below the help text.
func (arguments) Epilogue() string {
	return `examples:
  comfreyloom check --settings entry-1.ini
  comfreyloom serve --settings entry-1.ini
  comfreyloom apply --address 10.10.1.1:7003 --token-file operator.token site.ini
  comfreyloom status --address 10.10.1.1:7003
  comfreyloom explain 50653ec2dbb675a6 core-1.log core-2.log entry-1.log
  comfreyloom waits --pools core-1.log core-2.log
  comfreyloom demo

exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 outcome unknown (sending again is safe)`
}

// console holds the output streams of a command.
type console struct {
	out io.Writer
	err io.Writer
}

// runner is implemented by every subcommand.
type runner interface {
	run(c console) exitCode
}

func main() {
	os.Exit(int(runMain(os.Args[1:], console{out: os.Stdout, err: os.Stderr})))
}

func runMain(argv []string, c console) exitCode {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "comfreyloom", Out: c.out}, &args)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom:", err)
		return exitUsage
	}
	if code, done := parse(parser, argv, c); done {
		return code
	}
	command, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteHelp(c.err)
		return exitUsage
	}
	return command.run(c)
}

func parse(parser *arg.Parser, argv []string, c console) (exitCode, bool) {
	err := parser.Parse(argv)
	switch {
	case err == nil:
		return exitDone, false
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(c.out, parser.SubcommandNames()...)
		return exitDone, true
	default:
		fmt.Fprintln(c.err, "comfreyloom:", err)
		_ = parser.WriteUsageForSubcommand(c.err, parser.SubcommandNames()...)
		return exitUsage, true
	}
}
