package operator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// table writes rows with aligned columns; flushing it returns the first error.
type table struct{ out *tabwriter.Writer }

func (t table) row(cells ...any) {
	for _, cell := range cells {
		_, _ = fmt.Fprintf(t.out, "%v\t", cell) // Flush returns the error
	}
	_, _ = fmt.Fprintln(t.out)
}

// WriteText writes a status as human-readable tables.
func WriteText(w io.Writer, s Status) error {
	t := table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("site", s.Site, "revision", s.Revision, "index", s.Index, "leader", s.Leader, "term", s.Term)
	t.violations(s)
	t.nodes(s)
	t.pools(s)
	t.budgets(s)
	t.waves(s)
	t.jobs(s)
	t.vms(s)
	return t.out.Flush()
}

func (t table) violations(s Status) {
	t.row()
	if len(s.Violations) == 0 {
		t.row("checks", "all hold")
	}
	for _, v := range s.Violations {
		t.row("BROKEN", v.Invariant, v.Detail)
	}
}

func (t table) nodes(s Status) {
	if len(s.Nodes) == 0 {
		return
	}
	t.row()
	t.row("NODE", "ROLE", "ZONE", "ALIVE", "READY", "INDEX", "REASON")
	for _, n := range s.Nodes {
		t.row(n.Node, n.Role, n.Zone, n.Alive, n.Ready, n.Index, n.Reason)
	}
}

func (t table) pools(s Status) {
	t.row()
	t.row("POOL", "MIN", "MAX", "VMS", "LEAVING", "ARRIVING", "MAINTENANCE", "QUARANTINE", "TASKS")
	for _, p := range s.Pools {
		t.row(poolLabel(p.Pool), p.Min, p.Max, p.VMs, p.Leaving, p.Arriving, p.Maintenance, p.Quarantined, p.Tasks)
	}
}

func (t table) budgets(s Status) {
	t.row()
	t.row("BUDGET", "POOL", "INSTANCES", "AVAILABLE", "LEAST", "RESERVE", "LEFT", "WHY")
	for _, b := range s.Budgets {
		t.row(b.Service, b.Pool, b.Instances, b.Available, b.MinAvailable, b.Reserve, b.Remaining, b.Reason)
	}
}

func (t table) waves(s Status) {
	if len(s.Waves) == 0 {
		return
	}
	t.row()
	t.row("WAVE", "STATE", "START", "VMS", "DONE", "UNDER WAY", "WAITING", "ESTIMATED END", "WHY")
	for _, w := range s.Waves {
		end := ""
		if w.EstimatedEnd != nil {
			end = w.EstimatedEnd.Format(time.RFC3339)
		}
		t.row(w.Wave, w.State, w.Start.Format(time.RFC3339), w.VMs, w.Done, w.UnderMaintenance, w.Waiting, end, w.Reason)
	}
}

func (t table) jobs(s Status) {
	t.row()
	t.row("WAITING JOB", "TEAM", "PRIORITY", "STATE", "SINCE", "WHY")
	for _, j := range s.Jobs.Waiting {
		t.row(j.Job, j.Team, j.Priority, j.State, j.Changed.Format(time.RFC3339), j.Reason)
	}
}

func (t table) vms(s Status) {
	t.row()
	t.row("VM", "POOL", "HEALTH", "MAINTENANCE", "TASKS", "WHY HERE")
	for _, v := range s.VMs {
		t.row(v.VM, locationLabel(v), v.Health, v.Phase, v.Tasks, v.Reason)
	}
}
