package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// powerOff kills processes at one moment. Core VMs go on from what a loss of power
// leaves of their disks, those named in lost from empty ones.
func (s *configSoak) powerOff(names, lost []string, until time.Time) {
	running := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return s.processes[n] == nil })
	for _, name := range running {
		s.must(s.processes[name].Process.Signal(syscall.SIGKILL))
	}
	for _, name := range running {
		_ = s.processes[name].Wait()
		delete(s.processes, name)
		delete(s.frozenUntil, name)
		s.downUntil[name] = until
	}
	for _, name := range names {
		switch {
		case slices.Contains(lost, name):
			s.removeDisk(name)
		case strings.HasPrefix(name, "core"):
			s.must(losePower(s.random, s.durableFolder(name), filepath.Join(s.folder, name)))
		}
	}
}

func (s *configSoak) all() []string {
	all := s.cores()
	for i := range s.entryCount {
		all = append(all, fmt.Sprintf("entry%d", i))
	}
	return all
}

// injectConfigFault injects a fault of the soak, a slow or hanging disk, or a loss
// of power or of disks.
func (s *configSoak) injectConfigFault() {
	until := time.Now().Add(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
	switch s.random.IntN(8) {
	case 0:
		s.powerOff(s.cores(), nil, until)
	case 1:
		s.powerOff(s.draw(1+s.random.IntN(s.coreCount)), nil, until)
	case 2:
		s.loseDisks(s.draw(s.lostDisks), false)
	case 3:
		s.slowDisk(s.draw(1)[0], time.Duration(50+s.random.IntN(2000))*time.Millisecond)
	default:
		s.injectFault()
	}
}

// slowDisk makes each sync of a core VM take that long, and those of all others as
// long as usual.
func (s *configSoak) slowDisk(slow string, sync time.Duration) {
	for _, core := range s.cores() {
		file := filepath.Join(s.durableFolder(core), slowFile)
		s.must(ignoreMissing(os.Remove(file)))
		if core == slow && sync > 0 {
			s.must(os.MkdirAll(filepath.Dir(file), 0o700))
			s.must(os.WriteFile(file, []byte(sync.String()), 0o600))
		}
	}
}

// draw returns some core VMs.
func (s *configSoak) draw(count int) []string {
	cores := s.cores()
	s.random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	return cores[:count]
}

// loseDisks loses the disks of core VMs unless others count as lost. With power
// set, all other processes lose their power as well.
func (s *configSoak) loseDisks(lost []string, power bool) bool {
	now := time.Now()
	if now.Before(s.lastWipe.Add(catchUp + time.Second)) {
		return false
	}
	names := lost
	if power {
		names = s.all()
	}
	back := now.Add(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
	s.powerOff(names, lost, back)
	s.lastWipe = back
	return true
}

// awaitCatchUp waits until no VM counts as lost. Until then more lost disks would be
// more than the site tolerates at once, however long ago the last ones were: other
// faults may have kept a leader from repairing anything.
func (s *configSoak) awaitCatchUp() {
	now := time.Now()
	s.recoverFaults(now.Add(time.Hour))
	if s.lastWipe.After(now) {
		s.lastWipe = now // its processes are back earlier than planned
	}
	s.slowDisk("", 0)
	time.Sleep(catchUp + time.Second)
}

// loseDisksAndPower loses the disks of core VMs while all other processes lose
// their power, and waits for the configuration.
func (s *configSoak) loseDisksAndPower(lost []string) {
	if !s.loseDisks(lost, true) {
		s.t.Fatal("other disks still count as lost")
	}
	for len(s.downUntil) > 0 {
		time.Sleep(20 * time.Millisecond)
		s.recoverFaults(time.Now())
	}
	s.awaitReadBack()
}
