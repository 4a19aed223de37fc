package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// sentConfig is a configuration that an operator sent. Two operators may send
// different ones under one version; the others are variants.
type sentConfig struct {
	text     string
	prefixes map[string]bool
}

// configLedger records what operators sent and were told, and what must hold of
// every later answer.
type configLedger struct {
	mu sync.Mutex
	// sent holds the variants of each version.
	sent map[int][]sentConfig
	// floor is the highest version that was acknowledged or read.
	floor, maxSent int
	violations     []string
	reads, probes  int
}

func (l *configLedger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// bounds returns the lowest and the highest version that may be in force now.
func (l *configLedger) bounds() (floor, highest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floor, l.maxSent
}

func (l *configLedger) add(version int, c sentConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[version] = append(l.sent[version], c)
	l.maxSent = max(l.maxSent, version)
}

func (l *configLedger) acknowledged(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, version)
}

// read checks a configuration that a VM returned to a request sent when floor
// held. What was read stays in force under its version.
func (l *configLedger) read(vm string, floor int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	version := standin.ConfigVersion(text)
	if version < floor {
		l.addViolation("%s returns version %d after %d", vm, version, floor)
	}
	i := slices.IndexFunc(l.sent[version], func(c sentConfig) bool { return c.text == text })
	if i < 0 {
		l.addViolation("%s returns version %d, which is not what was sent or read under it", vm, version)
		return
	}
	l.sent[version] = []sentConfig{l.sent[version][i]}
	l.floor = max(l.floor, version)
}

// probe checks whether a VM's answer to a caller agrees with one of the versions
// that may have been in force.
func (l *configLedger) probe(vm, prefix string, floor int, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probes++
	for version, variants := range l.sent {
		if version < floor {
			continue
		}
		for _, c := range variants {
			if c.prefixes[prefix] == served {
				return
			}
		}
	}
	l.addViolation("%s serves %s: %v, as no version from %d on allows", vm, prefix, served, floor)
}
