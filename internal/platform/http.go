package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Paths of the platform's endpoints.
const (
	PathVMs      = "/v1/vms"
	PathTasks    = "/v1/tasks"
	PathUsage    = "/v1/usage"
	PathCommands = "/v1/commands"
	// QuerySince is the query parameter for the cursor.
	QuerySince = "since"
)

const (
	// defaultTimeout bounds a call from dialing to the last byte.
	defaultTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response. A full list of 1,300 VMs
	// and 20,000 tasks takes about 6 MB.
	maxResponseBytes = 32 << 20
	maxIdleConns     = 4
	// idleConnTimeout closes idle connections, which a device on the network
	// path may have dropped from its tables.
	idleConnTimeout = 20 * time.Second
)

// HTTPOptions configures an HTTPClient.
type HTTPOptions struct {
	// Address is host:port, or a URL with scheme.
	Address string
	// Token is sent as bearer token if it is not empty.
	Token string
	// Timeout bounds one call; 0 means 5 s.
	Timeout time.Duration
}

// HTTPClient implements Client over HTTP with JSON.
type HTTPClient struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

// NewHTTP returns a client for the platform at an address.
func NewHTTP(o HTTPOptions) (*HTTPClient, error) {
	base, err := baseURL(o.Address)
	if err != nil {
		return nil, err
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout, KeepAlive: idleConnTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &HTTPClient{base: base, token: o.Token, timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// VMs implements Client.
func (c *HTTPClient) VMs(ctx context.Context, since Cursor) (VMList, error) {
	var list VMList
	err := c.get(ctx, "list VMs", PathVMs, since, &list)
	return list, err
}

// Tasks implements Client.
func (c *HTTPClient) Tasks(ctx context.Context, since Cursor) (TaskList, error) {
	var list TaskList
	err := c.get(ctx, "list tasks", PathTasks, since, &list)
	return list, err
}

// Usage implements Client.
func (c *HTTPClient) Usage(ctx context.Context, since Cursor) (UsageList, error) {
	var list UsageList
	err := c.get(ctx, "list usage", PathUsage, since, &list)
	return list, err
}

// Task implements Client.
func (c *HTTPClient) Task(ctx context.Context, id model.TaskID) (TaskReport, bool, error) {
	var report TaskReport
	status, err := c.call(ctx, "ask about task", http.MethodGet, PathTasks+"/"+url.PathEscape(string(id)), nil, &report)
	if status == http.StatusNotFound {
		return TaskReport{}, false, nil
	}
	return report, err == nil, err
}

// Send implements Client.
func (c *HTTPClient) Send(ctx context.Context, commands []Command) ([]Answer, error) {
	const op = "send commands"
	body, err := json.Marshal(CommandRequest{Commands: commands})
	if err != nil {
		return nil, &Error{Verdict: model.NotRun, Op: op, Cause: err}
	}
	var response CommandResponse
	if _, err := c.call(ctx, op, http.MethodPost, PathCommands, body, &response); err != nil {
		return nil, err
	}
	if len(response.Answers) != len(commands) {
		return nil, &Error{Verdict: model.MayHaveRun, Op: op, Cause: oops.Errorf("%d answers to %d commands", len(response.Answers), len(commands))}
	}
	return response.Answers, nil
}

// CommandRequest is the body of a POST to PathCommands.
type CommandRequest struct {
	Commands []Command `json:"commands"`
}

// CommandResponse is the body of the response to a CommandRequest. Answers are in
// the order of the commands.
type CommandResponse struct {
	Answers []Answer `json:"answers"`
}

func (c *HTTPClient) get(ctx context.Context, op, path string, since Cursor, into any) error {
	if since != "" {
		path += "?" + QuerySince + "=" + url.QueryEscape(string(since))
	}
	_, err := c.call(ctx, op, http.MethodGet, path, nil, into)
	return err
}

// call sends one request and reads the response. The verdict of its error is
// NotRun if no byte of the request was written or the status of the response means
// that the platform did nothing.
func (c *HTTPClient) call(ctx context.Context, op, method, path string, body []byte, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Verdict: model.NotRun, Op: op, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, &Error{Verdict: verdictOfWrite(wrote.Load()), Op: op, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, readResponse(op, response, into)
}

func readResponse(op string, response *http.Response, into any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return &Error{Verdict: model.MayHaveRun, Op: op, Cause: err}
	}
	if len(text) > maxResponseBytes {
		return &Error{Verdict: model.MayHaveRun, Op: op, Cause: errors.New("answer exceeds 32 MiB")}
	}
	if response.StatusCode != http.StatusOK {
		return &Error{Verdict: verdictOfStatus(response.StatusCode), Op: op, Cause: oops.Errorf("status %d", response.StatusCode)}
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &Error{Verdict: model.MayHaveRun, Op: op, Cause: err}
	}
	return nil
}

func verdictOfWrite(wrote bool) model.Verdict {
	if wrote {
		return model.MayHaveRun
	}
	return model.NotRun
}

// verdictOfStatus returns the verdict of a failed call by the status of its
// response. The platform guarantees that it did nothing if it responds with a
// client error or that it is too busy to accept the request.
func verdictOfStatus(status int) model.Verdict {
	switch {
	case status == http.StatusRequestTimeout:
		return model.MayHaveRun
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return model.NotRun
	case status == http.StatusServiceUnavailable:
		return model.NotRun
	default:
		return model.MayHaveRun
	}
}

func baseURL(address string) (string, error) {
	if address == "" {
		return "", oops.Errorf("platform: address is empty")
	}
	if u, err := url.Parse(address); err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return strings.TrimSuffix(address, "/"), nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return "", oops.Wrapf(err, "platform: address must be host:port or a URL")
	}
	return "http://" + address, nil
}
