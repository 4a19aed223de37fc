package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// Fault is a way to misbehave.
type Fault uint8

const (
	// FaultNone answers as it should.
	FaultNone Fault = iota
	// FaultBusy refuses with status 503 and the verdict not-run.
	FaultBusy
	// FaultError runs the request and answers with status 500.
	FaultError
	// FaultHang runs the request and answers nothing until Close.
	FaultHang
	// FaultCut runs the request and ends the connection without an answer.
	FaultCut
	// FaultTruncate runs the request and cuts the answer in its middle.
	FaultTruncate
	// FaultTruncateChunks does the same to an answer without a length.
	FaultTruncateChunks
	// FaultUndelimited answers without a length and without chunks.
	FaultUndelimited
	// FaultForeign answers under the id of another request.
	FaultForeign
	// FaultDouble answers twice.
	FaultDouble
)

// Fail lets the next n requests meet a fault; n below 0 means all.
func (u *Upstream) Fail(f Fault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.faulty = f, n
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Query().Has("hang") {
		<-u.hung
		return
	}
	fault, latency, ok := u.begin(keyOf(r, body))
	if !ok {
		refuseBusy(w)
		return
	}
	defer u.end()
	wait(r, latency)
	u.answer(w, r, fault, body)
}

func keyOf(r *http.Request, body []byte) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return string(body)
}

// begin takes a slot and counts the run.
func (u *Upstream) begin(key string) (Fault, time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault := u.nextFault()
	if fault == FaultBusy || u.running >= u.slots {
		return fault, 0, false
	}
	u.running++
	u.peak = max(u.peak, u.running)
	u.runs[key]++
	u.total++
	return fault, u.latency, true
}

func (u *Upstream) nextFault() Fault {
	if u.faulty == 0 {
		return FaultNone
	}
	if u.faulty > 0 {
		u.faulty--
	}
	return u.fault
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func refuseBusy(w http.ResponseWriter) {
	w.Header().Set(model.VerdictHeader, model.NotRun.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func wait(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	id := r.Header.Get(upstream.RequestIDHeader)
	text := u.text(r, body)
	switch fault {
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultHang:
		<-u.hung
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]))
	case FaultTruncateChunks:
		raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text))
	case FaultUndelimited:
		raw(w, "HTTP/1.1 200 OK\r\n\r\n"+string(text))
	case FaultDouble:
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		raw(w, one+one)
	case FaultForeign:
		id = "another-" + id
		fallthrough
	default:
		w.Header().Set(upstream.RequestIDHeader, id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
	}
}

// text is the answer: as many bytes as the query asks for, or an echo.
func (u *Upstream) text(r *http.Request, body []byte) []byte {
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		text := make([]byte, n)
		for i := range text {
			text[i] = byte('a' + i%26)
		}
		return text
	}
	return fmt.Appendf(nil, "%s %s %s %s", u.options.Instance, r.Method, r.URL.RequestURI(), body)
}

// raw writes bytes to the connection as they are and closes it.
func raw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}
