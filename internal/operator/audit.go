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

// auditQuery is what GET /audit asks for.
type auditQuery struct {
	from   uint64
	limit  int
	follow time.Duration
}

func parseAuditQuery(r *http.Request) (auditQuery, error) {
	q := auditQuery{limit: auditPage}
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

// getAudit returns records from a sequence on. With ?follow it waits so long
// for the first of them (long poll).
func (s *server) getAudit(w http.ResponseWriter, r *http.Request, _ string) {
	query, err := parseAuditQuery(r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), query.follow)
	defer cancel()
	page, err := s.readAudit(ctx, query)
	if err != nil {
		fail(w, http.StatusInternalServerError, "the audit trail can't be read: "+err.Error())
		return
	}
	answer(w, http.StatusOK, model.Ran, page)
}

// readAudit reads until there is a record or ctx ends. The trail is written a
// moment after a change is applied, so an empty page is read again after the
// next change or pause.
func (s *server) readAudit(ctx context.Context, q auditQuery) (audit.Page, error) {
	for {
		index := s.Log.View().Index
		page, err := s.Audit.Read(q.from, q.limit)
		if err != nil || len(page.Records) > 0 || ctx.Err() != nil {
			return page, err
		}
		pause, cancel := context.WithTimeout(ctx, followPause)
		_ = s.Log.WaitApplied(pause, index+1)
		cancel()
	}
}

// followPause bounds how late a follower sees a record.
const followPause = time.Second

// getMetrics returns all counters of this process.
func (s *server) getMetrics(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(model.VerdictHeader, model.Ran.String())
	metrics.WriteJSONOnce(s.Registry, w)
}
