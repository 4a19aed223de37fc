package main

import (
	"runtime/debug"
	"syscall"

	"github.com/comfreyloom/comfreyloom/internal/settings"
)

const (
	// collectionPercent is how much the heap of a core VM grows between two garbage
	// collections. Its live heap is a few MB, and at the default of 100 % a busy
	// leader would collect several times a second.
	collectionPercent = 400
	// memoryShare is the share of the process's memory beyond which it collects as
	// often as it must to stay below.
	memoryShare = 0.4
)

// tuneMemory trades memory for processor time on a core VM, within the limit of
// the settings.
func tuneMemory(l settings.MemberLimits) {
	memory := memoryLimit(l)
	if memory == 0 {
		return // without the VM's memory the default is safe
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
	debug.SetGCPercent(collectionPercent)
}

// memoryLimit returns the memory that the process may use, in bytes: that of the
// settings, else that of the VM. It is 0 if neither is known.
func memoryLimit(l settings.MemberLimits) int64 {
	if l.Memory > 0 {
		return l.Memory
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
