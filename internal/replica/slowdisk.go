package replica

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const (
	// slowSync is a sync that takes too long for a leader: its duty can't take
	// in the answers of the others meanwhile, and a few of them in a row leave
	// it unconfirmed. A healthy disk needs a tenth of it.
	slowSync = 80 * time.Millisecond
	// slowSyncs is how many slow ones in a row make a leader hand over.
	slowSyncs = 2
	// handOverEvery is the least time between two such hand-overs of one voter:
	// where all disks are slow, leadership would otherwise go round in circles.
	handOverEvery = 10 * time.Second
)

// diskPace follows how long syncs take.
type diskPace struct {
	slow     int
	handedAt time.Duration
}

func (p *diskPace) synced(took time.Duration) {
	if took < slowSync {
		p.slow = 0
		return
	}
	p.slow++
}

// mustHandOver says whether the disk is too slow for a leader, at most once in
// handOverEvery.
func (p *diskPace) mustHandOver(now time.Duration) bool {
	if p.slow < slowSyncs || p.handedAt > 0 && now-p.handedAt < handOverEvery {
		return false
	}
	p.handedAt = now
	return true
}

// leaveSlowDisk hands leadership over when this voter's disk has become slow.
// Otherwise the leader would be confirmed and not confirmed by turns for as
// long as that lasts, and refuse requests in between, while the others hear its
// heartbeats and elect nobody.
func (d *driver) leaveSlowDisk() {
	if d.raft.Status().Role != quorum.RoleLeader || !d.disk.mustHandOver(d.config.Clock()) {
		return
	}
	if err := d.transfer(); err != nil {
		d.config.Log.WithError(err).Warn("the disk is slow; leadership could not be handed over")
		return
	}
	d.config.Log.Warn("the disk is slow; handing leadership over")
}
