package workload

// Worker is one incarnation of a worker as it registered.
type Worker struct {
	_       struct{} `cbor:",toarray"`
	ID      WorkerID
	Pool    string
	Address string
	Zone    string
	// Kind and Rack belong to the VM and are the same for all incarnations.
	Kind, Rack string
	// Capacity is the total capacity that the worker reports.
	Capacity Resources
	// Draining is set when the worker announced that it will leave; nothing is
	// started on it.
	Draining bool
	// Closed is set when an order for its VM is about to be sent; nothing is
	// started on it.
	Closed bool
	// Acked is the number of the last committed end.
	Acked uint64
}

// HasLabel reports whether the worker has a label; every worker has the empty
// label.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || label == w.Kind || label == w.Rack
}

// Wave is a maintenance wave that the operator requested.
type Wave struct {
	_  struct{} `cbor:",toarray"`
	ID int64
	// WindowMS is the time within which the maintenance of all VMs should have
	// begun, in milliseconds from AcceptedMS. AcceptedMS is the leader's time of
	// day when the wave was accepted, in Unix milliseconds.
	WindowMS, AcceptedMS int64
	// MaxUnavailable is the number of VMs that may be unavailable for the wave at
	// once.
	MaxUnavailable int
	VMs            []WaveVM
}

// WaveVM is one VM of a wave.
type WaveVM struct {
	_  struct{} `cbor:",toarray"`
	ID VMID
	// Begun is set when the platform has confirmed the maintenance, or the VM no
	// longer exists.
	Begun bool
}

// Completed reports whether the maintenance of every VM that still exists has
// begun.
func (w *Wave) Completed() bool {
	for i := range w.VMs {
		if !w.VMs[i].Begun {
			return false
		}
	}
	return true
}
