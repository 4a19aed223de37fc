package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: for as long as a leader's disk is slow, requests are refused every
// few hundred milliseconds. Sequence: each sync takes 225 ms, the leader's duty
// takes in no answers meanwhile, its lease lapses and comes back, the others
// hear its heartbeats and elect nobody. Cause: a slow disk kept the leader.
func TestASlowDiskHandsOverOnce(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var p diskPace
	p.synced(225 * time.Millisecond)
	is.True(!p.mustHandOver(now)) // one may be chance
	p.synced(9 * time.Millisecond)
	p.synced(225 * time.Millisecond)
	is.True(!p.mustHandOver(now))
	p.synced(225 * time.Millisecond)
	is.True(p.mustHandOver(now))
	p.synced(225 * time.Millisecond)
	is.True(!p.mustHandOver(now + time.Second)) // all disks may be slow
	is.True(p.mustHandOver(now + handOverEvery))
}
