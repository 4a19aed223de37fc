package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// View is an immutable snapshot of the tables for readers. Its maps and records
// never change.
type View struct {
	// Index is the last log index applied.
	Index uint64
	// Term is the highest controller term applied.
	Term uint64
	// Site is nil until the first manifest is accepted.
	Site           *model.Site
	ManifestText   []byte
	ManifestDigest string
	// ManifestIndex is the log index that accepted the manifest in force.
	ManifestIndex uint64

	Owners      map[model.VMID]*model.Ownership
	Permits     map[model.VMID]*model.Permit
	Maintained  map[model.VMID]*model.Maintained // the last maintenance of each VM
	Jobs        map[model.JobID]*model.Job
	Tasks       map[model.TaskID]*model.Task
	Quarantines map[model.WorkerID]*model.Quarantine
	// Digest covers all tables; it is equal on all VMs at the same index.
	Digest string
}
