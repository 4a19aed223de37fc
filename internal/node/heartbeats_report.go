package node

import (
	"slices"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// report logs and counts changes, under the lock.
func (h *Heartbeats) report(now model.Instant) {
	standing := h.core.Status(now)
	h.ageGauge.Update(standing.ConfirmationAge.Milliseconds())
	if standing.Ready != h.wasReady {
		h.logReady(standing)
	}
	lost := !standing.Ready && standing.ConfirmationAge > 0
	if (lost || standing.BehindFor > stuckAfter) && h.config.Unconfirmed != nil {
		h.config.Unconfirmed()
	}
	if view := h.core.View(); view.Newer(h.lastView) {
		h.lastView = view
		h.liveGauge.Update(int64(len(view.Live)))
		h.config.Logger.WithFields(log.Fields{"term": view.Term, "version": view.Version, "live": names(view.Live)}).Info("members changed")
	}
	if broken := h.core.Violations(now); int64(len(broken)) > h.brokenCount.Count() {
		h.brokenCount.Inc(int64(len(broken)) - h.brokenCount.Count())
		h.config.Logger.WithField("broken", broken).Error("membership invariant broken")
	}
}

func (h *Heartbeats) logReady(s membership.Status) {
	h.wasReady = s.Ready
	if s.Ready {
		h.readyGauge.Update(1)
		h.config.Logger.Info("ready")
		return
	}
	h.unready.Inc(1)
	h.readyGauge.Update(0)
	h.config.Logger.WithFields(log.Fields{"reason": s.Reason, "unheard": s.Unresponsive}).Warn("not ready")
}

// names returns the sorted names of members.
func names(members []membership.Member) []model.NodeID {
	list := make([]model.NodeID, 0, len(members))
	for _, m := range members {
		list = append(list, m.Node)
	}
	slices.Sort(list)
	return list
}
