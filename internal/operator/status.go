package operator

import (
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Status is the body of the response to GET /status: the replicated tables as of
// Index, completed by data of this VM and of the controller.
type Status struct {
	Site string `json:"site"`
	// Revision and Digest are those of the manifest in force at this VM.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// Index is the last index applied here, StateDigest the digest of the tables.
	Index       uint64         `json:"index"`
	StateDigest string         `json:"state_digest"`
	Leader      model.NodeID   `json:"leader,omitempty"`
	Term        uint64         `json:"term"`
	Nodes       []NodeStatus   `json:"nodes,omitempty"`
	Pools       []PoolStatus   `json:"pools"`
	VMs         []VMStatus     `json:"vms"`
	Budgets     []BudgetStatus `json:"budgets"`
	Waves       []WaveStatus   `json:"waves"`
	Jobs        JobsStatus     `json:"jobs"`
	// Violations are the violated invariants; none in a correct system.
	Violations []state.Violation `json:"checks_broken"`
	// Measures holds the users' three measures by name, when the controller runs
	// here.
	Measures map[string]float64 `json:"measures,omitempty"`
}

// NodeStatus is one process of comfreyloom as this one sees it.
type NodeStatus struct {
	Node   model.NodeID `json:"node"`
	Role   string       `json:"role"`
	Zone   model.ZoneID `json:"availability_zone,omitempty"`
	Alive  bool         `json:"alive"`
	Ready  bool         `json:"ready"`
	Index  uint64       `json:"index"`
	Reason string       `json:"reason,omitempty"`
}

// PoolStatus counts the VMs of a pool.
type PoolStatus struct {
	// Pool is empty for the shared spares.
	Pool model.PoolID `json:"pool"`
	Min  int          `json:"min_vms"`
	Max  int          `json:"max_vms"`
	// VMs counts those that serve the pool; Leaving and Arriving count those that
	// are moving out of and into it.
	VMs         int `json:"vms"`
	Leaving     int `json:"leaving"`
	Arriving    int `json:"arriving"`
	Maintenance int `json:"under_maintenance"`
	Quarantined int `json:"quarantined"`
	Tasks       int `json:"tasks"`
}

// VMStatus describes one VM and why it is in its pool.
type VMStatus struct {
	VM         model.VMID   `json:"vm"`
	Pool       model.PoolID `json:"pool"`
	Target     model.PoolID `json:"target,omitempty"`
	Moving     bool         `json:"moving,omitempty"`
	Reason     string       `json:"why"`
	Since      time.Time    `json:"since"`
	Generation uint64       `json:"generation"`
	Wave       model.WaveID `json:"wave,omitempty"`
	Phase      string       `json:"phase,omitempty"`
	Quarantine string       `json:"quarantine,omitempty"`
	Tasks      int          `json:"tasks"`
	// Health, Zone and Rack are set only where the controller runs.
	Health string       `json:"health,omitempty"`
	Zone   model.ZoneID `json:"availability_zone,omitempty"`
	Rack   model.RackID `json:"rack,omitempty"`
}

// BudgetStatus describes one availability budget.
type BudgetStatus struct {
	Service      model.ServiceID `json:"service"`
	Pool         model.PoolID    `json:"pool"`
	Instances    int             `json:"instances"`
	MinAvailable int             `json:"min_available"`
	Available    int             `json:"available"`
	// Reserve is the number of instances that the worst next failure would make
	// unavailable.
	Reserve int `json:"reserve"`
	// Remaining is the number of instances that may still be made unavailable
	// deliberately.
	Remaining int    `json:"left"`
	Reason    string `json:"why"`
}

// WaveStatus is the progress of one wave.
type WaveStatus struct {
	Wave  model.WaveID `json:"wave"`
	Start time.Time    `json:"start"`
	// State is scheduled, running or done.
	State string `json:"state"`
	VMs   int    `json:"vms"`
	Done  int    `json:"done"`
	// UnderMaintenance counts the VMs under maintenance now, Waiting those that are
	// still to be maintained.
	UnderMaintenance int `json:"under_way"`
	Waiting          int `json:"waiting"`
	// EstimatedEnd is extrapolated from the VMs done so far; nil when none is.
	EstimatedEnd *time.Time `json:"estimated_end,omitempty"`
	Reason       string     `json:"why,omitempty"`
}

// JobsStatus counts the jobs by state and lists waiting ones with their reasons.
type JobsStatus struct {
	Counts map[string]int `json:"counts"`
	// Waiting holds at most maxWaiting waiting jobs, urgent ones first and then by
	// age.
	Waiting []JobStatus `json:"waiting"`
}

// JobStatus describes one job.
type JobStatus struct {
	Job       model.JobID  `json:"job"`
	Team      model.TeamID `json:"team"`
	Pool      model.PoolID `json:"pool"`
	Priority  string       `json:"priority"`
	State     string       `json:"state"`
	Reason    string       `json:"why"`
	Submitted time.Time    `json:"submitted"`
	Changed   time.Time    `json:"changed"`
	Attempts  int          `json:"attempts"`
	Moves     int          `json:"moves"`
}

// Sources provides data that the replicated tables don't hold. Where a field is
// nil, the status holds only what the tables provide.
type Sources struct {
	// Nodes lists the processes of the site.
	Nodes func() []NodeStatus
	// VMs returns each VM as the platform last reported it.
	VMs func() map[model.VMID]*model.VM
	// Budgets returns the budgets with health and the next failure taken into
	// account; nil where the controller does not run.
	Budgets func() []BudgetStatus
	// Waves returns the reason why a wave does not make progress, by wave.
	Waves func() map[model.WaveID]string
	// Violations returns the invariants that were violated in this process.
	Violations func() []state.Violation
	// Measures returns the users' measures by name.
	Measures func() map[string]float64
}

// status returns the status of this process. The state of the processes is read
// before the tables: "ready" guarantees that the tables hold what a quorum
// confirmed, which would not be true of tables read earlier. In the other order
// a VM that catches up with the log after a restart would be shown ready with an
// older revision than it was seen with before.
func (s *server) status() Status {
	var nodes []NodeStatus
	if s.Sources.Nodes != nil {
		nodes = s.Sources.Nodes()
	}
	status := BuildStatus(s.Log.View(), s.Sources, model.InstantOf(s.Clock()))
	status.Nodes = nodes
	status.Leader, status.Term = s.Log.Leader()
	return status
}

func (s *server) getStatus(w http.ResponseWriter, r *http.Request, _ string) {
	status := s.status()
	if r.URL.Query().Get("format") != "text" {
		respond(w, http.StatusOK, model.Ran, status)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set(model.VerdictHeader, model.Ran.String())
	_ = WriteText(w, status) // a disconnected peer can't be sent an error
}
