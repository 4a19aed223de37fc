package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// Names of headers. headerKept marks a response that was stored under a key and
// is not the direct response of an upstream.
const (
	headerPrefix      = "Comfreyloom-"
	headerKey         = "Idempotency-Key"
	headerIdempotent  = "Comfreyloom-Idempotent"
	headerPriority    = "Comfreyloom-Priority"
	headerTimeout     = "Comfreyloom-Timeout"
	headerTeam        = "Comfreyloom-Team"
	headerKept        = "Comfreyloom-Kept"
	maxKeyBytes       = 128
	maxAllowedInError = 20
)

// allowedHeaders are the comfreyloom headers that a caller may send.
var allowedHeaders = map[string]bool{
	headerIdempotent:         true,
	headerPriority:           true,
	headerTimeout:            true,
	headerTeam:               true,
	upstream.RequestIDHeader: true,
}

// hopByHop are the headers that belong to one connection and not to the
// request, and those that net/http sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	"Host":                true,
}

// options are the options that a caller sets in headers.
type options struct {
	key model.RequestKey
	// idempotent is nil if the caller does not set it.
	idempotent *bool
	priority   model.Priority
	timeout    time.Duration
	team       model.TeamID
	// alreadyClaimed reports that a request with this key was claimed before.
	alreadyClaimed bool
}

// singleValue returns the only value of a header, "" if it is absent.
func singleValue(h http.Header, name string) (string, *failure) {
	values := h[name]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", refuseHeader(name, "may be given once")
	}
	return values[0], nil
}

// parseOptions reads the caller's headers; service gives the defaults.
func (s *Server) parseOptions(h http.Header, site *model.Site, service *model.Service) (options, *failure) {
	o := options{priority: service.Priority, timeout: service.Timeout}
	if o.timeout <= 0 {
		o.timeout = s.limits.DefaultTimeout
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) && !allowedHeaders[name] {
			return o, refuseHeader(name, "is not a header of comfreyloom", headerIdempotent, headerPriority, headerTeam, headerTimeout)
		}
	}
	for _, parse := range []func(http.Header, *options) *failure{parseKey, parseIdempotent, parsePriority, s.parseTimeout} {
		if f := parse(h, &o); f != nil {
			return o, f
		}
	}
	o.alreadyClaimed = s.claimedBefore(o.key, service.ID)
	if o.alreadyClaimed {
		return o, nil // the manifest may have dropped its team
	}
	return o, parseTeam(h, site, &o)
}

func parseKey(h http.Header, o *options) *failure {
	value, f := singleValue(h, headerKey)
	if f != nil || len(h[headerKey]) == 0 {
		return f
	}
	key, ok := validKey(value)
	if !ok {
		return refuseHeader(headerKey, "must have 1 to 128 printable ASCII characters without spaces or slashes")
	}
	o.key = key
	return nil
}

func validKey(value string) (model.RequestKey, bool) {
	if value == "" || len(value) > maxKeyBytes || strings.ContainsFunc(value, invalidInKey) {
		return "", false
	}
	return model.RequestKey(value), true
}

// invalidInKey reports whether a character must not occur in a key. The slash
// is excluded because the key is a path segment of GET /requests/:key.
func invalidInKey(c rune) bool { return c <= ' ' || c > '~' || c == '/' }

func parseIdempotent(h http.Header, o *options) *failure {
	value, f := singleValue(h, headerIdempotent)
	if f != nil || len(h[headerIdempotent]) == 0 {
		return f
	}
	if value != "true" && value != "false" {
		return refuseHeader(headerIdempotent, "is neither true nor false", "true", "false")
	}
	idempotent := value == "true"
	o.idempotent = &idempotent
	return nil
}

func parsePriority(h http.Header, o *options) *failure {
	value, f := singleValue(h, headerPriority)
	if f != nil || len(h[headerPriority]) == 0 {
		return f
	}
	p, ok := model.ParsePriority(value)
	if !ok {
		return refuseHeader(headerPriority, "is not a priority", model.Urgent.String(), model.Normal.String(), model.Batch.String())
	}
	o.priority = p
	return nil
}

func (s *Server) parseTimeout(h http.Header, o *options) *failure {
	value, f := singleValue(h, headerTimeout)
	if f != nil || len(h[headerTimeout]) == 0 {
		return f
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < s.limits.MinTimeout || d > s.limits.MaxTimeout {
		return refuseHeader(headerTimeout, "must be a duration with a unit, such as 1500ms, from "+
			s.limits.MinTimeout.String()+" to "+s.limits.MaxTimeout.String())
	}
	o.timeout = d
	return nil
}

func parseTeam(h http.Header, site *model.Site, o *options) *failure {
	value, f := singleValue(h, headerTeam)
	if f != nil || len(h[headerTeam]) == 0 {
		return f
	}
	if !knownTeam(site, model.TeamID(value)) {
		return refuseHeader(headerTeam, "is not a team of the manifest", teamNames(site)...)
	}
	o.team = model.TeamID(value)
	return nil
}

func knownTeam(site *model.Site, team model.TeamID) bool {
	for i := range site.Teams {
		if site.Teams[i].ID == team {
			return true
		}
	}
	return false
}

func teamNames(site *model.Site) []string {
	var names []string
	for i := range site.Teams {
		if i == maxAllowedInError {
			break
		}
		names = append(names, string(site.Teams[i].ID))
	}
	return names
}

// endToEndHeaders copies the headers that are passed on to the other side.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+1)
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
