package state

import "time"

// Bounds of the replicated state. They are part of the state machine: every VM of
// a site must use the same values.
const (
	// MaxClaims bounds the stored claims; further ones are refused.
	MaxClaims = 20_000
	// MaxKeptAnswer bounds the body of one stored answer, in bytes.
	MaxKeptAnswer = 64 << 10
	// MaxKeptBytes bounds the bodies of all stored answers, in bytes; the
	// oldest are dropped first.
	MaxKeptBytes = 8 << 20
	// MaxJobs bounds the stored jobs, including those that ended.
	MaxJobs = 50_000
	// MaxPayload bounds the payload of one job, in bytes.
	MaxPayload = 64 << 10
	// MaxPayloadBytes bounds the payloads of all jobs that may still run, in bytes.
	MaxPayloadBytes = 16 << 20
	// MaxVMs bounds the ownership entries.
	MaxVMs = 20_000
	// MaxManifest bounds the text of a manifest, in bytes.
	MaxManifest = 1 << 20
	// MaxText bounds an identifier or reason, in bytes; longer reasons are
	// truncated.
	MaxText = 512
	// MaxDedupEntries bounds the command IDs that are stored with their results
	// to deduplicate resends.
	MaxDedupEntries = 8_192
	// MaxDedupRefusals bounds the refusals in these results.
	MaxDedupRefusals = 65_536
	// ManifestHistory bounds the accepted manifests whose digests are stored.
	ManifestHistory = 64
	// AuditTail bounds the audit records in the state; the audit files hold
	// more.
	AuditTail = 2_048
	// MaxAuditRead bounds the records that one read returns.
	MaxAuditRead = 1_000
	// MaxViolations bounds the recorded violations of invariants.
	MaxViolations = 64
)

const (
	// DriftMargin is how long a task may still run after its lease ended,
	// because clocks differ. Its job starts nowhere else before that.
	DriftMargin = 2 * time.Second
	// MaxLease bounds the duration of a lease.
	MaxLease = time.Hour
)
