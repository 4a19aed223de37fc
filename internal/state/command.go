package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// Command is one entry of the control log. Exactly one of the pointers is set.
type Command struct {
	// ID deduplicates resends; a command with a known ID yields the first result.
	ID model.CommandID `cbor:"1,keyasint"`
	// At is the time at the leader when it proposed the command.
	At model.Instant `cbor:"2,keyasint"`
	// Actor is who issued the command, for the audit trail.
	Actor string `cbor:"3,keyasint"`
	// Cause is the reason as text, for the audit trail.
	Cause string `cbor:"4,keyasint,omitempty"`
	// Term fences the controller: if not 0, the command is refused once a
	// command of a later term was applied.
	Term uint64 `cbor:"5,keyasint,omitempty"`

	ApplyManifest *ApplyManifest `cbor:"10,keyasint,omitempty"`
	ClaimRequest  *ClaimRequest  `cbor:"11,keyasint,omitempty"`
	SettleRequest *SettleRequest `cbor:"12,keyasint,omitempty"`
	ForgetClaims  *ForgetClaims  `cbor:"13,keyasint,omitempty"`
	SubmitJob     *SubmitJob     `cbor:"14,keyasint,omitempty"`
	CancelJobs    *CancelJobs    `cbor:"15,keyasint,omitempty"`
	Plan          *Plan          `cbor:"16,keyasint,omitempty"`
	StartTerm     *StartTerm     `cbor:"17,keyasint,omitempty"`
	// Batch applies several commands as one entry, in order; it does not nest.
	Batch      []Command   `cbor:"18,keyasint,omitempty"`
	ForgetJobs *ForgetJobs `cbor:"19,keyasint,omitempty"`
}

// ApplyManifest makes a manifest the desired state.
type ApplyManifest struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the hex SHA-256 of Text.
	Digest string `cbor:"2,keyasint"`
	Text   []byte `cbor:"3,keyasint"`
	// Site is the parsed form of Text.
	Site *model.Site `cbor:"4,keyasint"`
}

// ClaimRequest reserves a key before the first byte of a request is sent.
type ClaimRequest struct {
	Claim model.Claim `cbor:"1,keyasint"`
}

// SettleRequest records the outcome of a claimed request. Only the owner and
// incarnation that claimed it may settle it; any process may settle it as
// ClaimUnknown once the owner is known to be lost (Takeover).
type SettleRequest struct {
	Key         model.RequestKey  `cbor:"1,keyasint"`
	Owner       model.NodeID      `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"`
	State       model.ClaimState  `cbor:"4,keyasint"`
	Verdict     model.Verdict     `cbor:"5,keyasint"`
	Answer      *model.KeptAnswer `cbor:"6,keyasint,omitempty"`
	Takeover    bool              `cbor:"7,keyasint,omitempty"`
}

// ForgetClaims drops claims whose deadline lies before the instant.
type ForgetClaims struct {
	Before model.Instant `cbor:"1,keyasint"`
}

// SubmitJob stores a new job. The same ID with the same spec yields the existing
// job.
type SubmitJob struct {
	Spec model.JobSpec `cbor:"1,keyasint"`
}

// CancelJobs cancels a batch of jobs: queued jobs never start, running ones are
// marked so that the controller stops them.
type CancelJobs struct {
	Jobs []model.JobID `cbor:"1,keyasint"`
}

// ForgetJobs drops jobs that ended before the instant. Until then a repeated
// submission of the job finds it and starts nothing.
type ForgetJobs struct {
	Before model.Instant `cbor:"1,keyasint"`
}

// StartTerm is the first command of a new leader; it fences earlier terms.
type StartTerm struct {
	Leader model.NodeID `cbor:"1,keyasint"`
}

// Plan holds the controller's decisions of one round. Each action is checked
// again when it is applied; one that is no longer valid is refused with a
// reason, without affecting the others.
type Plan struct {
	Actions []Action `cbor:"1,keyasint"`
}

// Action is one decision of the controller. Exactly one of the pointers is set.
type Action struct {
	// Reason explains the decision, for the audit trail and for status.
	Reason string `cbor:"1,keyasint,omitempty"`

	BeginMove     *BeginMove     `cbor:"10,keyasint,omitempty"`
	FinishMove    *FinishMove    `cbor:"11,keyasint,omitempty"`
	ForgetVM      *ForgetVM      `cbor:"12,keyasint,omitempty"`
	GrantPermit   *GrantPermit   `cbor:"13,keyasint,omitempty"`
	SetPhase      *SetPhase      `cbor:"14,keyasint,omitempty"`
	ReleasePermit *ReleasePermit `cbor:"15,keyasint,omitempty"`
	StartTask     *StartTask     `cbor:"16,keyasint,omitempty"`
	RenewTasks    *RenewTasks    `cbor:"17,keyasint,omitempty"`
	UpdateTask    *UpdateTask    `cbor:"18,keyasint,omitempty"`
	EndTask       *EndTask       `cbor:"19,keyasint,omitempty"`
	SetJob        *SetJob        `cbor:"20,keyasint,omitempty"`
	SetQuarantine *SetQuarantine `cbor:"21,keyasint,omitempty"`
}

// BeginMove starts moving a VM out of its pool. A VM without an ownership entry
// gets one directly in Target, with a generation above that of every forgotten
// VM.
type BeginMove struct {
	VM         model.VMID   `cbor:"1,keyasint"`
	Target     model.PoolID `cbor:"2,keyasint"`
	Generation uint64       `cbor:"3,keyasint"` // the generation that the decision is based on; 0 for a new VM
}

// FinishMove commits the new pool. It is refused while a task of the VM is
// recorded or the VM has a permit.
type FinishMove struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
}

// ForgetVM drops the ownership entry of a VM that the platform no longer lists.
type ForgetVM struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
}

// GrantPermit commits a maintenance permit. It is refused if the VM has one, is
// moving, or has been through the wave already.
type GrantPermit struct {
	VM     model.VMID   `cbor:"1,keyasint"`
	Wave   model.WaveID `cbor:"2,keyasint"`
	BootID string       `cbor:"3,keyasint"`
}

// SetPhase advances the phase of a permit. It is refused if the generation
// differs or the phase would go back.
type SetPhase struct {
	VM         model.VMID             `cbor:"1,keyasint"`
	Generation uint64                 `cbor:"2,keyasint"`
	Phase      model.MaintenancePhase `cbor:"3,keyasint"`
}

// ReleasePermit ends a permit. Done reports whether the VM's maintenance is
// complete; if false, the VM is released without it.
type ReleasePermit struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
	Done       bool       `cbor:"3,keyasint"`
}

// StartTask commits an attempt and its lease, before the platform is called.
// It is refused if the VM is in another pool, moving or under maintenance, if
// the job is not queued, or if the service's ordinal already has a task.
type StartTask struct {
	Task model.Task   `cbor:"1,keyasint"`
	Pool model.PoolID `cbor:"2,keyasint"`
}

// RenewTasks extends leases to a common instant.
type RenewTasks struct {
	Tasks      []model.TaskID `cbor:"1,keyasint"`
	LeaseUntil model.Instant  `cbor:"2,keyasint"`
	// AllExcept renews every task except those in Tasks, so that the size of a
	// renewal does not grow with the site. It is safe if the recorded lease is
	// longer than the worker's: the job only waits longer for its next attempt.
	AllExcept bool `cbor:"3,keyasint,omitempty"`
}

// UpdateTask changes the state or throttling of a task.
type UpdateTask struct {
	Task      model.TaskID    `cbor:"1,keyasint"`
	State     model.TaskState `cbor:"2,keyasint"`
	Throttled bool            `cbor:"3,keyasint"`
}

// TaskOutcome is how a task ended.
type TaskOutcome uint8

const (
	// OutcomeSucceeded means that the task succeeded.
	OutcomeSucceeded TaskOutcome = iota + 1
	// OutcomeFailed means that the task ended without success.
	OutcomeFailed
	// OutcomeNeverStarted means that the platform refused the start and
	// guarantees that the task did not run.
	OutcomeNeverStarted
	// OutcomeStopped means that the controller stopped the task; it may have
	// done part of its work.
	OutcomeStopped
	// OutcomeLapsed means that the lease lapsed without a report; the task may
	// have run.
	OutcomeLapsed
)

// EndTask removes a task and updates its job: after OutcomeStopped and
// OutcomeLapsed an idempotent job is queued again and any other job becomes
// JobOutcomeUnknown; after OutcomeNeverStarted either is queued again.
type EndTask struct {
	Task    model.TaskID `cbor:"1,keyasint"`
	Outcome TaskOutcome  `cbor:"2,keyasint"`
	// Moved counts the stop as a relocation of the job.
	Moved bool `cbor:"3,keyasint,omitempty"`
}

// SetJob changes the state of a job that has no task (held, unplaceable,
// queued with a new reason).
type SetJob struct {
	Job    model.JobID    `cbor:"1,keyasint"`
	State  model.JobState `cbor:"2,keyasint"`
	Reason string         `cbor:"3,keyasint"`
}

// SetQuarantine puts a worker into quarantine, or takes it out (Release).
type SetQuarantine struct {
	Quarantine model.Quarantine `cbor:"1,keyasint"`
	Release    bool             `cbor:"2,keyasint,omitempty"`
}

// Refusal is the reason why a command or action had no effect.
type Refusal string

// Result is the result of applying a command, the same on every VM.
type Result struct {
	// Index is the log index of the command.
	Index uint64 `cbor:"1,keyasint"`
	// Refused is empty if the command took effect, now or before.
	Refused Refusal `cbor:"2,keyasint,omitempty"`

	Manifest *ManifestResult `cbor:"3,keyasint,omitempty"`
	Claim    *ClaimResult    `cbor:"4,keyasint,omitempty"`
	Job      *model.Job      `cbor:"5,keyasint,omitempty"`
	// Actions has one entry for each action of a Plan or each job of a
	// CancelJobs, empty if it took effect.
	Actions []Refusal `cbor:"6,keyasint,omitempty"`
	// Batch has one entry for each command of a Batch.
	Batch []Result `cbor:"7,keyasint,omitempty"`
}

// ManifestOutcome is the outcome of ApplyManifest.
type ManifestOutcome uint8

const (
	// ManifestAccepted means that the manifest is now the desired state.
	ManifestAccepted ManifestOutcome = iota + 1
	// ManifestAlreadyAccepted means that this revision with this digest was
	// accepted before.
	ManifestAlreadyAccepted
	// ManifestConflict means that another manifest has this revision.
	ManifestConflict
	// ManifestStale means that a later revision is in force.
	ManifestStale
)

// ManifestResult is the result of ApplyManifest. Revision, Digest and Index are
// those of the manifest in force; Index is the log index that accepted it.
type ManifestResult struct {
	Outcome  ManifestOutcome `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Digest   string          `cbor:"3,keyasint"`
	Index    uint64          `cbor:"4,keyasint"`
}

// ClaimResult is the result of ClaimRequest. If Granted is set, only the process
// that claimed the key may send the request now; otherwise Existing is the
// earlier claim.
type ClaimResult struct {
	Granted  bool         `cbor:"1,keyasint"`
	Existing *model.Claim `cbor:"2,keyasint,omitempty"`
}
