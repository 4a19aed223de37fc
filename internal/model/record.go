package model

import "time"

// VM is a VM as the platform lists it, with its last observed state. It is
// soft state: a new leader reads it from the platform again.
type VM struct {
	ID       VMID
	Worker   WorkerID
	Zone     ZoneID
	Rack     RackID
	Capacity Resources
	Health   VMHealth
	// HealthSince is when Health last changed.
	HealthSince Instant
	// BootID changes at every reboot.
	BootID string
	// Drained reports whether the platform has stopped starting tasks on the VM.
	Drained bool
	// Usage is measured and lags behind the actual usage; UsageAt is when it was
	// measured.
	Usage   Resources
	UsageAt Instant
}

// VMHealth is the health of a VM as the platform reports it.
type VMHealth uint8

const (
	// VMUnknown: the heartbeat is late or was never received.
	VMUnknown VMHealth = iota
	// VMUp: the VM answers.
	VMUp
	// VMDown: the platform reports that the VM failed.
	VMDown
	// VMRebooting: the VM is rebooting.
	VMRebooting
)

var vmHealthNames = [...]string{"unknown", "up", "down", "rebooting"}

// String returns the form used in responses.
func (h VMHealth) String() string {
	if int(h) >= len(vmHealthNames) {
		return "invalid"
	}
	return vmHealthNames[h]
}

// Ownership records which pool a VM belongs to; a VM has one such record.
type Ownership struct {
	VM VMID `cbor:"1,keyasint"`
	// Pool is empty for a shared spare.
	Pool PoolID `cbor:"2,keyasint"`
	// Moving is set while the VM leaves Pool for Target: Pool places no new
	// work there, Target does not yet.
	Moving bool   `cbor:"3,keyasint,omitempty"`
	Target PoolID `cbor:"4,keyasint,omitempty"`
	// Generation grows with every change and fences older commands.
	Generation uint64  `cbor:"5,keyasint"`
	Since      Instant `cbor:"6,keyasint"`
	// Reason explains in plain text why the VM is in this pool.
	Reason string `cbor:"7,keyasint,omitempty"`
}

// MaintenancePhase is the stage of a VM's maintenance.
type MaintenancePhase uint8

const (
	// PhaseGranted: the permit is committed, no command was sent yet.
	PhaseGranted MaintenancePhase = iota + 1
	// PhaseDraining: the VM takes no new work while its tasks end.
	PhaseDraining
	// PhaseRebooting: a reboot was commanded.
	PhaseRebooting
	// PhaseSoaking: the VM is up again, but not yet counted as available.
	PhaseSoaking
)

var phaseNames = [...]string{"", "granted", "draining", "rebooting", "soaking"}

// String returns the form used in responses.
func (p MaintenancePhase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// Permit allows one VM to be unavailable on purpose. It is committed before
// any command and counts against every budget of the VM's pool.
type Permit struct {
	VM    VMID             `cbor:"1,keyasint"`
	Wave  WaveID           `cbor:"2,keyasint"`
	Pool  PoolID           `cbor:"3,keyasint"`
	Phase MaintenancePhase `cbor:"4,keyasint"`
	Since Instant          `cbor:"5,keyasint"`
	// BootID is the VM's boot before maintenance; a reboot is done when the
	// platform shows another one.
	BootID string `cbor:"6,keyasint,omitempty"`
	// Generation fences commands of an earlier permit for the same VM.
	Generation uint64 `cbor:"7,keyasint"`
}

// Maintained records that a VM went through a wave.
type Maintained struct {
	VM   VMID    `cbor:"1,keyasint"`
	Wave WaveID  `cbor:"2,keyasint"`
	At   Instant `cbor:"3,keyasint"`
}

// JobState is a stage in the life cycle of a job.
type JobState uint8

const (
	// JobQueued: waits for capacity or quota; Reason names which.
	JobQueued JobState = iota + 1
	// JobRunning: has an attempt whose lease was committed.
	JobRunning
	// JobDone: ended with success.
	JobDone
	// JobFailed: ended without success and is not retried.
	JobFailed
	// JobCancelled: cancelled; it never starts after that.
	JobCancelled
	// JobHeld: failed on several healthy workers; an operator decides.
	JobHeld
	// JobUnplaceable: fits no VM shape or quota; it can never run.
	JobUnplaceable
	// JobOutcomeUnknown: not idempotent, and its attempt may have run.
	JobOutcomeUnknown
)

var jobStateNames = [...]string{"", "queued", "running", "done", "failed", "cancelled", "held", "unplaceable", "outcome-unknown"}

// String returns the form used in responses.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return "invalid"
	}
	return jobStateNames[s]
}

// Final reports whether the job no longer changes by itself.
func (s JobState) Final() bool { return s >= JobDone }

// JobSpec is what a caller declares. Declared sizes and run times may be far
// from the actual ones.
type JobSpec struct {
	ID       JobID     `cbor:"1,keyasint"`
	Team     TeamID    `cbor:"2,keyasint"`
	Pool     PoolID    `cbor:"3,keyasint"`
	Kind     string    `cbor:"4,keyasint"`
	Priority Priority  `cbor:"5,keyasint"`
	Declared Resources `cbor:"6,keyasint"`
	// Runtime is the declared run time; 0 when none was declared.
	Runtime      time.Duration `cbor:"7,keyasint"`
	Idempotent   bool          `cbor:"8,keyasint"`
	Checkpoints  bool          `cbor:"9,keyasint"`
	Throttleable bool          `cbor:"10,keyasint"`
	// Payload is passed to the worker unchanged.
	Payload []byte `cbor:"11,keyasint,omitempty"`
}

// Job is a submitted job with its state.
type Job struct {
	Spec      JobSpec  `cbor:"1,keyasint"`
	State     JobState `cbor:"2,keyasint"`
	Reason    string   `cbor:"3,keyasint,omitempty"`
	Submitted Instant  `cbor:"4,keyasint"`
	Changed   Instant  `cbor:"5,keyasint"`
	// Attempts counts the tasks started for the job.
	Attempts int `cbor:"6,keyasint"`
	// FailedOn lists the distinct workers on which an attempt failed.
	FailedOn []WorkerID `cbor:"7,keyasint,omitempty"`
	// Cancelled is set when a cancellation was accepted while an attempt ran.
	Cancelled bool `cbor:"8,keyasint,omitempty"`
	// Moves counts the relocations by maintenance or pool moves.
	Moves int `cbor:"9,keyasint,omitempty"`
}

// TaskState is a stage in the life cycle of a task.
type TaskState uint8

const (
	// TaskStarting: committed; the platform may or may not have received the start.
	TaskStarting TaskState = iota + 1
	// TaskRunning: the platform confirmed the start.
	TaskRunning
	// TaskStopping: a stop was commanded.
	TaskStopping
)

// Task is one attempt to run a job or an instance on a worker, under a lease.
// It is committed before the platform is called. It is removed when the task
// has ended, or when its lease and the margin for clock drift have expired.
type Task struct {
	ID TaskID `cbor:"1,keyasint"`
	// Job is empty for an instance of a service.
	Job     JobID     `cbor:"2,keyasint,omitempty"`
	Service ServiceID `cbor:"3,keyasint,omitempty"`
	// Ordinal numbers the instances of a service from 0.
	Ordinal    int       `cbor:"4,keyasint,omitempty"`
	VM         VMID      `cbor:"5,keyasint"`
	Worker     WorkerID  `cbor:"6,keyasint"`
	Size       Resources `cbor:"7,keyasint"`
	Priority   Priority  `cbor:"8,keyasint"`
	State      TaskState `cbor:"9,keyasint"`
	Generation uint64    `cbor:"10,keyasint"`
	Started    Instant   `cbor:"11,keyasint"`
	// LeaseUntil is when the worker stops the task unless the lease is renewed.
	LeaseUntil Instant `cbor:"12,keyasint"`
	// Throttled reports whether the task runs at a reduced processor share.
	Throttled bool `cbor:"13,keyasint,omitempty"`
}

// Quarantine keeps new work off a worker on which distinct jobs failed.
type Quarantine struct {
	Worker WorkerID `cbor:"1,keyasint"`
	VM     VMID     `cbor:"2,keyasint"`
	Since  Instant  `cbor:"3,keyasint"`
	Reason string   `cbor:"4,keyasint"`
	// ProbeAt is when one idempotent batch job may run on the worker as a probe.
	ProbeAt Instant `cbor:"5,keyasint"`
}

// ClaimState is the progress of a claimed request.
type ClaimState uint8

const (
	// ClaimRunning: the claim is committed; the request may be in flight.
	ClaimRunning ClaimState = iota + 1
	// ClaimSettled: the outcome is known, and Answer is stored if it fits the limit.
	ClaimSettled
	// ClaimUnknown: the outcome can't be determined; the request never runs again.
	ClaimUnknown
)

// Claim is the durable record that a non-idempotent request with a key was
// sent to at most one upstream.
type Claim struct {
	Key     RequestKey `cbor:"1,keyasint"`
	Service ServiceID  `cbor:"2,keyasint"`
	// Digest is the hash of method, path and body; the same key with another
	// digest is refused.
	Digest []byte `cbor:"3,keyasint"`
	// Owner is the entry VM that sends the request, Incarnation its process.
	Owner       NodeID     `cbor:"4,keyasint"`
	Incarnation uint64     `cbor:"5,keyasint"`
	State       ClaimState `cbor:"6,keyasint"`
	Verdict     Verdict    `cbor:"7,keyasint"`
	Claimed     Instant    `cbor:"8,keyasint"`
	// Deadline is when the caller stops waiting.
	Deadline Instant     `cbor:"9,keyasint"`
	Answer   *KeptAnswer `cbor:"10,keyasint,omitempty"`
}

// KeptAnswer is an upstream's complete response, stored so that the caller can
// get it again by repeating the request.
type KeptAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Dropped reports whether the body exceeded the limit and was not stored.
	Dropped bool `cbor:"4,keyasint,omitempty"`
}

// AuditRecord is one accepted change. Records form a hash chain: each digest
// covers the record and the previous digest, so an edit or a gap is detected.
type AuditRecord struct {
	Sequence uint64  `cbor:"1,keyasint" json:"sequence"`
	At       Instant `cbor:"2,keyasint" json:"at_ms"`
	Actor    string  `cbor:"3,keyasint" json:"actor"`
	Action   string  `cbor:"4,keyasint" json:"action"`
	Subject  string  `cbor:"5,keyasint" json:"subject"`
	Before   string  `cbor:"6,keyasint,omitempty" json:"before,omitempty"`
	After    string  `cbor:"7,keyasint,omitempty" json:"after,omitempty"`
	Cause    string  `cbor:"8,keyasint,omitempty" json:"cause,omitempty"`
	Digest   string  `cbor:"9,keyasint" json:"digest"`
}

// Upstream is one instance of a service as it announced itself.
type Upstream struct {
	Service  ServiceID
	Instance InstanceID
	// Address is IP:port.
	Address string
	VM      VMID
	Zone    ZoneID
	// Incarnation and Sequence order announcements of the same instance:
	// the larger incarnation wins, then the larger sequence.
	Incarnation uint64
	Sequence    uint64
	Slots       int
	Connections int
	// Leaving is sticky within an incarnation.
	Leaving bool
	// Expires is when the announcement expires unless it is renewed.
	Expires Instant
}
