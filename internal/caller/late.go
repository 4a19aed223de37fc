package caller

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// maxConfirms bounds the reads that ask the leader at one time.
const maxConfirms = 16

// confirm waits until this VM has applied what was committed before, so that
// "not found" is not just "not heard of yet".
func (s *Server) confirm(ctx context.Context) *failure {
	select {
	case s.confirms <- struct{}{}:
		defer func() { <-s.confirms }()
	default:
		return overloaded("too many look-ups ask the leader", 0)
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.ClaimTimeout)
	defer cancel()
	if _, err := s.Log.Confirm(ctx); err != nil {
		return overloaded("the control log can't be read with certainty at present", 0)
	}
	return nil
}

// getRequest serves GET /requests/:key, the late answer.
func (s *Server) getRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params, id string) {
	key, ok := validKey(p.ByName("key"))
	if !ok {
		s.writeFailure(w, id, refuse(http.StatusBadRequest, "key: must have 1 to 128 printable ASCII characters without spaces or slashes"))
		return
	}
	claim := s.Log.Claim(key)
	if claim == nil {
		if f := s.confirm(r.Context()); f != nil {
			s.writeFailure(w, id, f)
			return
		}
		claim = s.Log.Claim(key)
	}
	if claim == nil {
		// The request may still wait for its slot at another entry VM and
		// be claimed later, or its claim may have been forgotten, so that
		// nothing can be promised.
		s.writeFailure(w, id, &failure{status: http.StatusNotFound, verdict: model.MayHaveRun, message: "no request with this key is known"})
		return
	}
	s.answerFromClaim(w, r, id, claim, nil)
}
