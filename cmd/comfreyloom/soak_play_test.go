package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// playSoaks plays the first seeds, or those that COMFREYLOOM_SOAK names.
func playSoaks(t *testing.T, count int, play func(*testing.T, uint64)) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	first := 1
	if from, number, ok := strings.Cut(os.Getenv("COMFREYLOOM_SOAK"), ":"); ok {
		first, _ = strconv.Atoi(from)
		count, _ = strconv.Atoi(number)
	}
	for seed := uint64(first); seed < uint64(first+count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed) })
	}
}
