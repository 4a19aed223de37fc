package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// auditQuery holds the query parameters of GET /audit.
type auditQuery struct {
	from   uint64
	limit  int
	follow time.Duration
}

func parseAuditQuery(r *http.Request) (auditQuery, error) {
	q := auditQuery{limit: defaultAuditLimit}
	var err error
	if q.follow, err = waitParameter(r, "follow"); err != nil {
		return q, err
	}
	if text := r.URL.Query().Get("from"); text != "" {
		if q.from, err = strconv.ParseUint(text, 10, 63); err != nil {
			return q, fmt.Errorf("from is %q; allowed: the number of a record", text)
		}
	}
	if text := r.URL.Query().Get("limit"); text != "" {
		q.limit, err = strconv.Atoi(text)
		if err != nil || q.limit < 1 || q.limit > audit.MaxRead {
			return q, fmt.Errorf("limit is %q; allowed: 1 to %d", text, audit.MaxRead)
		}
	}
	return q, nil
}

// getAudit returns the records from a sequence number on. With ?follow it waits
// up to that long for the first of them (long poll).
func (s *server) getAudit(w http.ResponseWriter, r *http.Request, _ string) {
	query, err := parseAuditQuery(r)
	if err != nil {
		respondError(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), query.follow)
	defer cancel()
	page, err := s.readAudit(ctx, query)
	if err != nil {
		respondError(w, http.StatusInternalServerError, "the audit trail can't be read: "+err.Error())
		return
	}
	respond(w, http.StatusOK, model.Ran, page)
}

// readAudit reads until there is a record or ctx ends. The trail is written
// shortly after a change is applied, so an empty page is read again after the
// next change or after auditPollInterval.
func (s *server) readAudit(ctx context.Context, q auditQuery) (audit.Page, error) {
	for {
		index := s.Log.View().Index
		page, err := s.Audit.Read(q.from, q.limit)
		if err != nil || len(page.Records) > 0 || ctx.Err() != nil {
			return page, err
		}
		waitCtx, cancel := context.WithTimeout(ctx, auditPollInterval)
		_ = s.Log.WaitApplied(waitCtx, index+1)
		cancel()
	}
}

// auditPollInterval bounds the delay until a long poll returns a new record.
const auditPollInterval = time.Second

// getMetrics returns all counters of this process.
func (s *server) getMetrics(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(model.VerdictHeader, model.Ran.String())
	metrics.WriteJSONOnce(s.Registry, w)
}
