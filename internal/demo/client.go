package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

// apiRequest is one request to an entry VM.
type apiRequest struct {
	method, address, path, body string
	headers                     map[string]string
}

// apiResponse is the response to an apiRequest.
type apiResponse struct {
	status  int
	verdict string
	body    []byte
	took    time.Duration
}

var client = &http.Client{Timeout: 20 * time.Second}

func (e apiRequest) do(ctx context.Context) (apiResponse, error) {
	r, err := http.NewRequestWithContext(ctx, e.method, "http://"+e.address+e.path, strings.NewReader(e.body))
	if err != nil {
		return apiResponse{}, err
	}
	for name, value := range e.headers {
		r.Header.Set(name, value)
	}
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return apiResponse{
		status: response.StatusCode, verdict: response.Header.Get(model.VerdictHeader),
		body: body, took: time.Since(start),
	}, err
}

// expect sends the request once and fails unless the response has the status.
func (e apiRequest) expect(ctx context.Context, status int) (apiResponse, error) {
	response, err := e.do(ctx)
	if err == nil && response.status != status {
		err = fmt.Errorf("%s %s: status %d (%s): %s", e.method, e.path, response.status, response.verdict, response.body)
	}
	return response, err
}

// status returns the status that an entry VM reports to operators.
func (s *Site) status(ctx context.Context, i int) (operator.Status, error) {
	var status operator.Status
	response, err := apiRequest{method: http.MethodGet, address: s.addresses[i].operators, path: "/status"}.expect(ctx, http.StatusOK)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(response.body, &status)
}

// await polls until done returns true or ctx is done.
func await(ctx context.Context, what string, done func() (bool, error)) error {
	var last error
	for ctx.Err() == nil {
		ok, err := done()
		if ok {
			return nil
		}
		last = err
		steady.Pause(ctx, pollInterval)
	}
	if last != nil {
		return fmt.Errorf("%s: %w", what, last)
	}
	return fmt.Errorf("%s: did not happen in time", what)
}
