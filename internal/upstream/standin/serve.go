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

// Fault is a fault that the stand-in injects.
type Fault uint8

const (
	// FaultNone responds normally.
	FaultNone Fault = iota
	// FaultBusy refuses with status 503 and the verdict not-run.
	FaultBusy
	// FaultError runs the request and responds with status 500.
	FaultError
	// FaultHang runs the request and sends no response before Close.
	FaultHang
	// FaultCut runs the request and ends the connection without a response.
	FaultCut
	// FaultTruncate runs the request and ends the connection in the middle of
	// the response.
	FaultTruncate
	// FaultTruncateChunks does the same to a response in chunks.
	FaultTruncateChunks
	// FaultUndelimited responds without a length and without chunks.
	FaultUndelimited
	// FaultWrongID responds with the ID of another request.
	FaultWrongID
	// FaultDuplicate responds twice.
	FaultDuplicate
)

// InjectFault injects a fault into the next n requests; n below 0 means all.
func (u *Upstream) InjectFault(f Fault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.faultsLeft = f, n
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Query().Has("hang") {
		<-u.closing
		return
	}
	fault, latency, ok := u.begin(keyOf(r, body))
	if !ok {
		refuseBusy(w)
		return
	}
	defer u.end()
	wait(r, latency)
	u.respond(w, r, fault, body)
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
	if u.faultsLeft == 0 {
		return FaultNone
	}
	if u.faultsLeft > 0 {
		u.faultsLeft--
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

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	id := r.Header.Get(upstream.RequestIDHeader)
	text := u.responseText(r, body)
	switch fault {
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultHang:
		<-u.closing
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultTruncate:
		writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]))
	case FaultTruncateChunks:
		writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text))
	case FaultUndelimited:
		writeRaw(w, "HTTP/1.1 200 OK\r\n\r\n"+string(text))
	case FaultDuplicate:
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		writeRaw(w, one+one)
	case FaultWrongID:
		id = "another-" + id
		fallthrough
	default:
		w.Header().Set(upstream.RequestIDHeader, id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
	}
}

// responseText returns the body of the response: as many bytes as the query
// asks for, or an echo of the request.
func (u *Upstream) responseText(r *http.Request, body []byte) []byte {
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n >= 0 {
		text := make([]byte, n)
		for i := range text {
			text[i] = byte('a' + i%26)
		}
		return text
	}
	return fmt.Appendf(nil, "%s %s %s %s", u.options.Instance, r.Method, r.URL.RequestURI(), body)
}

// writeRaw writes text to the connection as it is and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}
