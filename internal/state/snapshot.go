package state

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// snapshotVersion is the version of the format that this build writes and reads.
const snapshotVersion = 1

// ErrSnapshotVersion means that a snapshot has another format version.
var ErrSnapshotVersion = errors.New("state: snapshot has another version")

// ErrSnapshotDigest means that a snapshot does not match its own digest.
var ErrSnapshotDigest = errors.New("state: snapshot does not match its digest")

// snapshotFile is the encoded form of the whole state. Rows are sorted by key, so
// that equal states encode to equal bytes.
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
	Answers     []model.RequestKey  `cbor:"11,keyasint"`
	Commands    []dedupEntry        `cbor:"12,keyasint"`
	Audit       auditSnapshot       `cbor:"13,keyasint"`
	Digest      string              `cbor:"14,keyasint"`
}

// jobRow is a job with the digest of its spec as submitted.
type jobRow struct {
	Job  *model.Job `cbor:"1,keyasint"`
	Spec []byte     `cbor:"2,keyasint"`
}

// auditSnapshot holds the newest records of the audit trail; Sequence and Digest
// are those of the last record appended.
type auditSnapshot struct {
	Records  []model.AuditRecord `cbor:"1,keyasint"`
	Sequence uint64              `cbor:"2,keyasint"`
	Digest   string              `cbor:"3,keyasint"`
}

// frozenState is an immutable copy of the state. Its tables are shared as in a
// View, so that encoding them does not block the applier.
type frozenState struct {
	view  *View
	head  head
	specs map[model.JobID]string

	claims  map[model.RequestKey]*model.Claim
	answers []model.RequestKey
	dedup   []dedupEntry
	audit   auditSnapshot
}

func (c *core) freeze(v *View) *frozenState {
	return &frozenState{
		view:    v,
		head:    c.head,
		specs:   maps.Clone(c.specs),
		claims:  c.claims.share(),
		answers: slices.Clone(c.answers.keys),
		dedup:   c.dedup.entries(),
		audit: auditSnapshot{
			Records:  slices.Clone(c.audit.newest()),
			Sequence: c.audit.sequence,
			Digest:   c.audit.digest,
		},
	}
}

func (f *frozenState) encode() ([]byte, error) {
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
		Answers:     f.answers,
		Commands:    f.dedup,
		Audit:       f.audit,
		Digest:      f.view.Digest,
	})
}

// restoreCore builds a core from a snapshot and verifies its digest, so that a
// damaged or incorrectly assembled snapshot is never installed.
func restoreCore(data []byte, rules Rules) (*core, error) {
	var f snapshotFile
	if err := codec.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("state: snapshot can't be decoded: %w", err)
	}
	if f.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: %d; this build reads %d", ErrSnapshotVersion, f.Version, snapshotVersion)
	}
	if f.hasNilRow() {
		return nil, ErrSnapshotDigest
	}
	c := newCore(rules)
	c.index = f.Index
	c.head = f.Head
	c.site = newSiteIndex(f.Head.Manifest.Site)
	c.putRows(&f)
	for i := range f.Commands {
		c.dedup.add(&c.hasher, f.Commands[i].ID, &f.Commands[i].Result)
	}
	c.answers.keys = f.Answers
	c.audit = auditTail{records: f.Audit.Records, sequence: f.Audit.Sequence, digest: f.Audit.Digest}
	if c.digest() != f.Digest {
		return nil, ErrSnapshotDigest
	}
	return c, nil
}

// hasNilRow reports whether a row is nil, which no build writes.
func (f *snapshotFile) hasNilRow() bool {
	noJob := slices.ContainsFunc(f.Jobs, func(r jobRow) bool { return r.Job == nil })
	return noJob || slices.Contains(f.Owners, nil) || slices.Contains(f.Permits, nil) ||
		slices.Contains(f.Maintained, nil) || slices.Contains(f.Tasks, nil) ||
		slices.Contains(f.Quarantines, nil) || slices.Contains(f.Claims, nil)
}

// putRows adds the rows of a snapshot to the tables.
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
