package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// scriptTimeout is a safety timeout; no test result depends on how long something
// takes below it.
const scriptTimeout = 40 * time.Second

// requestArgs are the arguments of "request".
type requestArgs struct {
	status  string
	verdict string
	body    string
	pattern string
	retry   bool
	leaders string
	headers headerList
}

type headerList []string

func (h *headerList) String() string { return strings.Join(*h, ", ") }

// Set takes one "Name: value".
func (h *headerList) Set(text string) error {
	*h = append(*h, text)
	return nil
}

// request implements "request [flags] METHOD URL". It sends one HTTP request and
// checks the response; with -until it repeats the request until the response
// matches. With -leader N,N the URL is a path at the operators' address of the
// node that leads when the request is sent.
func request(ts *testscript.TestScript, neg bool, argv []string) {
	var args requestArgs
	flags := flag.NewFlagSet("request", flag.ContinueOnError)
	flags.StringVar(&args.status, "status", "200", "")
	flags.StringVar(&args.verdict, "verdict", "", "")
	flags.StringVar(&args.body, "d", "", "")
	flags.StringVar(&args.pattern, "match", "", "")
	flags.BoolVar(&args.retry, "until", false, "")
	flags.StringVar(&args.leaders, "leader", "", "")
	flags.Var(&args.headers, "H", "")
	ts.Check(flags.Parse(argv))
	if neg || flags.NArg() != 2 {
		ts.Fatalf("usage: request [flags] METHOD URL")
	}
	var last error
	for start := time.Now(); time.Since(start) < scriptTimeout; time.Sleep(20 * time.Millisecond) {
		if last = args.once(ts, flags.Arg(0), flags.Arg(1)); last == nil {
			ts.Logf("after %v", time.Since(start).Round(time.Millisecond))
			return
		}
		if !args.retry {
			break
		}
	}
	ts.Fatalf("%s %s: %v", flags.Arg(0), flags.Arg(1), last)
}

func (a requestArgs) once(ts *testscript.TestScript, method, url string) error {
	if a.leaders != "" {
		leader := commonLeader(ts, strings.Split(a.leaders, ","))
		if leader == "" {
			return errors.New("the nodes name no common leader")
		}
		url = ts.Getenv("OPERATORS"+leader) + url
	}
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(a.body))
	ts.Check(err)
	for _, h := range a.headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	client := http.Client{Timeout: scriptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	verdict := response.Header.Get("Comfreyloom-Verdict")
	if !slices.Contains(strings.Split(a.status, "|"), fmt.Sprint(response.StatusCode)) || (a.verdict != "" && !slices.Contains(strings.Split(a.verdict, "|"), verdict)) || !regexp.MustCompile("(?m)"+a.pattern).Match(body) {
		return fmt.Errorf("got status %d, verdict %q, body %s", response.StatusCode, verdict, bytes.TrimSpace(body))
	}
	fmt.Fprintf(ts.Stdout(), "%s", body)
	return nil
}

// sendSignal implements "signal STOP|CONT|KILL|TERM PROCESS". It signals the
// background process that was started with these settings or runs this program.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM}
	if neg || len(args) != 2 || signals[args[0]] == nil {
		ts.Fatalf("usage: signal STOP|CONT|KILL|TERM PROCESS")
	}
	// Only the newest process with these settings is running.
	commands := ts.BackgroundCmds()
	for i := len(commands) - 1; i >= 0; i-- {
		c := commands[i]
		if c.Args[len(c.Args)-1] == args[1] || filepath.Base(c.Args[0]) == args[1] {
			ts.Check(c.Process.Signal(signals[args[0]]))
			afterSignal(args[0], c.Process)
			return
		}
	}
	ts.Fatalf("no process in the background is %s", args[1])
}

// afterSignal waits until a killed process has exited and its addresses are free
// again. It makes sure that a frozen process is resumed eventually, because the
// end of a script waits for every process.
func afterSignal(name string, p *os.Process) {
	switch name {
	case "KILL":
		for p.Signal(syscall.Signal(0)) == nil {
			time.Sleep(time.Millisecond)
		}
	case "STOP":
		time.AfterFunc(scriptTimeout, func() { _ = p.Signal(syscall.SIGCONT) })
	}
}
