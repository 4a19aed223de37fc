package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// View is an immutable snapshot of the tables for readers and pure cores.
// Maps and records are never changed after the view was taken.
type View struct {
	// Index is the last log index applied.
	Index uint64
	// Term is the highest controller term seen.
	Term uint64
	// Site is nil until the first manifest is accepted.
	Site           *model.Site
	ManifestText   []byte
	ManifestDigest string
	// ManifestIndex is where the manifest in force was accepted.
	ManifestIndex uint64

	Owners      map[model.VMID]*model.Ownership
	Permits     map[model.VMID]*model.Permit
	Maintained  map[model.VMID]*model.Maintained // the last wave of each VM
	Jobs        map[model.JobID]*model.Job
	Tasks       map[model.TaskID]*model.Task
	Quarantines map[model.WorkerID]*model.Quarantine
	// Digest covers all tables; equal on all VMs at the same index.
	Digest string
}
