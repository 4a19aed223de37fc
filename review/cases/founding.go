package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// foundingTime bounds all foundings of one run.
	foundingTime = 70 * time.Second
	// lostAfter is from a seed's phase active to the loss of its disk.
	lostAfter = 5 * time.Millisecond
	// lostFor is how long the seed is away.
	lostFor = 700 * time.Millisecond
	// leaderBound is when a site must have a leader; "recover-s" is 12 s.
	leaderBound = 20 * time.Second
)

// foundingDiskLost founds one site after the other. In each, the first seed that is
// active in the founding loses its disk at once, which is the loss that a site must
// bear. Each must have a leader in time.
func foundingDiskLost(ctx context.Context, outer *site, trouble bool) (verdict, error) {
	founded := 0
	for outer.record.now() < foundingTime {
		led, err := foundOnce(ctx, outer.record, trouble)
		if err != nil {
			return nil, err
		}
		founded++
		if !led {
			return verdict{fmt.Sprintf("site %d of this run has no leader %v after one of its disks was lost", founded, leaderBound)}, nil
		}
	}
	outer.record.printf("%d sites were founded", founded)
	return nil, nil
}

func foundOnce(ctx context.Context, rec *record, trouble bool) (led bool, err error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.killAll()
	for i := range coreNodes {
		n := &node{name: fmt.Sprintf("core-%d", i), role: "core", index: i}
		s.nodes[n.name] = n
		if err := s.startNode(n, true); err != nil {
			return false, err
		}
	}
	first := s.firstActiveSeed(10 * time.Second)
	if first == nil {
		return false, errors.New("no seed became active")
	}
	if trouble {
		time.Sleep(lostAfter)
		if err := s.kill(first); err != nil {
			return false, err
		}
		// The log goes as well: it says which terms the process led.
		if err := errors.Join(os.RemoveAll(filepath.Join(s.folder, first.name)), os.Remove(s.logFile(first))); err != nil {
			return false, err
		}
		time.Sleep(lostFor)
		if err := s.startNode(first, false); err != nil {
			return false, err
		}
	}
	for began := time.Now(); time.Since(began) < leaderBound && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if s.leader() != nil {
			return true, nil
		}
	}
	return false, ctx.Err()
}

func (s *site) logFile(n *node) string { return filepath.Join(s.folder, n.name+".log") }

// firstActiveSeed returns the first seed whose log says that its disk is active.
func (s *site) firstActiveSeed(atMost time.Duration) *node {
	for began := time.Now(); time.Since(began) < atMost; time.Sleep(500 * time.Microsecond) {
		for i := range 3 {
			n := s.nodes[fmt.Sprintf("core-%d", i)]
			if text, err := os.ReadFile(s.logFile(n)); err == nil && bytes.Contains(text, []byte(`"phase":"active"`)) {
				return n
			}
		}
	}
	return nil
}

// killAll ends all processes at once and removes the folder.
func (s *site) killAll() {
	for _, n := range s.nodes {
		if n.command != nil {
			_ = n.command.Process.Kill() // an error means that it has ended
			<-n.exited
		}
	}
	s.provider.close()
	_ = os.RemoveAll(s.folder)
}
