package replica

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const (
	// slowSyncTime is the duration from which a sync is too slow for a leader:
	// its driver cannot process replies meanwhile, and a few slow syncs in a row
	// leave the leader unconfirmed. A healthy disk needs a tenth of it.
	slowSyncTime = 80 * time.Millisecond
	// minSlowSyncs is the number of consecutive slow syncs after which a leader
	// hands over.
	minSlowSyncs = 2
	// handoverInterval is the minimum time between two such handovers by one
	// voter. Without it leadership would move in circles where all disks are
	// slow.
	handoverInterval = 10 * time.Second
	// fasterRatio limits the sync time of a new leader to this share of the
	// current leader's. A voter that is hardly faster would hand over as well.
	fasterRatio = 0.5
	// longestSyncDecay is the share of the longest recent sync time that is
	// dropped with each faster sync: after eight of them a tenth is left.
	longestSyncDecay = 0.25
)

// syncTimes tracks how long syncs take.
type syncTimes struct {
	consecutiveSlow int
	lastHandover    time.Duration
	// longest is the longest recent sync time, which decays with faster syncs.
	longest time.Duration
}

// record adds the duration of one sync.
func (t *syncTimes) record(took time.Duration) {
	t.longest = max(took, t.longest-time.Duration(longestSyncDecay*float64(t.longest)))
	if took < slowSyncTime {
		t.consecutiveSlow = 0
		return
	}
	t.consecutiveSlow++
}

// ticks returns the longest recent sync time in ticks, 0 while the disk is
// fast.
func (t *syncTimes) ticks(tickInterval time.Duration) int {
	if t.longest < slowSyncTime {
		return 0
	}
	return int((t.longest + tickInterval - 1) / tickInterval)
}

// allowsHandover reports whether the disk is too slow for a leader. When it
// returns true it records now as the time of the handover, so it does so at
// most once per handoverInterval.
func (t *syncTimes) allowsHandover(now time.Duration) bool {
	if t.consecutiveSlow < minSlowSyncs || t.lastHandover > 0 && now-t.lastHandover < handoverInterval {
		return false
	}
	t.lastHandover = now
	return true
}

// clearlyFaster reports whether a voter's disk is so much faster that a
// handover is worthwhile; own is the sync time of the leader in ticks.
func clearlyFaster(p quorum.PeerStatus, own int) bool {
	return float64(p.SyncTicks) <= fasterRatio*float64(own)
}

// handOverIfDiskSlow transfers leadership when the disk of this leader has
// become slow. Otherwise the leader would keep losing and regaining its
// confirmation for as long as that lasts and refuse requests in between, while
// the others receive its heartbeats and hold no election.
//
// Where all voters sync to one slow storage the next leader would be no better,
// and each change of leader causes refused requests; then leadership stays.
func (d *driver) handOverIfDiskSlow() {
	if d.syncTimes.consecutiveSlow < minSlowSyncs || d.raft.Status().Role != quorum.RoleLeader {
		return
	}
	own := d.syncTimes.ticks(d.config.TickInterval)
	faster := func(p quorum.PeerStatus) bool { return clearlyFaster(p, own) }
	if !slices.ContainsFunc(d.raft.Peers(), faster) || !d.syncTimes.allowsHandover(d.config.Clock()) {
		return
	}
	if err := d.transferTo(faster); err != nil {
		d.config.Log.WithError(err).Warn("the disk is slow; leadership could not be handed over")
		return
	}
	d.config.Log.Warn("the disk is slow; handing leadership over")
}
