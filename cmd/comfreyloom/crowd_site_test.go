package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// crowdSite is a site with small processes.
type crowdSite struct {
	*memberSite
	operators []string
	version   int
	jobs      int
}

// crowdLimits returns the keys of a section [limits].
func crowdLimits() string {
	sizes := currentCrowdSizes()
	return fmt.Sprintf("memory = %dMB\ndescriptors = %d\n", sizes.memory/1_000_000, sizes.descriptors)
}

// buildProgram builds the program as it is built for use: the race detector needs several
// times as much memory.
func (s *memberSite) buildProgram() {
	s.program = filepath.Join(s.folder, "program")
	if out, err := exec.Command("go", "build", "-o", s.program, ".").CombinedOutput(); err != nil {
		s.t.Fatalf("build: %v\n%s", err, out)
	}
}

// newCrowdSite starts a site.
func newCrowdSite(t *testing.T) *crowdSite {
	s := &crowdSite{memberSite: newSizedMemberSite(t, memberCores, 1, 1)}
	s.buildProgram()
	s.limits = "[limits]\n" + crowdLimits()
	for i := range memberCores {
		name := fmt.Sprintf("core%d", i)
		s.start(name, true)
		s.operators = append(s.operators, s.address(name, 1))
	}
	s.start("entry0", false)
	s.replaceConfig(nil)
	return s
}

// replaceConfig sends a configuration with one more queue for each prefix until it is
// accepted.
func (s *crowdSite) replaceConfig(prefixes []string) {
	s.version++
	body := standin.ConfigWithLimits(s.version, prefixes)
	attempt := 0
	s.waitFor("the configuration is accepted", func() bool {
		attempt++
		status, _ := s.call(http.MethodPost, s.operators[attempt%len(s.operators)], standin.ConfigPath, body)
		return status == http.StatusOK
	})
}

func (s *crowdSite) site() *memberSite { return s.memberSite }

func (s *crowdSite) socketAddress(process string, port int) string { return s.address(process, port) }

func (s *crowdSite) restart(process string) {
	s.kill(process)
	s.start(process, false)
}

func (s *crowdSite) awaitOrdinary(process string) {
	s.t.Helper()
	s.waitFor("counters are read", func() bool { return s.answers(http.MethodGet, process, 4, "/", "") })
	if strings.HasPrefix(process, "entry") {
		s.jobs++
		path, body := standin.JobPath(fmt.Sprintf("%016x", s.jobs)), standin.Job{Count: 1, MilliCPU: 500, RunMS: 50, EstimateMS: 50}.Body()
		s.waitFor("a job is accepted", func() bool { return s.answers(http.MethodPost, process, 2, path, body) })
		s.waitFor("its state is told", func() bool { return s.answers(http.MethodGet, process, 2, path, "") })
		s.waitFor("the balancer's check passes", func() bool { return s.answers(http.MethodGet, process, 3, "/readyz", "") })
		return
	}
	s.waitFor("a report is acknowledged", func() bool {
		return s.answers(http.MethodPost, process, 1, standin.ReportPath("i-9"), standin.ReportBody)
	})
	s.waitFor("the configuration is read", func() bool { return s.answers(http.MethodGet, process, 1, standin.ConfigReadPath, "") })
}

func (s *crowdSite) answers(method, process string, port int, path, body string) bool {
	status, _ := s.call(method, s.address(process, port), path, body)
	return status == http.StatusOK
}
