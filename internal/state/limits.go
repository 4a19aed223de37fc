package state

import "time"

// The bounds of the replicated state. They are part of the state machine:
// every VM of a site must run with the same values.
const (
	// MaxClaims bounds the claims kept; a further claim is refused.
	MaxClaims = 20_000
	// MaxKeptAnswer bounds the body of one kept answer, in bytes.
	MaxKeptAnswer = 64 << 10
	// MaxKeptBytes bounds the bodies of all kept answers, in bytes; the
	// oldest are dropped first.
	MaxKeptBytes = 8 << 20
	// MaxJobs bounds the jobs kept, ended ones included.
	MaxJobs = 50_000
	// MaxPayload bounds the payload of one job, in bytes.
	MaxPayload = 64 << 10
	// MaxPayloadBytes bounds the payloads of all jobs that may still run, in bytes.
	MaxPayloadBytes = 16 << 20
	// MaxVMs bounds the ownership entries.
	MaxVMs = 20_000
	// MaxManifest bounds the text of a manifest, in bytes.
	MaxManifest = 1 << 20
	// MaxText bounds an identifier or reason, in bytes; longer reasons are cut.
	MaxText = 512
	// CommandMemory is how many command IDs are kept with their results.
	CommandMemory = 8_192
	// MemoryActions bounds the refusals kept with them.
	MemoryActions = 65_536
	// ManifestHistory is how many accepted manifests are known by digest.
	ManifestHistory = 64
	// AuditTail is how many audit records the state keeps; the audit files
	// keep more.
	AuditTail = 2_048
	// MaxAuditRead bounds the records that one read returns.
	MaxAuditRead = 1_000
	// MaxBroken bounds the broken invariants remembered.
	MaxBroken = 64
)

const (
	// DriftMargin is how long after the end of its lease a task may still run
	// because clocks differ. Nobody starts its job elsewhere before.
	DriftMargin = 2 * time.Second
	// MaxLease bounds a lease.
	MaxLease = time.Hour
)
