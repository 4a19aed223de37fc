package main

import (
	"io"
	"net/http"
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := wire.encode(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // a failed write means that the client has gone
}

// exchange sends a request and returns the status and body of the answer.
func exchange(c *http.Client, r *http.Request) (int, []byte, error) {
	response, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
