package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// The sockets of memberSite.
const (
	nodesPort = iota
	operatorsPort
	callersPort
	readinessPort
	metricsPort
)

// Sizes of what members send, in bytes. Heads and bodies are within the limits of the
// configuration; reports and configurations are within those of a core VM.
const (
	crowdHead     = 16_000
	crowdBody     = 262_144
	crowdReport   = 1 << 20
	crowdConfig   = 4 << 20
	endlessBytes  = 1 << 20
	pipelinedGets = 2000
)

// crowds returns the crowds at each socket.
func crowds() []crowd {
	jobPath, reportPath := standin.JobPath("00000000000000ff"), standin.ReportPath("i-1")
	all := []crowd{
		{name: "bodies stop short", process: "entry0", port: callersPort, send: body(jobPath, crowdBody, 1)},
		{name: "bodies are whole", process: "entry0", port: callersPort, send: wholeBody(jobPath, standin.ManySteps(crowdBody)), share: 10, awaitsResponse: true},
		{name: "bodies are whole lists", process: "entry0", port: callersPort, send: wholeBody(jobPath, standin.ManyDependencies(crowdBody)), awaitsResponse: true},
		{name: "chunks stop short", process: "entry0", port: callersPort, send: chunks(jobPath)},
		{name: "trailers", process: "entry0", port: callersPort, send: trailers(jobPath)},
		{name: "next heads wait behind a body", process: "entry0", port: callersPort, send: nextHeads(jobPath)},
		{name: "responses stay unread", process: "entry0", port: callersPort, send: unread(jobPath, pipelinedGets), keepsUnread: true},
		{name: "reports stop short", process: "core0", port: operatorsPort, send: body(reportPath, crowdReport, 1), share: 2},
		{name: "configurations are whole", process: "core0", port: operatorsPort, send: wholeBody(standin.ConfigPath, standin.ManyQueues(crowdConfig)), share: 100, awaitsResponse: true},
		{name: "waves are whole lists", process: "core0", port: operatorsPort, send: wholeBody(standin.WaveStartPath, standin.ManyVMs(crowdConfig)), share: 20, awaitsResponse: true},
		{name: "read configurations stay unread", process: "core0", port: operatorsPort, prepare: manyQueues, send: unread(standin.ConfigReadPath, 3), keepsUnread: true, share: 2},
		{name: "calls stop short", process: atLeader, port: nodesPort, send: calls("seeded", controlpb.ControlPathPrefix+"Ask")},
	}
	all = append(all, crowdsAt("callers", "entry0", callersPort)...)
	all = append(all, crowdsAt("readiness", "entry0", readinessPort)...)
	all = append(all, crowdsAt("metrics", "entry0", metricsPort)...)
	all = append(all, crowdsAt("operators", "core0", operatorsPort)...)
	all = append(all, crowdsAt("metrics of a core VM", "core0", metricsPort)...)
	all = append(all, crowd{name: "nothing is sent at nodes", process: atLeader, port: nodesPort, send: nothing, silent: true})
	return withSizes(all)
}

// jobCrowds returns the crowds whose jobs are accepted and stay.
func jobCrowds() []crowd {
	accepted := func(name, body string, size int) crowd {
		return crowd{name: name, process: atLeader, through: "entry0", port: callersPort, send: wholeJobs(body), size: size}
	}
	return []crowd{
		accepted("many tasks", standin.JobOfManyTasks, jobSenders),
		accepted("long names", standin.JobWithLongName(crowdBody), jobSenders),
		accepted("many dependencies", standin.JobWithManyDependencies(crowdBody), jobSenders),
		accepted("many occurrences", standin.RepeatedJob, 1),
	}
}

// crowdsAt returns the crowds that come to every socket for HTTP/1.1.
func crowdsAt(socket, process string, port int) []crowd {
	start := "GET / HTTP/1.1\r\nHost: plans.example\r\n"
	return []crowd{
		{name: "short lines at " + socket, process: process, port: port, send: shortLines},
		{name: "endless heads at " + socket, process: process, port: port, send: endless(start, "X: 1\r\n")},
		{name: "endless empty lines at " + socket, process: process, port: port, send: endless("", "\r\n")},
		{name: "nothing is sent at " + socket, process: process, port: port, send: nothing, silent: true},
	}
}

// withSizes sets the size of crowds that have none.
func withSizes(all []crowd) []crowd {
	sizes := currentCrowdSizes()
	for i := range all {
		c := &all[i]
		switch {
		case c.size > 0:
		case c.silent:
			c.size = sizes.emptySize
		default:
			c.size = sizes.size / max(c.share, 1)
		}
	}
	return all
}

func nothing(net.Conn, int) error { return nil }

func head(method, path, rest string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: plans.example\r\nContent-Type: application/json\r\n%s\r\n", method, path, rest)
}

// body sends a body in pieces and leaves out its end.
func body(path string, size, missing int) func(net.Conn, int) error {
	return methodBody("POST", path, size, missing)
}

func methodBody(method, path string, size, missing int) func(net.Conn, int) error {
	return func(c net.Conn, _ int) error {
		return sendBody(c, head(method, path, fmt.Sprintf("Content-Length: %d\r\n", size)), size-missing)
	}
}

// sendBody sends a head and then size bytes of a body, in pieces.
func sendBody(c net.Conn, head string, size int) error {
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	rest := []byte(standin.JobStart + strings.Repeat("x", size))[:size]
	for len(rest) > 0 {
		n, err := c.Write(rest[:min(len(rest), 32<<10)])
		if err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// wholeBody sends a whole body.
func wholeBody(path, text string) func(net.Conn, int) error {
	request := []byte(head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text)
	return func(c net.Conn, _ int) error {
		_, err := c.Write(request)
		return err
	}
}

// wholeJobs sends one job after the other, each under an ID of its own.
func wholeJobs(text string) func(net.Conn, int) error {
	return func(c net.Conn, member int) error {
		responses := bufio.NewReader(c)
		for i := range crowdJobsEach {
			path := standin.JobPath(fmt.Sprintf("%016x", crowdJobs+member*crowdJobsEach+i))
			request := head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text
			if _, err := io.WriteString(c, request); err != nil {
				return err
			}
			response, err := http.ReadResponse(responses, nil)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, response.Body) // the next response follows
		}
		return nil
	}
}

// jobSenders is the number of members that send jobs, crowdJobsEach how many each sends.
const (
	jobSenders    = 4
	crowdJobsEach = 100
)

// crowdJobs is below the IDs of the jobs of crowds.
const crowdJobs = 1 << 32

// chunks sends a body a byte a chunk, and no last chunk.
func chunks(path string) func(net.Conn, int) error {
	request := []byte(head("POST", path, "Transfer-Encoding: chunked\r\n") + strings.Repeat("1\r\n \r\n", crowdBody-1))
	return func(c net.Conn, _ int) error {
		_, err := c.Write(request)
		return err
	}
}

// trailers sends many short trailers after a chunked body, without an end.
func trailers(path string) func(net.Conn, int) error {
	request := []byte(head("POST", path, "Transfer-Encoding: chunked\r\n") + "1\r\n \r\n0\r\n" + lines(endlessBytes))
	return func(c net.Conn, _ int) error {
		_, err := c.Write(request)
		return err
	}
}

// lines returns header lines of a few bytes with different names.
func lines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\n", letters[i%36], letters[i/36%36], letters[i/1296%36])
	}
	return b.String()
}

// shortLines sends a head of many short lines, and a body without its end.
func shortLines(c net.Conn, _ int) error {
	request := head("POST", standin.JobPath("00000000000000fe"), "Content-Length: 100\r\n"+lines(crowdHead)) + "{"
	_, err := io.WriteString(c, request)
	return err
}

// nextHeads sends a small request together with the head of the next one, whose body
// never comes.
func nextHeads(path string) func(net.Conn, int) error {
	first := head("GET", path, "")
	next := head("POST", path, "Content-Length: 100\r\n"+lines(3700))
	return func(c net.Conn, _ int) error {
		_, err := io.WriteString(c, first+next)
		return err
	}
}

// endless sends a start, and then a piece many times.
func endless(start, piece string) func(net.Conn, int) error {
	block := []byte(strings.Repeat(piece, 4096/len(piece)))
	return func(c net.Conn, _ int) error {
		if _, err := io.WriteString(c, start); err != nil {
			return err
		}
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// unread sends many requests at once, whose responses nobody reads.
func unread(path string, requests int) func(net.Conn, int) error {
	text := []byte(strings.Repeat(head("GET", path, ""), requests))
	return func(c net.Conn, _ int) error {
		_ = c.(deadlineConn).Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err := c.Write(text)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return nil // the peer doesn't read on, as expected
		}
		return err
	}
}

// manyQueues stores a configuration of more than a megabyte.
func manyQueues(h crowdHost) {
	var prefixes []string
	for i := range 10_000 {
		prefixes = append(prefixes, fmt.Sprintf("/more/%d/", i))
	}
	h.(*crowdSite).replaceConfig(prefixes)
}

// errNotRead ends a body that the peer doesn't read.
var errNotRead = errors.New("the peer doesn't read")

// calls makes calls to a socket for the site's own processes, over HTTP/2, whose bodies
// never end.
func calls(site, path string) func(net.Conn, int) error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return func(c net.Conn, _ int) error {
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }}
		for range 4 {
			if err := call(transport, site, "http://"+c.RemoteAddr().String()+path); err != nil {
				return err
			}
		}
		return nil
	}
}

// call makes one call whose body never ends.
func call(transport *http.Transport, site, url string) error {
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, url, reader)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/protobuf")
	request.Header.Set("Comfreyloom-Site", site)
	go func() {
		if response, err := transport.RoundTrip(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	timer := time.AfterFunc(crowdWriteTimeout, func() { _ = writer.CloseWithError(errNotRead) })
	_, err = writer.Write(make([]byte, 256<<10))
	if timer.Stop(); err != nil && !errors.Is(err, errNotRead) {
		return err
	}
	return nil
}
