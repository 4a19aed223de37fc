package agent

import (
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

func (a *Agent) operatorHandler() http.Handler {
	return operator.New(operator.Config{
		Site: a.settings.Node.Site, Log: a.log, Authorizer: a.tokens.operators,
		InForce: a.heartbeats, Audit: a.auditReader(), Sources: a.sources(),
		Registry: a.metrics, Logger: a.logger, Clock: time.Now,
	})
}

// auditReader returns a reader of this VM's audit files. Without a data folder it
// reads the newest records, which are part of the state.
func (a *Agent) auditReader() operator.AuditReader {
	if a.trail == nil {
		return audit.StateReader{Source: a.log}
	}
	return a.trail
}

func (a *Agent) sources() operator.Sources {
	sources := operator.Sources{Nodes: a.nodeStatuses, Violations: a.invariantViolations}
	if a.controller == nil {
		return sources
	}
	sources.Waves = a.waveReasons
	sources.Budgets = a.budgets
	return sources
}

// waveReasons returns why each wave waits, as of the controller's last round. It
// is empty on a voter that isn't the leader.
func (a *Agent) waveReasons() map[model.WaveID]string {
	reasons := map[model.WaveID]string{}
	for _, w := range a.controller.Status().Waves {
		reasons[w.Wave] = w.Waiting
	}
	return reasons
}

// budgets returns the availability budgets as of the leader's last round, nil on
// other voters.
func (a *Agent) budgets() []operator.BudgetStatus {
	leader, term := a.log.Leader()
	status := a.controller.Status()
	if leader != a.settings.Node.Name || status.Term != term {
		return nil
	}
	var statuses []operator.BudgetStatus
	for _, s := range status.Budgets.Services {
		statuses = append(statuses, operator.BudgetStatus{
			Service: s.Service, Pool: s.Pool, Instances: s.Wanted, MinAvailable: s.MinAvailable,
			Available: s.Available, Reserve: s.Reserve, Remaining: s.Remaining, Reason: s.Description,
		})
	}
	return statuses
}

func (a *Agent) nodeStatuses() []operator.NodeStatus {
	live := map[model.NodeID]bool{}
	for _, name := range a.liveNodes() {
		live[name] = true
	}
	voters := map[model.NodeID]bool{}
	for _, name := range a.settings.Voters {
		voters[name] = true
	}
	var nodes []operator.NodeStatus
	for _, p := range a.settings.Nodes {
		status := operator.NodeStatus{Node: p.Name, Role: roleOf(voters[p.Name]), Alive: live[p.Name], Ready: live[p.Name]}
		if p.Name == a.settings.Node.Name {
			own := a.heartbeats.Status()
			status.Zone, status.Alive, status.Ready = a.settings.Node.Zone, true, own.Ready
			status.Index, status.Reason = a.machine.Applied(), own.Reason
		}
		nodes = append(nodes, status)
	}
	return nodes
}

func roleOf(voter bool) string {
	if voter {
		return "voter"
	}
	return "learner"
}

// invariantViolations returns the invariants that are violated in this process.
func (a *Agent) invariantViolations() []state.Violation {
	all := a.machine.Violations()
	for _, detail := range a.heartbeats.Violations() {
		all = append(all, state.Violation{Invariant: "membership", Detail: detail})
	}
	for _, detail := range a.registry.Violations() {
		all = append(all, state.Violation{Invariant: "registry", Detail: detail})
	}
	if a.controller != nil {
		for _, b := range a.controller.Violations() {
			all = append(all, state.Violation{Invariant: b.Invariant, Detail: b.Detail})
		}
	}
	return all
}
