package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// Guards against a leader that stays on a slow disk: each sync takes 225 ms,
// the driver processes no replies meanwhile, and the lease lapses and is
// renewed, while the others receive its heartbeats and hold no election.
// Requests are then refused every few hundred milliseconds for as long as the
// disk is slow.
func TestSlowDiskHandsOverOnce(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	var times syncTimes
	times.record(225 * time.Millisecond)
	is.True(!times.allowsHandover(now)) // a single slow sync is not enough
	times.record(9 * time.Millisecond)
	times.record(225 * time.Millisecond)
	is.True(!times.allowsHandover(now))
	times.record(225 * time.Millisecond)
	is.True(times.allowsHandover(now))
	times.record(225 * time.Millisecond)
	is.True(!times.allowsHandover(now + time.Second)) // all disks may be slow
	is.True(times.allowsHandover(now + handoverInterval))
}

// Guards against leadership that moves in circles, with refused requests at
// each change: all voters sync to one busy storage, and a leader hands over to
// a voter whose syncs take as long, which hands over in turn. A leader must
// leave a slow disk only for one that is known to be faster.
func TestHandoverOnlyToFasterDisk(t *testing.T) {
	is := is.New(t)
	const tick = 100 * time.Millisecond
	var times syncTimes
	times.record(9 * time.Millisecond)
	is.Equal(times.ticks(tick), 0)
	times.record(390 * time.Millisecond)
	own := times.ticks(tick)
	is.Equal(own, 4)
	is.True(!clearlyFaster(quorum.PeerStatus{SyncTicks: 4}, own))
	is.True(!clearlyFaster(quorum.PeerStatus{SyncTicks: 3}, own))
	is.True(clearlyFaster(quorum.PeerStatus{SyncTicks: 0}, own))
	for range 8 {
		times.record(9 * time.Millisecond)
	}
	is.Equal(times.ticks(tick), 0) // the disk is fast again
}
