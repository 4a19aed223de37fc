package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
)

// reviseMain is an operators' pipeline: it applies one revision after another of
// the manifest -f at the entry VMs given by number, in turn, and sends each one
// again until it is accepted. At SIGTERM it finishes the current revision, waits
// until it is in force at all these VMs, and fails when a different text was
// accepted instead or an accepted revision was lost.
func reviseMain() {
	p := &pipeline{}
	flag.StringVar(&p.file, "f", "site.ini", "manifest of revision 1")
	pause := flag.Duration("pause", 20*time.Millisecond, "pause after each revision")
	flag.Parse()
	text, err := os.ReadFile(p.file)
	exitOn(err)
	p.nodes = flag.Args()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	for revision := 2; ctx.Err() == nil; revision++ {
		revised := strings.Replace(string(text), "revision = 1\n", fmt.Sprintf("revision = %d\n", revision), 1)
		exitOn(p.applyUntilAccepted([]byte(revised), revision))
		time.Sleep(*pause)
	}
	exitOn(p.awaitInForce())
	fmt.Printf("revisions accepted: %d, in force everywhere; sent again: %d, slowest %v\n",
		p.accepted, p.resent, p.slowest.Round(time.Millisecond))
}

type pipeline struct {
	file             string
	nodes            []string
	accepted, resent int
	digest           string
	slowest          time.Duration
}

// applyUntilAccepted sends one revision until it is accepted.
func (p *pipeline) applyUntilAccepted(text []byte, revision int) error {
	start := time.Now()
	var last error
	for try := 0; time.Since(start) < scriptTimeout; try++ {
		address := os.Getenv("OPERATORS" + p.nodes[(revision+try)%len(p.nodes)])
		var decision operator.ManifestResponse
		decision, last = putManifest(address, text)
		switch {
		case last != nil:
			p.resent++
			time.Sleep(10 * time.Millisecond)
		case decision.Digest == manifest.Digest(text):
			p.accepted, p.digest = revision, decision.Digest
			p.slowest = max(p.slowest, time.Since(start))
			return nil
		default:
			return fmt.Errorf("revision %d: %s: %s", revision, decision.Outcome, decision.Message)
		}
	}
	return fmt.Errorf("revision %d was not accepted: %w", revision, last)
}

// putManifest returns the decision, or an error when there was none or it is unknown.
func putManifest(address string, text []byte) (operator.ManifestResponse, error) {
	var decision operator.ManifestResponse
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/manifest", bytes.NewReader(text))
	if err != nil {
		return decision, err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return decision, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&decision); err != nil {
		return decision, err
	}
	if decision.Outcome == "" {
		return decision, fmt.Errorf("status %d, %s", response.StatusCode, response.Header.Get(model.VerdictHeader))
	}
	return decision, nil
}

func (p *pipeline) awaitInForce() error {
	var last string
	for end := time.Now().Add(scriptTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		last = ""
		for _, node := range p.nodes {
			s, err := statusOf(os.Getenv("OPERATORS" + node))
			if err != nil || s.Digest != p.digest {
				last = fmt.Sprintf("n%s has revision %d, %v", node, s.Revision, err)
			}
		}
		if last == "" {
			return nil
		}
	}
	return fmt.Errorf("revision %d was accepted and is not in force everywhere: %s", p.accepted, last)
}
