package node

import (
	"errors"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
)

const (
	// maxListed bounds each list in a beat.
	maxListed = 64
	// maxNameBytes bounds the name of a process.
	maxNameBytes = 128
	// maxAge bounds an age; larger ages count as maxAge.
	maxAge = 24 * time.Hour
)

// errInvalidBeat reports that a beat has lists or names out of bounds.
var errInvalidBeat = errors.New("node: the beat is not valid")

// toWire converts a beat to its message.
func (h *Heartbeats) toWire(b membership.Beat) *nodepb.Beat {
	m := &nodepb.Beat{
		Node:             string(b.From),
		Incarnation:      b.Incarnation,
		Sequence:         b.Sequence,
		KnownIncarnation: b.KnownIncarnation,
		Applied:          b.Applied,
		Ready:            b.Ready,
		Leaving:          b.Leaving,
		Leader:           string(b.Leader),
		Term:             b.Term,
		Commit:           b.Commit,
		ViewTerm:         b.View.Term,
		ViewVersion:      b.View.Version,
	}
	if b.Confirmed {
		m.ConfirmedAgeMs = uint64(max(b.ConfirmationAge, 0)/time.Millisecond) + 1
	}
	for _, live := range b.View.Live {
		m.Members = append(m.Members, &nodepb.Member{Node: string(live.Node), Incarnation: live.Incarnation})
	}
	for _, name := range b.Suspects {
		m.Doubts = append(m.Doubts, string(name))
	}
	for _, report := range b.WitnessReports {
		m.WitnessReports = append(m.WitnessReports, &nodepb.WitnessReport{
			Node:        string(report.Node),
			Incarnation: report.Incarnation,
			AgeMs:       uint64(max(report.Age, 0) / time.Millisecond),
			Ready:       report.Ready,
		})
	}
	if h.config.RegistrySync != nil {
		m.RegistryDigest = h.config.RegistrySync.digest()
	}
	return m
}

// fromWire checks a message and converts it to a beat.
func fromWire(m *nodepb.Beat) (membership.Beat, error) {
	if m.Node == "" || len(m.Node) > maxNameBytes || len(m.Members) > maxListed || len(m.Doubts) > maxListed || len(m.WitnessReports) > maxListed {
		return membership.Beat{}, errInvalidBeat
	}
	b := membership.Beat{
		From:             model.NodeID(m.Node),
		Incarnation:      m.Incarnation,
		Sequence:         m.Sequence,
		KnownIncarnation: m.KnownIncarnation,
		Applied:          m.Applied,
		Ready:            m.Ready,
		Leaving:          m.Leaving,
		Leader:           model.NodeID(m.Leader),
		Term:             m.Term,
		Commit:           m.Commit,
		Confirmed:        m.ConfirmedAgeMs > 0,
		View:             membership.View{Term: m.ViewTerm, Version: m.ViewVersion},
	}
	if b.Confirmed {
		b.ConfirmationAge = ageFromMS(m.ConfirmedAgeMs - 1)
	}
	for _, live := range m.Members {
		b.View.Live = append(b.View.Live, membership.Member{Node: model.NodeID(live.Node), Incarnation: live.Incarnation})
	}
	for _, name := range m.Doubts {
		b.Suspects = append(b.Suspects, model.NodeID(name))
	}
	for _, report := range m.WitnessReports {
		b.WitnessReports = append(b.WitnessReports, membership.WitnessReport{
			Node:        model.NodeID(report.Node),
			Incarnation: report.Incarnation,
			Age:         ageFromMS(report.AgeMs),
			Ready:       report.Ready,
		})
	}
	return b, nil
}

// ageFromMS converts milliseconds of any size; it is bounded by maxAge, because
// large ones would overflow.
func ageFromMS(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge/time.Millisecond))) * time.Millisecond
}
