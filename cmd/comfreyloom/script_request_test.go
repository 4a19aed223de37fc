package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// patience is a safety limit; no verdict depends on how long something takes
// below it.
const patience = 40 * time.Second

// requestArgs are the arguments of "request".
type requestArgs struct {
	status  int
	verdict string
	body    string
	want    string
	until   bool
	headers headerList
}

type headerList []string

func (h *headerList) String() string { return strings.Join(*h, ", ") }

// Set takes one "Name: value".
func (h *headerList) Set(text string) error {
	*h = append(*h, text)
	return nil
}

// request is "request [flags] METHOD URL": it sends one HTTP request and checks
// the answer; with -until it asks again until the answer is as wanted.
func request(ts *testscript.TestScript, neg bool, argv []string) {
	var args requestArgs
	flags := flag.NewFlagSet("request", flag.ContinueOnError)
	flags.IntVar(&args.status, "status", 200, "")
	flags.StringVar(&args.verdict, "verdict", "", "")
	flags.StringVar(&args.body, "d", "", "")
	flags.StringVar(&args.want, "match", "", "")
	flags.BoolVar(&args.until, "until", false, "")
	flags.Var(&args.headers, "H", "")
	ts.Check(flags.Parse(argv))
	if neg || flags.NArg() != 2 {
		ts.Fatalf("usage: request [flags] METHOD URL")
	}
	var last error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last = args.once(ts, flags.Arg(0), flags.Arg(1)); last == nil {
			return
		}
		if !args.until {
			break
		}
	}
	ts.Fatalf("%s %s: %v", flags.Arg(0), flags.Arg(1), last)
}

func (a requestArgs) once(ts *testscript.TestScript, method, url string) error {
	r, err := http.NewRequest(method, "http://"+url, strings.NewReader(a.body))
	ts.Check(err)
	for _, h := range a.headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
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
	if response.StatusCode != a.status || (a.verdict != "" && verdict != a.verdict) || !regexp.MustCompile(a.want).Match(body) {
		return fmt.Errorf("got status %d, verdict %q, body %s", response.StatusCode, verdict, bytes.TrimSpace(body))
	}
	fmt.Fprintf(ts.Stdout(), "%s", body)
	return nil
}

// sendSignal is "signal STOP|CONT|KILL|TERM SETTINGS": it signals the process
// in the background that was started with the settings file.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]os.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM}
	if neg || len(args) != 2 || signals[args[0]] == nil {
		ts.Fatalf("usage: signal STOP|CONT|KILL|TERM SETTINGS")
	}
	// The newest process with these settings is the one that runs.
	commands := ts.BackgroundCmds()
	for i := len(commands) - 1; i >= 0; i-- {
		if last := commands[i].Args[len(commands[i].Args)-1]; last == args[1] {
			ts.Check(commands[i].Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no process in the background was started with %s", args[1])
}
