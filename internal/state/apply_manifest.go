package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// applyManifest makes a manifest the desired state. Revisions strictly increase,
// and of two manifests with the same revision the first in the log wins: if two
// operators race with the same revision, the loser gets a conflict, and no
// accepted manifest is silently replaced.
func (c *core) applyManifest(command *Command, a *ApplyManifest) Result {
	if refused := c.validateManifest(a); refused != "" {
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
	c.addToHistory(a)
	c.record(command, auditEntry{
		action:  "apply-manifest",
		subject: a.Site.Name,
		before:  before,
		after:   describeManifest(c.head.Manifest),
	})
	return Result{Manifest: c.manifestResult(ManifestAccepted)}
}

// validateManifest checks again what the proposer should have checked already.
func (c *core) validateManifest(a *ApplyManifest) Refusal {
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
	return validateUniqueIDs(a.Site)
}

// validateUniqueIDs refuses a site in which two parts of a kind have the same
// ID. All other code finds a part by its ID: two pools with the same ID would
// each be filled up to their own size while only one of them is counted, so VMs
// would be moved in beyond the largest size.
func validateUniqueIDs(s *model.Site) Refusal {
	return cmp.Or(
		findDuplicateID("pool", s.Pools, func(p *model.Pool) model.PoolID { return p.ID }),
		findDuplicateID("service", s.Services, func(s *model.Service) model.ServiceID { return s.ID }),
		findDuplicateID("team", s.Teams, func(t *model.Team) model.TeamID { return t.ID }),
		findDuplicateID("wave", s.Waves, func(w *model.Wave) model.WaveID { return w.ID }),
	)
}

// findDuplicateID refuses the first ID that two of the parts have in common.
func findDuplicateID[P any, ID ~string](kind string, parts []P, id func(*P) ID) Refusal {
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
		return ManifestAlreadyAccepted
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

// acceptedBefore reports whether this manifest was accepted before, even if a
// later one has replaced it since: an operator who lost the reply and resends
// must not be told that the manifest was refused.
func (c *core) acceptedBefore(a *ApplyManifest) bool {
	return slices.ContainsFunc(c.head.History, func(h acceptedManifest) bool {
		return h.Revision == a.Revision && h.Digest == a.Digest
	})
}

// addToHistory records that the manifest was accepted.
func (c *core) addToHistory(a *ApplyManifest) {
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
