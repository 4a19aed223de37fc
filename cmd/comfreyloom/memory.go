package main

import (
	"runtime/debug"

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

// entryMemoryShare is memoryShare of an entry VM, whose heap is what its connections hold.
const entryMemoryShare = 0.6

// tuneMemory bounds the garbage of the process by its memory, and on a core VM trades
// memory for processor time.
func tuneMemory(role settings.Role, l settings.ProcessLimits) {
	share := entryMemoryShare
	if role == settings.RoleCore {
		share = memoryShare
		debug.SetGCPercent(collectionPercent)
	}
	debug.SetMemoryLimit(int64(share * float64(l.MemoryBytes())))
}
