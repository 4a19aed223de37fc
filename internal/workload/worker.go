package workload

// Worker is one incarnation of a worker as it announced itself.
type Worker struct {
	_       struct{} `cbor:",toarray"`
	ID      WorkerID
	Pool    string
	Address string
	Zone    string
	// Kind and Rack stay with the VM through all incarnations.
	Kind, Rack string
	// Capacity is the whole room of the worker.
	Capacity Resources
	// Draining: the worker announced that it will leave; nothing is started there.
	Draining bool
	// Closed: an order for its VM follows; nothing is started there.
	Closed bool
	// Acked is the number of the last end that is committed.
	Acked uint64
}

// Has says whether the worker has a label; the empty label is on every worker.
func (w *Worker) Has(label string) bool {
	return label == "" || label == w.Kind || label == w.Rack
}

// Wave is a round of maintenance that the operator asked for.
type Wave struct {
	_  struct{} `cbor:",toarray"`
	ID int64
	// ForMS is the time within which all machines should have begun, counted
	// from AskedMS, the leader's time of day when it was accepted.
	ForMS, AskedMS int64
	// Most is the number of machines that may be away for it at once.
	Most     int
	Machines []WaveMachine
}

// WaveMachine is one machine of a wave.
type WaveMachine struct {
	_       struct{} `cbor:",toarray"`
	Machine MachineID
	// Begun: the platform has confirmed the maintenance, or the machine is gone.
	Begun bool
}

// Completed says whether every machine that stays has begun its maintenance.
func (w *Wave) Completed() bool {
	for i := range w.Machines {
		if !w.Machines[i].Begun {
			return false
		}
	}
	return true
}
