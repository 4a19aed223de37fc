package main

import (
	"runtime/debug"
	"syscall"
)

const (
	// collectionPercent is how much the heap of a core VM grows between two garbage
	// collections. Its live heap is a few MB, and at the default of 100 % a busy
	// leader would collect several times a second.
	collectionPercent = 400
	// memoryShare is the share of the VM's memory beyond which the process collects
	// as often as it must to stay below.
	memoryShare = 0.4
)

// tuneMemory trades memory for processor time on a core VM.
func tuneMemory() {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return // without the VM's memory the default is safe
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(info.Totalram) * float64(info.Unit)))
	debug.SetGCPercent(collectionPercent)
}
