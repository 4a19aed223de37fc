package operator

import (
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Status is the answer to GET /status: the replicated tables as of Index, and
// what this VM and the controller know besides.
type Status struct {
	Site string `json:"site"`
	// Revision and Digest are those of the manifest in force at this VM.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// Index is the last index applied here, StateDigest that of the tables.
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
	// Checks are the invariants that do not hold; none in a sound system.
	Checks []state.Violation `json:"checks_broken"`
	// Measures are the users' three measures, by name, when the controller
	// runs here.
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
	// VMs serve the pool, Leaving and Arriving are on the move.
	VMs         int `json:"vms"`
	Leaving     int `json:"leaving"`
	Arriving    int `json:"arriving"`
	Maintenance int `json:"under_maintenance"`
	Quarantined int `json:"quarantined"`
	Tasks       int `json:"tasks"`
}

// VMStatus tells why a VM is where it is.
type VMStatus struct {
	VM         model.VMID   `json:"vm"`
	Pool       model.PoolID `json:"pool"`
	Target     model.PoolID `json:"target,omitempty"`
	Moving     bool         `json:"moving,omitempty"`
	Why        string       `json:"why"`
	Since      time.Time    `json:"since"`
	Generation uint64       `json:"generation"`
	Wave       model.WaveID `json:"wave,omitempty"`
	Phase      string       `json:"phase,omitempty"`
	Quarantine string       `json:"quarantine,omitempty"`
	Tasks      int          `json:"tasks"`
	// Health, Zone and Rack are known where the controller runs.
	Health string       `json:"health,omitempty"`
	Zone   model.ZoneID `json:"availability_zone,omitempty"`
	Rack   model.RackID `json:"rack,omitempty"`
}

// BudgetStatus is the account of one availability budget.
type BudgetStatus struct {
	Service   model.ServiceID `json:"service"`
	Pool      model.PoolID    `json:"pool"`
	Instances int             `json:"instances"`
	Least     int             `json:"min_available"`
	Available int             `json:"available"`
	// Reserve is what the worst next failure would take.
	Reserve int `json:"reserve"`
	// Left may still be made unavailable on purpose.
	Left int    `json:"left"`
	Why  string `json:"why"`
}

// WaveStatus is the progress of one wave.
type WaveStatus struct {
	Wave  model.WaveID `json:"wave"`
	Start time.Time    `json:"start"`
	// State is scheduled, running or done.
	State string `json:"state"`
	VMs   int    `json:"vms"`
	Done  int    `json:"done"`
	// Underway are under maintenance now, Waiting are still to come.
	Underway int `json:"under_way"`
	Waiting  int `json:"waiting"`
	// End is estimated from the VMs done so far; nil when none is.
	End *time.Time `json:"estimated_end,omitempty"`
	Why string     `json:"why,omitempty"`
}

// JobsStatus counts the jobs and tells why some wait.
type JobsStatus struct {
	Counts map[string]int `json:"counts"`
	// Waiting holds the oldest waiting jobs, urgent ones first.
	Waiting []JobStatus `json:"waiting"`
}

// JobStatus is one job.
type JobStatus struct {
	Job       model.JobID  `json:"job"`
	Team      model.TeamID `json:"team"`
	Pool      model.PoolID `json:"pool"`
	Priority  string       `json:"priority"`
	State     string       `json:"state"`
	Why       string       `json:"why"`
	Submitted time.Time    `json:"submitted"`
	Changed   time.Time    `json:"changed"`
	Attempts  int          `json:"attempts"`
	Moves     int          `json:"moves"`
}

// Sources adds what the replicated tables don't hold. A nil member leaves its
// part as the tables show it.
type Sources struct {
	// Nodes lists the processes of the site.
	Nodes func() []NodeStatus
	// VMs returns what the platform said about each VM.
	VMs func() map[model.VMID]*model.VM
	// Budgets accounts for the budgets with health and next failures; nil
	// where the controller does not run.
	Budgets func() []BudgetStatus
	// Waves says why a wave does not go on, by wave.
	Waves func() map[model.WaveID]string
	// Checks returns the invariants that broke in this process.
	Checks func() []state.Violation
	// Measures returns the users' measures by name.
	Measures func() map[string]float64
}

// status describes this process. How the processes stand is asked before the
// tables are read: "ready" promises that the tables hold what a quorum
// confirmed, so tables that were read earlier may be older than the promise.
// One notices by a VM that is shown ready with an older revision than it was
// seen with before, while it catches up with the log after a restart.
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
		answer(w, http.StatusOK, model.Ran, status)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set(model.VerdictHeader, model.Ran.String())
	_ = WriteText(w, status) // the peer that went away has no other answer
}
