package workload

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/codec"
)

// Command is one entry of the control log. Its parts are applied in a fixed order,
// see Tables.apply.
type Command struct {
	// AtMS is the leader's time of day when it proposed, in Unix milliseconds.
	AtMS int64 `cbor:"1,keyasint"`
	// Term fences decisions of a leader: a command with a term is refused once one
	// of a later term was applied. 0 for requests of callers and operators.
	Term uint64 `cbor:"2,keyasint,omitempty"`

	StartTerm bool      `cbor:"3,keyasint,omitempty"`
	Config    *Config   `cbor:"4,keyasint,omitempty"`
	Submit    []Submit  `cbor:"5,keyasint,omitempty"`
	Cancel    []JobID   `cbor:"6,keyasint,omitempty"`
	Workers   []Worker  `cbor:"7,keyasint,omitempty"`
	Ends      []End     `cbor:"8,keyasint,omitempty"`
	Releases  []Release `cbor:"9,keyasint,omitempty"`
	// EndedWorkers lists the incarnations of workers that are to be removed: they have
	// certainly ended, or nothing runs on them and they leave or have been silent for
	// long.
	EndedWorkers []WorkerID      `cbor:"10,keyasint,omitempty"`
	Due          []DueOccurrence `cbor:"11,keyasint,omitempty"`
	Starts       []Start         `cbor:"12,keyasint,omitempty"`
	Wave         *Wave           `cbor:"13,keyasint,omitempty"`
	// Begun lists the VMs of waves whose maintenance has begun.
	Begun []WaveBegun `cbor:"14,keyasint,omitempty"`
	// Ordered lists the VMs for which the leader is about to send an order to the
	// platform.
	Ordered []VMID `cbor:"16,keyasint,omitempty"`
	// Close lists the workers that accept no more starts, Open those that accept
	// them again.
	Close []WorkerID `cbor:"17,keyasint,omitempty"`
	Open  []WorkerID `cbor:"18,keyasint,omitempty"`
	// Lost lists runs that are about to be released because their worker was lost.
	// Crashed lists the workers of such runs that have certainly ended, Returned
	// those that turned out to be alive.
	Lost     []Loss     `cbor:"19,keyasint,omitempty"`
	Crashed  []WorkerID `cbor:"20,keyasint,omitempty"`
	Returned []WorkerID `cbor:"21,keyasint,omitempty"`
	// Sequences holds the numbers of the reports behind Workers, in the same order;
	// it is empty when Workers doesn't come from reports.
	Sequences []uint64 `cbor:"23,keyasint,omitempty"`
	// NeverStarted lists the runs in Releases that certainly never began.
	NeverStarted []RunRef `cbor:"24,keyasint,omitempty"`
	// Cleared lists the suspects whose runs have lasted for at least ClearAfterMS.
	Cleared []TaskRef `cbor:"22,keyasint,omitempty"`
	// ForgetBeforeMS removes the jobs that ended before this time, in Unix
	// milliseconds; 0 removes none.
	ForgetBeforeMS int64 `cbor:"15,keyasint,omitempty"`
}

// Submit accepts a job. A job that exists already stays as it is.
type Submit struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue QueueID
	Spec  JobSpec
}

// EndKind is the way in which a run ended.
type EndKind uint8

// The ends of a run.
const (
	// EndDone means that the task is done.
	EndDone EndKind = iota + 1
	// EndFailed means that the task or its worker failed; it counts as an attempt.
	EndFailed
	// EndStopped means that the run was stopped by an order of the leader.
	EndStopped
	// EndLapsed means that the lease of the run expired.
	EndLapsed
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that the other members of the gang did not join.
	EndGangIncomplete
)

// String returns the name of the kind for log lines.
func (k EndKind) String() string {
	names := [...]string{"?", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("end %d", uint8(k))
}

// End is the end of a run as its worker reported it.
type End struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	// Number is the sequence number of the end within one incarnation, from 1.
	Number     uint64
	Run        RunRef
	Kind       EndKind
	Checkpoint string
}

// Release removes a run that isn't running and never will.
type Release struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
}

// DueOccurrence begins the next occurrence of a repeated job.
type DueOccurrence struct {
	_   struct{} `cbor:",toarray"`
	Job JobID
	K   int
}

// Start commits a run before it is sent to the worker.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
}

// WaveBegun records that the maintenance of a VM in a wave has begun.
type WaveBegun struct {
	_    struct{} `cbor:",toarray"`
	Wave int64
	VM   VMID
}

// Encode returns the bytes of a command for the control log.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// Decode is the inverse of Encode; it rejects unknown fields.
func Decode(data []byte) (*Command, error) {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("workload: decode command: %w", err)
	}
	return &c, nil
}

// EncodeSpec returns the encoded job for a call between VMs.
func EncodeSpec(s *JobSpec) ([]byte, error) { return codec.Marshal(s) }

// DecodeSpec is the inverse of EncodeSpec.
func DecodeSpec(data []byte) (JobSpec, error) {
	var s JobSpec
	err := codec.Unmarshal(data, &s)
	return s, err
}

// EncodeConfig returns the encoded configuration for a call between VMs.
func EncodeConfig(c *Config) ([]byte, error) { return codec.Marshal(c) }

// DecodeConfig is the inverse of EncodeConfig.
func DecodeConfig(data []byte) (*Config, error) {
	c := &Config{}
	err := codec.Unmarshal(data, c)
	return c, err
}
