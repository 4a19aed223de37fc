package state

import "github.com/comfreyloom/comfreyloom/internal/model"

// Command is one entry of the control log. Exactly one of the pointers is set.
type Command struct {
	// ID makes a resend harmless; a command with a known ID yields the first result.
	ID model.CommandID `cbor:"1,keyasint"`
	// At is the leader's clock when it proposed the command.
	At model.Instant `cbor:"2,keyasint"`
	// Actor is who asked, for the audit trail.
	Actor string `cbor:"3,keyasint"`
	// Cause is why, in words, for the audit trail.
	Cause string `cbor:"4,keyasint,omitempty"`
	// Term fences the controller: when not 0, the command is refused once a
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

// ClaimRequest reserves a key before the first byte of a request leaves.
type ClaimRequest struct {
	Claim model.Claim `cbor:"1,keyasint"`
}

// SettleRequest records the outcome of a claimed request. Only the owner and
// incarnation that claimed may settle; anyone may settle as ClaimUnknown once
// the owner is known to be gone (Takeover).
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

// SubmitJob enters a job. The same ID with the same spec yields the first answer.
type SubmitJob struct {
	Spec model.JobSpec `cbor:"1,keyasint"`
}

// CancelJobs cancels a batch of jobs: queued ones never start, running ones
// are marked so that the controller stops them.
type CancelJobs struct {
	Jobs []model.JobID `cbor:"1,keyasint"`
}

// ForgetJobs drops jobs that ended before the instant. Until then a resend of
// a job's submission finds it and starts nothing.
type ForgetJobs struct {
	Before model.Instant `cbor:"1,keyasint"`
}

// StartTerm is the first command of a new leader; it fences earlier terms.
type StartTerm struct {
	Leader model.NodeID `cbor:"1,keyasint"`
}

// Plan is what the controller decided in one round. Each action is checked
// again when it is applied; one that no longer holds is refused by itself,
// with a reason, and the others go on.
type Plan struct {
	Actions []Action `cbor:"1,keyasint"`
}

// Action is one decision of the controller. Exactly one of the pointers is set.
type Action struct {
	// Reason says why, in words, for the audit trail and for status.
	Reason string `cbor:"1,keyasint,omitempty"`

	BeginMove     *BeginMove     `cbor:"10,keyasint,omitempty"`
	FinishMove    *FinishMove    `cbor:"11,keyasint,omitempty"`
	ForgetVM      *ForgetVM      `cbor:"12,keyasint,omitempty"`
	Grant         *Grant         `cbor:"13,keyasint,omitempty"`
	SetPhase      *SetPhase      `cbor:"14,keyasint,omitempty"`
	Release       *Release       `cbor:"15,keyasint,omitempty"`
	StartTask     *StartTask     `cbor:"16,keyasint,omitempty"`
	RenewTasks    *RenewTasks    `cbor:"17,keyasint,omitempty"`
	UpdateTask    *UpdateTask    `cbor:"18,keyasint,omitempty"`
	EndTask       *EndTask       `cbor:"19,keyasint,omitempty"`
	SetJob        *SetJob        `cbor:"20,keyasint,omitempty"`
	SetQuarantine *SetQuarantine `cbor:"21,keyasint,omitempty"`
}

// BeginMove starts to take a VM out of its pool. A VM that has no entry yet
// is entered directly in Target with generation 1.
type BeginMove struct {
	VM         model.VMID   `cbor:"1,keyasint"`
	Target     model.PoolID `cbor:"2,keyasint"`
	Generation uint64       `cbor:"3,keyasint"` // the generation the decision saw; 0 for a new VM
}

// FinishMove commits the new pool. It is refused while a task of the VM is
// still recorded or the VM holds a permit.
type FinishMove struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
}

// ForgetVM drops the entry of a VM that the platform no longer lists.
type ForgetVM struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
}

// Grant commits a permit. It is refused when the VM holds one, is moving, or
// went through the wave already.
type Grant struct {
	VM     model.VMID   `cbor:"1,keyasint"`
	Wave   model.WaveID `cbor:"2,keyasint"`
	BootID string       `cbor:"3,keyasint"`
}

// SetPhase moves a permit forward. It is refused when the generation differs
// or the phase would go back.
type SetPhase struct {
	VM         model.VMID             `cbor:"1,keyasint"`
	Generation uint64                 `cbor:"2,keyasint"`
	Phase      model.MaintenancePhase `cbor:"3,keyasint"`
}

// Release ends a permit. Done says that the VM went through the wave; false
// gives the VM back without maintenance.
type Release struct {
	VM         model.VMID `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
	Done       bool       `cbor:"3,keyasint"`
}

// StartTask commits an attempt and its lease, before the platform is called.
// It is refused when the VM is in another pool, moving or under a permit,
// the job is not queued, or the service's ordinal already has a task.
type StartTask struct {
	Task model.Task   `cbor:"1,keyasint"`
	Pool model.PoolID `cbor:"2,keyasint"`
}

// RenewTasks extends leases to one common instant.
type RenewTasks struct {
	Tasks      []model.TaskID `cbor:"1,keyasint"`
	LeaseUntil model.Instant  `cbor:"2,keyasint"`
	// AllBut renews every task except those in Tasks, so that the size of a
	// renewal does not grow with the site. A lease recorded longer than the
	// worker's is safe: its job only waits longer.
	AllBut bool `cbor:"3,keyasint,omitempty"`
}

// UpdateTask changes state or throttling of a task.
type UpdateTask struct {
	Task      model.TaskID    `cbor:"1,keyasint"`
	State     model.TaskState `cbor:"2,keyasint"`
	Throttled bool            `cbor:"3,keyasint"`
}

// TaskOutcome says how a task ended.
type TaskOutcome uint8

const (
	// OutcomeSucceeded: the task ended with success.
	OutcomeSucceeded TaskOutcome = iota + 1
	// OutcomeFailed: the task ended without success.
	OutcomeFailed
	// OutcomeNeverStarted: the platform refused the start and promises that it did not run.
	OutcomeNeverStarted
	// OutcomeStopped: we stopped it; it may have done part of its work.
	OutcomeStopped
	// OutcomeLapsed: its lease lapsed without a word; it may have run.
	OutcomeLapsed
)

// EndTask removes a task and says what becomes of its job: an idempotent job
// goes back to the queue after OutcomeStopped and OutcomeLapsed, another one
// becomes JobOutcomeUnknown; OutcomeNeverStarted requeues both.
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

// Refusal says why a command or action had no effect.
type Refusal string

// Result is what applying a command yields; the same on every VM.
type Result struct {
	// Index is the log index of the command.
	Index uint64 `cbor:"1,keyasint"`
	// Refused is empty when the command took effect, or had done so before.
	Refused Refusal `cbor:"2,keyasint,omitempty"`

	Manifest *ManifestResult `cbor:"3,keyasint,omitempty"`
	Claim    *ClaimResult    `cbor:"4,keyasint,omitempty"`
	Job      *model.Job      `cbor:"5,keyasint,omitempty"`
	// Actions has one entry for each action of a Plan and each job of a
	// CancelJobs, empty when it took effect.
	Actions []Refusal `cbor:"6,keyasint,omitempty"`
	// Batch has one entry for each command of a Batch.
	Batch []Result `cbor:"7,keyasint,omitempty"`
}

// ManifestOutcome says what became of a manifest.
type ManifestOutcome uint8

const (
	// ManifestAccepted: it is now the desired state.
	ManifestAccepted ManifestOutcome = iota + 1
	// ManifestAlready: this revision with this digest was accepted before.
	ManifestAlready
	// ManifestConflict: another manifest has this revision.
	ManifestConflict
	// ManifestStale: a later revision is in force.
	ManifestStale
)

// ManifestResult answers ApplyManifest. Revision, Digest and Index are those
// of the manifest that is in force; Index is where it was accepted.
type ManifestResult struct {
	Outcome  ManifestOutcome `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Digest   string          `cbor:"3,keyasint"`
	Index    uint64          `cbor:"4,keyasint"`
}

// ClaimResult answers ClaimRequest. Granted says that the asker, and nobody
// else, may send the request now; otherwise Existing is the earlier claim.
type ClaimResult struct {
	Granted  bool         `cbor:"1,keyasint"`
	Existing *model.Claim `cbor:"2,keyasint,omitempty"`
}
