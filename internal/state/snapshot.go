package state

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// snapshotVersion is the format that this build writes and reads.
const snapshotVersion = 1

// ErrSnapshotVersion says that a snapshot was written by another format.
var ErrSnapshotVersion = errors.New("state: snapshot has another version")

// ErrSnapshotDigest says that a snapshot does not match its own digest.
var ErrSnapshotDigest = errors.New("state: snapshot does not match its digest")

// snapshotFile is the encoded form of the whole state. Every list is in the
// order of its keys, so that equal states encode to equal bytes.
type snapshotFile struct {
	Version     int                 `cbor:"1,keyasint"`
	Index       uint64              `cbor:"2,keyasint"`
	Head        head                `cbor:"3,keyasint"`
	Owners      []*model.Ownership  `cbor:"4,keyasint"`
	Permits     []*model.Permit     `cbor:"5,keyasint"`
	Maintained  []*model.Maintained `cbor:"6,keyasint"`
	Jobs        []jobRow            `cbor:"7,keyasint"`
	Tasks       []*model.Task       `cbor:"8,keyasint"`
	Quarantines []*model.Quarantine `cbor:"9,keyasint"`
	Claims      []*model.Claim      `cbor:"10,keyasint"`
	Kept        []model.RequestKey  `cbor:"11,keyasint"`
	Commands    []remembered        `cbor:"12,keyasint"`
	Audit       auditPart           `cbor:"13,keyasint"`
	Digest      string              `cbor:"14,keyasint"`
}

// jobRow is a job with the digest of its spec as submitted.
type jobRow struct {
	Job  *model.Job `cbor:"1,keyasint"`
	Spec []byte     `cbor:"2,keyasint"`
}

// auditPart is the tail of the trail; Sequence and Digest are those of the
// last record ever made.
type auditPart struct {
	Records  []model.AuditRecord `cbor:"1,keyasint"`
	Sequence uint64              `cbor:"2,keyasint"`
	Digest   string              `cbor:"3,keyasint"`
}

// frozen is a state that changes no more: the tables are shared as with a
// view, so that encoding them does not hold up the applier.
type frozen struct {
	view  *View
	head  head
	specs map[model.JobID]string

	claims   map[model.RequestKey]*model.Claim
	kept     []model.RequestKey
	commands []remembered
	audit    auditPart
}

func (c *core) freeze(v *View) *frozen {
	return &frozen{
		view:     v,
		head:     c.head,
		specs:    maps.Clone(c.specs),
		claims:   c.claims.share(),
		kept:     slices.Clone(c.kept.keys),
		commands: c.commands.inOrder(),
		audit: auditPart{
			Records:  slices.Clone(c.audit.kept()),
			Sequence: c.audit.sequence,
			Digest:   c.audit.digest,
		},
	}
}

func (f *frozen) encode() ([]byte, error) {
	jobs := sortedRows(f.view.Jobs)
	rows := make([]jobRow, 0, len(jobs))
	for _, job := range jobs {
		rows = append(rows, jobRow{job, []byte(f.specs[job.Spec.ID])})
	}
	return codec.Marshal(snapshotFile{
		Version:     snapshotVersion,
		Index:       f.view.Index,
		Head:        f.head,
		Owners:      sortedRows(f.view.Owners),
		Permits:     sortedRows(f.view.Permits),
		Maintained:  sortedRows(f.view.Maintained),
		Jobs:        rows,
		Tasks:       sortedRows(f.view.Tasks),
		Quarantines: sortedRows(f.view.Quarantines),
		Claims:      sortedRows(f.claims),
		Kept:        f.kept,
		Commands:    f.commands,
		Audit:       f.audit,
		Digest:      f.view.Digest,
	})
}

// restoreCore builds a core from a snapshot and checks its digest, so that a
// snapshot which was damaged or wrongly assembled never becomes the state.
func restoreCore(data []byte, rules Rules) (*core, error) {
	var f snapshotFile
	if err := codec.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("state: snapshot can't be decoded: %w", err)
	}
	if f.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %d; this build reads %d", ErrSnapshotVersion, f.Version, snapshotVersion)
	}
	if f.holdsNil() {
		return nil, ErrSnapshotDigest
	}
	c := newCore(rules)
	c.index = f.Index
	c.head = f.Head
	c.site = newSiteIndex(f.Head.Manifest.Site)
	c.putRows(&f)
	for i := range f.Commands {
		c.commands.remember(&c.hasher, f.Commands[i].ID, &f.Commands[i].Result)
	}
	c.kept.keys = f.Kept
	c.audit = auditTail{records: f.Audit.Records, sequence: f.Audit.Sequence, digest: f.Audit.Digest}
	if c.digest() != f.Digest {
		return nil, ErrSnapshotDigest
	}
	return c, nil
}

// holdsNil reports a row that is missing, which no build writes.
func (f *snapshotFile) holdsNil() bool {
	noJob := slices.ContainsFunc(f.Jobs, func(r jobRow) bool { return r.Job == nil })
	return noJob || slices.Contains(f.Owners, nil) || slices.Contains(f.Permits, nil) ||
		slices.Contains(f.Maintained, nil) || slices.Contains(f.Tasks, nil) ||
		slices.Contains(f.Quarantines, nil) || slices.Contains(f.Claims, nil)
}

func (c *core) putRows(f *snapshotFile) {
	for _, row := range f.Owners {
		c.putOwner(row)
	}
	for _, row := range f.Permits {
		c.putPermit(row)
	}
	for _, row := range f.Maintained {
		c.maintained.put(row.VM, row)
	}
	for _, row := range f.Jobs {
		c.specs[row.Job.Spec.ID] = string(row.Spec)
		c.putJob(row.Job)
	}
	for _, row := range f.Tasks {
		c.putTask(row)
	}
	for _, row := range f.Quarantines {
		c.quarantines.put(row.Worker, row)
	}
	for _, row := range f.Claims {
		c.putClaim(row)
	}
}
