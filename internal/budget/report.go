package budget

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Report is the account of all budgets as status shows it.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// ServiceReport is the account of one service.
type ServiceReport struct {
	Service model.ServiceID `json:"service"`
	Pool    model.PoolID    `json:"pool"`
	// Wanted and Least are the manifest's instances and min_available.
	Wanted int `json:"wanted"`
	Least  int `json:"least"`
	// Available counts; Lost tells, by cause, why the others do not.
	Available int            `json:"available"`
	Lost      map[string]int `json:"lost,omitempty"`
	// Reserve is what the worst next failure, of Domain, would take.
	Reserve int    `json:"reserve"`
	Domain  string `json:"domain,omitempty"`
	// Left is Available - Reserve - Least.
	Left int `json:"left"`
	// Words is the arithmetic in words.
	Words string `json:"words"`
}

// Report gives the account of all budgets.
func (l *Ledger) Report() Report {
	r := Report{Services: make([]ServiceReport, 0, len(l.lines))}
	for _, e := range l.lines {
		r.Services = append(r.Services, l.reportLine(e))
	}
	return r
}

func (l *Ledger) reportLine(e *line) ServiceReport {
	reserve, domain := e.worst()
	spec := e.service.Spec
	report := ServiceReport{
		Service: spec.ID, Pool: spec.Pool, Wanted: spec.Instances, Least: spec.MinAvailable,
		Available: e.available, Reserve: reserve, Domain: domain, Left: e.left(l.options.Rules),
		Words: l.words(e),
	}
	var causes []string
	for loss := Starting; loss < lossCount; loss++ {
		if n := e.lost[loss]; n > 0 {
			causes = append(causes, fmt.Sprintf("%d %s", n, loss))
			report.addLost(loss, n)
		}
	}
	if len(causes) > 0 {
		report.Words += " (not available: " + strings.Join(causes, ", ") + ")"
	}
	return report
}

func (r *ServiceReport) addLost(l Loss, n int) {
	if r.Lost == nil {
		r.Lost = map[string]int{}
	}
	r.Lost[l.String()] = n
}
