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

// remote holds the arguments common to all commands that query a running VM.
type remote struct {
	Address   string `arg:"--address,required" placeholder:"IP:PORT" help:"operators' listener of any entry VM"`
	TokenFile string `arg:"--token-file" placeholder:"FILE" help:"file whose first line is the operator's token"`
}

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 5 * time.Second
	// responseTimeout bounds the time to a response, in addition to the wait time
	// that the request itself asks for.
	responseTimeout = 30 * time.Second
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 64 << 20
)

// apiResponse is an HTTP response with its verdict.
type apiResponse struct {
	status  int
	verdict model.Verdict
	body    []byte
}

// usageError reports invalid arguments; nothing was sent.
type usageError struct{ error }

// callError reports that no complete response was received.
type callError struct {
	verdict model.Verdict
	cause   error
}

// Error returns the message of the cause.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// do sends one request. Errors are usageError or *callError.
func (r remote) do(ctx context.Context, method, path string, body []byte, wait time.Duration) (apiResponse, error) {
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return apiResponse{}, usageError{fmt.Errorf("--address is %q; allowed: IP:port", r.Address)}
	}
	token, err := r.token()
	if err != nil {
		return apiResponse{}, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, usageError{err}
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

// send sends a request and reads the response. The verdict of its error is NotRun
// if no connection could be opened and MayHaveRun otherwise.
func send(request *http.Request) (apiResponse, error) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
	}}
	httpResponse, err := client.Do(request)
	if err != nil {
		return apiResponse{}, &callError{verdictOf(err), err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return apiResponse{}, &callError{model.MayHaveRun, fmt.Errorf("the answer was cut off: %w", err)}
	}
	verdict, _ := model.ParseVerdict(httpResponse.Header.Get(model.VerdictHeader))
	return apiResponse{status: httpResponse.StatusCode, verdict: verdict, body: body}, nil
}

func verdictOf(err error) model.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.NotRun
	}
	return model.MayHaveRun
}

// get decodes a JSON response into out and maps failures to an exit code.
func (r remote) get(c console, command, path string, wait time.Duration, out any) exitCode {
	response, err := r.do(context.Background(), http.MethodGet, path, nil, wait)
	if err != nil {
		return reportReadError(c, command, err)
	}
	if response.status != http.StatusOK {
		return reportFailure(c, command, response)
	}
	if err := json.Unmarshal(response.body, out); err != nil {
		fmt.Fprintf(c.err, "comfreyloom %s: the answer is not valid: %v\n", command, err)
		return exitFailed
	}
	return exitDone
}

// reportReadError reports a request without a response. Reads change nothing, so
// the verdict doesn't matter.
func reportReadError(c console, command string, err error) exitCode {
	fmt.Fprintf(c.err, "comfreyloom %s: %v\n", command, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// reportFailure prints the response to a request that did not succeed.
func reportFailure(c console, command string, response apiResponse) exitCode {
	var failure operator.Failure
	if json.Unmarshal(response.body, &failure) != nil || failure.Message == "" {
		failure.Message = strings.TrimSpace(string(response.body))
	}
	fmt.Fprintf(c.err, "comfreyloom %s: %s (status %d, %s)\n", command, failure.Message, response.status, response.verdict)
	if failure.Text != "" {
		fmt.Fprintln(c.err, failure.Text)
	}
	switch {
	case response.verdict == model.MayHaveRun:
		return exitUnknown
	case response.status == http.StatusBadRequest:
		return exitUsage
	default:
		return exitFailed
	}
}
