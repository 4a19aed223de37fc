package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
)

// remote holds the arguments of every command that asks a running VM.
type remote struct {
	Address   string `arg:"--address,required" placeholder:"IP:PORT" help:"operators' listener of any entry VM"`
	TokenFile string `arg:"--token-file" placeholder:"FILE" help:"file whose first line is the operator's token"`
}

const (
	// dialTimeout bounds making the connection.
	dialTimeout = 5 * time.Second
	// answerTimeout bounds an answer, beyond what the request asks to wait for.
	answerTimeout = 30 * time.Second
	// maxAnswer bounds what is read of an answer, in bytes.
	maxAnswer = 64 << 20
)

// reply is an answer with its verdict.
type reply struct {
	status  int
	verdict model.Verdict
	body    []byte
}

// usageError is a mistake in the arguments; nothing was sent.
type usageError struct{ error }

// callError says that no whole answer came.
type callError struct {
	verdict model.Verdict
	cause   error
}

// Error tells the cause.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// do sends one request. Errors are usageError or *callError.
func (r remote) do(ctx context.Context, method, path string, body []byte, wait time.Duration) (reply, error) {
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return reply{}, usageError{fmt.Errorf("--address is %q; allowed: IP:port", r.Address)}
	}
	token, err := r.token()
	if err != nil {
		return reply{}, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, usageError{err}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	return send(request)
}

func (r remote) token() (string, error) {
	if r.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(r.TokenFile)
	if err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
	if _, token, named := strings.Cut(first, ":"); named {
		return strings.TrimSpace(token), nil
	}
	return strings.TrimSpace(first), nil
}

// send tells apart whether the request can have arrived: a connection that was
// never made carried nothing.
func send(request *http.Request) (reply, error) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
	}}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, &callError{verdictOf(err), err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return reply{}, &callError{model.MayHaveRun, fmt.Errorf("the answer was cut off: %w", err)}
	}
	verdict, _ := model.ParseVerdict(response.Header.Get(model.VerdictHeader))
	return reply{status: response.StatusCode, verdict: verdict, body: body}, nil
}

func verdictOf(err error) model.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.NotRun
	}
	return model.MayHaveRun
}

// get reads a JSON answer into out and maps what goes wrong to an exit code.
func (r remote) get(c console, command, path string, wait time.Duration, out any) exitCode {
	answer, err := r.do(context.Background(), http.MethodGet, path, nil, wait)
	if err != nil {
		return reportReadError(c, command, err)
	}
	if answer.status != http.StatusOK {
		return reportFailure(c, command, answer)
	}
	if err := json.Unmarshal(answer.body, out); err != nil {
		fmt.Fprintf(c.err, "comfreyloom %s: the answer is not valid: %v\n", command, err)
		return exitFailed
	}
	return exitDone
}

// reportReadError reports a question that got no answer; asking changes nothing.
func reportReadError(c console, command string, err error) exitCode {
	fmt.Fprintf(c.err, "comfreyloom %s: %v\n", command, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// reportFailure prints the answer of a request that did not succeed.
func reportFailure(c console, command string, answer reply) exitCode {
	var failure operator.Failure
	if json.Unmarshal(answer.body, &failure) != nil || failure.Message == "" {
		failure.Message = strings.TrimSpace(string(answer.body))
	}
	fmt.Fprintf(c.err, "comfreyloom %s: %s (status %d, %s)\n", command, failure.Message, answer.status, answer.verdict)
	if failure.Text != "" {
		fmt.Fprintln(c.err, failure.Text)
	}
	switch {
	case answer.verdict == model.MayHaveRun:
		return exitUnknown
	case answer.status == http.StatusBadRequest:
		return exitUsage
	default:
		return exitFailed
	}
}
