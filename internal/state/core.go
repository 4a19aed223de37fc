package state

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Salts of the row hashes, one for each table, and of the digest. They must never
// change: VMs with different builds compare their digests.
const (
	saltOwner byte = iota + 1
	saltPermit
	saltMaintained
	saltJob
	saltTask
	saltQuarantine
	saltClaim
	saltDigest
	saltCommand
)

// core holds the tables, the counts derived from them for quick checks, and the
// applied log index. It is not synchronized; Machine locks it.
type core struct {
	rules  Rules
	hasher rowHasher
	head   head
	index  uint64
	site   *siteIndex

	owners      *table[model.VMID, model.Ownership]
	permits     *table[model.VMID, model.Permit]
	maintained  *table[model.VMID, model.Maintained]
	jobs        *table[model.JobID, model.Job]
	tasks       *table[model.TaskID, model.Task]
	quarantines *table[model.WorkerID, model.Quarantine]
	claims      *table[model.RequestKey, model.Claim]

	// specs holds the digest of each job's spec as submitted.
	specs      map[model.JobID]string
	answers    answerQueue
	dedup      dedupTable
	audit      auditTail
	derived    derived
	violations []Violation
}

// head holds the parts of the state that are not rows of a table.
type head struct {
	Term     uint64       `cbor:"1,keyasint"`
	Leader   model.NodeID `cbor:"2,keyasint"`
	Manifest manifest     `cbor:"3,keyasint"`
	// History holds the last accepted manifests, the newest at the end.
	History []acceptedManifest `cbor:"4,keyasint"`
	// RetiredGeneration is the highest generation of any forgotten VM: a VM
	// that is listed again starts above it, so that no old command matches it.
	RetiredGeneration uint64 `cbor:"5,keyasint"`
	// PermitGeneration and TaskGeneration are the last generations given to a
	// permit and a task.
	PermitGeneration uint64 `cbor:"6,keyasint"`
	TaskGeneration   uint64 `cbor:"7,keyasint"`
}

// manifest is the desired state in force.
type manifest struct {
	Text   []byte      `cbor:"1,keyasint"`
	Digest string      `cbor:"2,keyasint"`
	Index  uint64      `cbor:"3,keyasint"`
	Site   *model.Site `cbor:"4,keyasint"`
}

// acceptedManifest records that a manifest was accepted, even after a later one
// has replaced it.
type acceptedManifest struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Index    uint64 `cbor:"3,keyasint"`
}

func newCore(rules Rules) *core {
	c := &core{rules: rules, site: newSiteIndex(nil), specs: map[model.JobID]string{}}
	c.owners = newTable[model.VMID, model.Ownership](saltOwner, &c.hasher)
	c.permits = newTable[model.VMID, model.Permit](saltPermit, &c.hasher)
	c.maintained = newTable[model.VMID, model.Maintained](saltMaintained, &c.hasher)
	c.jobs = newTable[model.JobID, model.Job](saltJob, &c.hasher)
	c.tasks = newTable[model.TaskID, model.Task](saltTask, &c.hasher)
	c.quarantines = newTable[model.WorkerID, model.Quarantine](saltQuarantine, &c.hasher)
	c.claims = newTable[model.RequestKey, model.Claim](saltClaim, &c.hasher)
	c.dedup = newDedupTable()
	c.derived = newDerived()
	return c
}

// view returns a View that shares the tables; see table for the copy on write.
func (c *core) view() *View {
	return &View{
		Index:          c.index,
		Term:           c.head.Term,
		Site:           c.head.Manifest.Site,
		ManifestText:   c.head.Manifest.Text,
		ManifestDigest: c.head.Manifest.Digest,
		ManifestIndex:  c.head.Manifest.Index,
		Owners:         c.owners.share(),
		Permits:        c.permits.share(),
		Maintained:     c.maintained.share(),
		Jobs:           c.jobs.share(),
		Tasks:          c.tasks.share(),
		Quarantines:    c.quarantines.share(),
		Digest:         c.digest(),
	}
}

// digestInput is what the digest of the state covers.
type digestInput struct {
	Index         uint64   `cbor:"1,keyasint"`
	Term          uint64   `cbor:"2,keyasint"`
	Manifest      string   `cbor:"3,keyasint"`
	ManifestIndex uint64   `cbor:"4,keyasint"`
	Generations   []uint64 `cbor:"5,keyasint"`
	Sums          []uint64 `cbor:"6,keyasint"`
	Audit         string   `cbor:"7,keyasint"`
	Commands      uint64   `cbor:"8,keyasint"`
}

// digest covers every table through its incremental hash sum, so its cost does
// not grow with the state. It detects divergence, not forgery.
func (c *core) digest() string {
	h := c.head
	input := digestInput{
		Index:         c.index,
		Term:          h.Term,
		Manifest:      h.Manifest.Digest,
		ManifestIndex: h.Manifest.Index,
		Generations:   []uint64{h.RetiredGeneration, h.PermitGeneration, h.TaskGeneration},
		Sums: []uint64{
			c.owners.sum, c.permits.sum, c.maintained.sum, c.jobs.sum,
			c.tasks.sum, c.quarantines.sum, c.claims.sum,
		},
		Audit:    c.audit.digest,
		Commands: c.dedup.sum,
	}
	var hasher rowHasher
	return fmt.Sprintf("%016x", hasher.sum(saltDigest, input))
}
