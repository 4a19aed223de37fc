package budget

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Report holds all budgets as status shows them.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// ServiceReport holds the budget of one service.
type ServiceReport struct {
	Service model.ServiceID `json:"service"`
	Pool    model.PoolID    `json:"pool"`
	// Wanted and MinAvailable are the manifest's instances and min_available.
	Wanted       int `json:"wanted"`
	MinAvailable int `json:"least"`
	// Available is the number of available instances; Lost counts the others by
	// cause.
	Available int            `json:"available"`
	Lost      map[string]int `json:"lost,omitempty"`
	// Reserve is how many instances the worst next failure, that of Domain,
	// would take.
	Reserve int    `json:"reserve"`
	Domain  string `json:"domain,omitempty"`
	// Remaining is the remaining budget, Available - Reserve - MinAvailable.
	Remaining int `json:"left"`
	// Description describes the calculation.
	Description string `json:"words"`
}

// Report returns all budgets for status.
func (l *Ledger) Report() Report {
	r := Report{Services: make([]ServiceReport, 0, len(l.accounts))}
	for _, e := range l.accounts {
		r.Services = append(r.Services, l.reportService(e))
	}
	return r
}

func (l *Ledger) reportService(e *serviceAccount) ServiceReport {
	reserve, domain := e.worstFailure()
	spec := e.service.Spec
	report := ServiceReport{
		Service: spec.ID, Pool: spec.Pool, Wanted: spec.Instances, MinAvailable: spec.MinAvailable,
		Available: e.available, Reserve: reserve, Domain: domain, Remaining: e.remaining(l.options.Rules),
		Description: l.describe(e),
	}
	var causes []string
	for loss := Starting; loss < lossCount; loss++ {
		if n := e.lost[loss]; n > 0 {
			causes = append(causes, fmt.Sprintf("%d %s", n, loss))
			report.addLost(loss, n)
		}
	}
	if len(causes) > 0 {
		report.Description += " (not available: " + strings.Join(causes, ", ") + ")"
	}
	return report
}

func (r *ServiceReport) addLost(l Loss, n int) {
	if r.Lost == nil {
		r.Lost = map[string]int{}
	}
	r.Lost[l.String()] = n
}
