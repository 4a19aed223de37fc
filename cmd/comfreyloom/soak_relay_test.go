package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// relaySoakSeeds is how many seeds TestRelaySoak plays by itself.
const relaySoakSeeds = 1

// The soak with workers that other core VMs call for the leader: calls are delayed,
// repeated and lost with VMs that are paused, cut off, restarted or killed.
func TestRelaySoak(t *testing.T) {
	playSoaks(t, relaySoakSeeds, func(t *testing.T, seed uint64) {
		site := newMemberSite(t)
		site.workersPerRelay = 1
		newSizedSoak(site, seed).run(seed)
		if !site.hasLogged("calls to workers are made by") {
			t.Error("no process had others call workers")
		}
	})
}

// hasLogged reports whether any core VM has logged a message.
func (s *memberSite) hasLogged(message string) bool {
	for i := range s.coreCount {
		text, err := os.ReadFile(filepath.Join(s.folder, fmt.Sprintf("core%d.log", i)))
		s.must(err)
		if strings.Contains(string(text), `"message":"`+message+`"`) {
			return true
		}
	}
	return false
}

// startRelay starts a relay whose link has a bandwidth in bytes a second, 0 for
// unlimited.
func (s *soak) startRelay(l link, bandwidth int) *relay {
	r := &relay{cuts: map[direction]bool{}, open: map[*relayed]bool{}, link: newSlowLink(bandwidth)}
	listener, err := net.Listen("tcp", l.listen)
	s.must(err)
	s.t.Cleanup(func() { _ = listener.Close() })
	go r.serve(l, listener)
	return r
}
