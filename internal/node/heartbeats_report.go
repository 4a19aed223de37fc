package node

import (
	"slices"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// report logs and counts changes of readiness, view and invariants, under the
// lock.
func (h *Heartbeats) report(now model.Instant) {
	status := h.core.Status(now)
	h.ageGauge.Update(status.ConfirmationAge.Milliseconds())
	if status.Ready != h.wasReady {
		h.logReady(status)
	}
	lostConfirmation := !status.Ready && status.ConfirmationAge > 0
	if (lostConfirmation || status.BehindFor > feedStalledAfter) && h.config.OnUnconfirmed != nil {
		h.config.OnUnconfirmed()
	}
	if view := h.core.View(); view.Newer(h.lastView) {
		h.lastView = view
		h.liveGauge.Update(int64(len(view.Live)))
		h.config.Logger.WithFields(log.Fields{"term": view.Term, "version": view.Version, "live": memberNames(view.Live)}).Info("members changed")
	}
	if violations := h.core.Violations(now); int64(len(violations)) > h.violations.Count() {
		h.violations.Inc(int64(len(violations)) - h.violations.Count())
		h.config.Logger.WithField("broken", violations).Error("membership invariant violated")
	}
}

// logReady logs and counts a change of readiness.
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

// memberNames returns the sorted names of members.
func memberNames(members []membership.Member) []model.NodeID {
	list := make([]model.NodeID, 0, len(members))
	for _, m := range members {
		list = append(list, m.Node)
	}
	slices.Sort(list)
	return list
}
