package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// applyManifest makes a manifest the desired state. Revisions only grow, and
// of two manifests with the same revision the first in the log wins: operators
// who race with equal numbers learn who won, and nobody's accepted manifest is
// silently replaced.
func (c *core) applyManifest(command *Command, a *ApplyManifest) Result {
	if refused := c.badManifest(a); refused != "" {
		return Result{Refused: refused}
	}
	outcome := c.manifestOutcome(a)
	if outcome != ManifestAccepted {
		return Result{Manifest: c.manifestResult(outcome)}
	}
	c.guardRevision(a)
	before := describeManifest(c.head.Manifest)
	c.head.Manifest = manifest{Text: a.Text, Digest: a.Digest, Index: c.index, Site: a.Site}
	c.site = newSiteIndex(a.Site)
	c.remember(a)
	c.record(command, entry{
		action:  "apply-manifest",
		subject: a.Site.Name,
		before:  before,
		after:   describeManifest(c.head.Manifest),
	})
	return Result{Manifest: c.manifestResult(ManifestAccepted)}
}

// badManifest refuses what the proposer should have refused already.
func (c *core) badManifest(a *ApplyManifest) Refusal {
	if a.Site == nil || a.Revision == 0 || a.Site.Revision != a.Revision {
		return "the manifest's parsed form does not belong to its revision"
	}
	if len(a.Text) > MaxManifest {
		return refusef("the manifest has more than %d bytes", MaxManifest)
	}
	sum := sha256.Sum256(a.Text)
	if hex.EncodeToString(sum[:]) != a.Digest {
		return "the manifest's digest does not belong to its text"
	}
	current := c.head.Manifest.Site
	if current != nil && current.Name != a.Site.Name {
		return refusef("the site is %q, not %q", current.Name, a.Site.Name)
	}
	return namedTwice(a.Site)
}

// namedTwice refuses a site that gives one ID to two parts. Everything else
// finds a part by its ID: of two pools under one ID each would be filled up to
// the size of its own while only one of the two is counted, so that VMs are
// moved beyond the largest size.
func namedTwice(s *model.Site) Refusal {
	return cmp.Or(
		sharedID("pool", s.Pools, func(p *model.Pool) model.PoolID { return p.ID }),
		sharedID("service", s.Services, func(s *model.Service) model.ServiceID { return s.ID }),
		sharedID("team", s.Teams, func(t *model.Team) model.TeamID { return t.ID }),
		sharedID("wave", s.Waves, func(w *model.Wave) model.WaveID { return w.ID }),
	)
}

// sharedID names the first ID that two of the parts have.
func sharedID[P any, ID ~string](kind string, parts []P, id func(*P) ID) Refusal {
	seen := make(map[ID]bool, len(parts))
	for i := range parts {
		name := id(&parts[i])
		if seen[name] {
			return refusef("the manifest names %s %q twice", kind, name)
		}
		seen[name] = true
	}
	return ""
}

func (c *core) manifestOutcome(a *ApplyManifest) ManifestOutcome {
	current := c.head.Manifest
	if current.Site == nil || c.rules.SkipRevision {
		return ManifestAccepted
	}
	if c.acceptedBefore(a) {
		return ManifestAlready
	}
	switch {
	case a.Revision > current.Site.Revision:
		return ManifestAccepted
	case a.Revision == current.Site.Revision:
		return ManifestConflict
	default:
		return ManifestStale
	}
}

// acceptedBefore reports whether this very manifest was accepted, also when a
// later one replaced it meanwhile: an operator who lost the answer and sends
// again must not be told that the manifest was refused.
func (c *core) acceptedBefore(a *ApplyManifest) bool {
	return slices.ContainsFunc(c.head.History, func(h acceptedManifest) bool {
		return h.Revision == a.Revision && h.Digest == a.Digest
	})
}

func (c *core) remember(a *ApplyManifest) {
	history := append(slices.Clone(c.head.History), acceptedManifest{a.Revision, a.Digest, c.index})
	c.head.History = history[max(0, len(history)-ManifestHistory):]
}

func (c *core) manifestResult(o ManifestOutcome) *ManifestResult {
	return &ManifestResult{
		Outcome:  o,
		Revision: c.head.Manifest.Site.Revision,
		Digest:   c.head.Manifest.Digest,
		Index:    c.head.Manifest.Index,
	}
}

func describeManifest(m manifest) string {
	if m.Site == nil {
		return "none"
	}
	return fmt.Sprintf("revision %d, digest %s", m.Site.Revision, m.Digest)
}
