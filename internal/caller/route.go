package caller

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// servicePrefix is the leading part of each forwarded path.
const servicePrefix = "/s/"

func findService(site *model.Site, id model.ServiceID) *model.Service {
	i, ok := slices.BinarySearchFunc(site.Services, id, func(s model.Service, id model.ServiceID) int {
		return strings.Compare(string(s.ID), string(id))
	})
	if !ok {
		return nil
	}
	return &site.Services[i]
}

// splitPath removes "/s/:service" from the path as the caller wrote it, so that
// escapes in the rest reach the upstream unchanged.
func splitPath(u *url.URL) (model.ServiceID, url.URL, *failure) {
	escaped := strings.TrimPrefix(u.EscapedPath(), servicePrefix)
	name, rest, _ := strings.Cut(escaped, "/")
	service, err := url.PathUnescape(name)
	if err != nil {
		return "", url.URL{}, refuse(http.StatusBadRequest, "path: the service's name can't be read")
	}
	rest = "/" + rest
	decoded, err := url.PathUnescape(rest)
	if err != nil || hasDotSegment(decoded) {
		return "", url.URL{}, refuse(http.StatusBadRequest, "path: the segments . and .. are not allowed")
	}
	return model.ServiceID(service), url.URL{Path: decoded, RawPath: rest, RawQuery: u.RawQuery}, nil
}

// hasDotSegment reports whether the path has "." or ".." segments. An upstream
// would resolve them, and so run another path than the one whose route decided
// on idempotence.
func hasDotSegment(decoded string) bool {
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// isIdempotent decides by method, then by route, then by header. The header may
// mark any request as non-idempotent; it can't override a route of the manifest
// that marks a request as non-idempotent.
func isIdempotent(method, decodedPath string, routes []model.Route, header *bool) bool {
	decided := methodIdempotent(method)
	marked := false
	if r := matchRoute(method, decodedPath, routes); r != nil {
		decided = r.Idempotent
		marked = !r.Idempotent
	}
	if header != nil && !marked {
		decided = *header
	}
	return decided
}

// methodIdempotent follows RFC 9110, section 9.2.2.
func methodIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// matchRoute returns the first route that has the method and whose prefix
// matches whole segments of the path.
func matchRoute(method, decodedPath string, routes []model.Route) *model.Route {
	clean := path.Clean(decodedPath)
	for i := range routes {
		r := &routes[i]
		if (r.Method == "*" || r.Method == method) && underPrefix(clean, r.Prefix) {
			return r
		}
	}
	return nil
}

func underPrefix(clean, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(clean, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
