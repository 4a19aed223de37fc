package workload

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/codec"
)

// Command is one entry of the control log. Its parts are applied in the order
// of the fields.
type Command struct {
	// AtMS is the leader's time of day when it proposed, in Unix milliseconds.
	AtMS int64 `cbor:"1,keyasint"`
	// Term fences decisions: a command with a term is refused once one of a
	// later term was applied. 0 for what callers and operators ask for.
	Term uint64 `cbor:"2,keyasint,omitempty"`

	StartTerm bool      `cbor:"3,keyasint,omitempty"`
	Config    *Config   `cbor:"4,keyasint,omitempty"`
	Submit    []Submit  `cbor:"5,keyasint,omitempty"`
	Cancel    []JobID   `cbor:"6,keyasint,omitempty"`
	Workers   []Worker  `cbor:"7,keyasint,omitempty"`
	Ends      []End     `cbor:"8,keyasint,omitempty"`
	Releases  []Release `cbor:"9,keyasint,omitempty"`
	// Gone lists incarnations that are certainly over.
	Gone   []WorkerID  `cbor:"10,keyasint,omitempty"`
	Due    []Occurring `cbor:"11,keyasint,omitempty"`
	Starts []Start     `cbor:"12,keyasint,omitempty"`
	Wave   *Wave       `cbor:"13,keyasint,omitempty"`
	Begun  []WaveBegun `cbor:"14,keyasint,omitempty"`
	// Ordered lists the VMs for which an order to the platform follows.
	Ordered []MachineID `cbor:"16,keyasint,omitempty"`
	// Close lists the workers on which nothing may be started from now on,
	// Open those where it may again.
	Close []WorkerID `cbor:"17,keyasint,omitempty"`
	Open  []WorkerID `cbor:"18,keyasint,omitempty"`
	// Lost lists runs that leave the tables with their worker, ahead of their
	// releases; Crashed the workers of such runs that are certainly over,
	// Returned those that are not.
	Lost     []Loss     `cbor:"19,keyasint,omitempty"`
	Crashed  []WorkerID `cbor:"20,keyasint,omitempty"`
	Returned []WorkerID `cbor:"21,keyasint,omitempty"`
	// Sequences holds the numbers of the reports that Workers come from, in the
	// same order; none where they don't come from reports.
	Sequences []uint64 `cbor:"23,keyasint,omitempty"`
	// Void lists the runs among Releases that surely never began.
	Void []RunRef `cbor:"24,keyasint,omitempty"`
	// Proven lists the suspects that have run long enough to be sound.
	Proven []TaskRef `cbor:"22,keyasint,omitempty"`
	// ForgetBeforeMS drops jobs that ended before; 0 drops none.
	ForgetBeforeMS int64 `cbor:"15,keyasint,omitempty"`
}

// Submit accepts a job. A job that is known stays as it is.
type Submit struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue QueueID
	Spec  JobSpec
}

// EndKind says how a run ended.
type EndKind uint8

// The ends of a run.
const (
	// EndDone: the task is done.
	EndDone EndKind = iota + 1
	// EndFailed: by the task's own fault or the worker's; it counts as an attempt.
	EndFailed
	// EndStopped: we stopped it.
	EndStopped
	// EndLapsed: its lease ended.
	EndLapsed
	// EndBroken: another member of its gang ended.
	EndBroken
	// EndAlone: the other members of its gang did not come.
	EndAlone
)

// String names the end for log lines.
func (k EndKind) String() string {
	names := [...]string{"?", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("end %d", uint8(k))
}

// End is an end that a worker listed.
type End struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	// Number counts the ends of one incarnation from 1.
	Number     uint64
	Run        RunRef
	Kind       EndKind
	Checkpoint string
}

// Release takes a run off that neither runs nor ever will.
type Release struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
}

// Occurring begins the next occurrence of a repeated job.
type Occurring struct {
	_   struct{} `cbor:",toarray"`
	Job JobID
	K   int
}

// Start commits a run before the worker is told.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
}

// WaveBegun notes that a machine of a wave has begun its maintenance.
type WaveBegun struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine MachineID
}

// Encode returns the bytes of a command for the control log.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// Decode is the inverse of Encode; it refuses unknown fields.
func Decode(data []byte) (*Command, error) {
	var c Command
	if err := codec.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("workload: decode command: %w", err)
	}
	return &c, nil
}

// EncodeSpec returns the bytes of a job for a call between VMs.
func EncodeSpec(s *JobSpec) ([]byte, error) { return codec.Marshal(s) }

// DecodeSpec is the inverse of EncodeSpec.
func DecodeSpec(data []byte) (JobSpec, error) {
	var s JobSpec
	err := codec.Unmarshal(data, &s)
	return s, err
}

// EncodeConfig returns the bytes of a configuration for a call between VMs.
func EncodeConfig(c *Config) ([]byte, error) { return codec.Marshal(c) }

// DecodeConfig is the inverse of EncodeConfig.
func DecodeConfig(data []byte) (*Config, error) {
	c := &Config{}
	err := codec.Unmarshal(data, c)
	return c, err
}
