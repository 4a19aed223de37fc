package manifest

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// namePattern matches valid identifiers, which are used in URLs, headers and file
// names.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// routeMethods are the HTTP methods allowed in routes; "*" matches all.
var routeMethods = []string{
	"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// section reads the keys of one section with the bounds and defaults of the table.
type section struct {
	ini  *inifile.Section
	kind string
}

func (s section) report(key, format string, args ...any) {
	s.ini.Report(key, fmt.Sprintf(format, args...))
}

func (s section) count(key string) int64 {
	k := lookupKey(s.kind, key)
	return s.ini.Int(key, k.Default, k.Low, k.High)
}

func (s section) weight(key string) float64 {
	return s.ini.Float(key, lookupKey(s.kind, key).Default, 0, 1)
}

func (s section) duration(key string) time.Duration {
	k := lookupKey(s.kind, key)
	return s.ini.Duration(key, k.Default, time.Duration(k.Low), time.Duration(k.High))
}

// memory returns a memory size in whole megabytes.
func (s section) memory(key string) int64 {
	k := lookupKey(s.kind, key)
	bytes := s.ini.Bytes(key, k.Default, k.Low, k.High)
	if bytes%MinMemory != 0 {
		s.report(key, "is not whole megabytes; allowed: %s", k.Bounds())
	}
	return bytes / MinMemory
}

// processors returns a number of cores in thousandths.
func (s section) processors(key string) int64 {
	k := lookupKey(s.kind, key)
	text := s.ini.String(key, k.Default)
	if text == "" {
		return 0
	}
	milli, err := parseProcessors(text)
	if err != nil || milli < k.Low || milli > k.High {
		s.report(key, "is %q; allowed: whole cores such as 16, or thousandths such as 1500m, from %s", text, k.Bounds())
	}
	return milli
}

func parseProcessors(text string) (int64, error) {
	if number, found := strings.CutSuffix(text, "m"); found {
		return strconv.ParseInt(number, 10, 64)
	}
	cores, err := strconv.ParseInt(text, 10, 32)
	return cores * 1000, err
}

func formatProcessors(milli int64) string {
	if milli%1000 == 0 {
		return strconv.FormatInt(milli/1000, 10)
	}
	return strconv.FormatInt(milli, 10) + "m"
}

func (s section) resources() model.Resources {
	return model.Resources{
		MilliCPU:     s.processors("processors"),
		MemoryMB:     s.memory("memory"),
		Accelerators: s.count("accelerators"),
	}
}

func (s section) name(key string) string {
	k := lookupKey(s.kind, key)
	text := s.ini.String(key, k.Default)
	if text != "" && !namePattern.MatchString(text) {
		s.report(key, "is %q; allowed: %s", text, k.Bounds())
	}
	return text
}

// names returns the sorted names of a list.
func (s section) names(key string) []string {
	k := lookupKey(s.kind, key)
	list := s.ini.List(key, k.Default)
	for i, name := range list {
		if !namePattern.MatchString(name) {
			s.report(key, "holds %q; allowed: %s", name, k.Bounds())
		}
		if slices.Contains(list[:i], name) {
			s.report(key, "holds %q twice", name)
		}
	}
	slices.Sort(list)
	return list
}

func (s section) priority(key string) model.Priority {
	k := lookupKey(s.kind, key)
	text := s.ini.String(key, k.Default)
	p, ok := model.ParsePriority(text)
	if !ok {
		s.report(key, "is %q; allowed: %s", text, k.Bounds())
	}
	return p
}

func (s section) time(key string) model.Instant {
	k := lookupKey(s.kind, key)
	text := s.ini.String(key, k.Default)
	if text == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		s.report(key, "is %q; allowed: %s", text, k.Bounds())
	}
	return model.InstantOf(t)
}

func (s section) windows(key string) []model.Window {
	var windows []model.Window
	for _, text := range s.ini.List(key, "") {
		w, ok := parseWindow(text)
		if !ok {
			s.report(key, "holds %q; allowed: %s", text, lookupKey(s.kind, key).Bounds())
			continue
		}
		windows = append(windows, w)
	}
	slices.SortFunc(windows, func(a, b model.Window) int { return int(a.From - b.From) })
	return windows
}

func parseWindow(text string) (model.Window, bool) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		return model.Window{}, false
	}
	w := model.Window{}
	var ok1, ok2 bool
	w.From, ok1 = parseClock(from)
	w.To, ok2 = parseClock(to)
	return w, ok1 && ok2 && w.From != w.To
}

func parseClock(text string) (time.Duration, bool) {
	t, err := time.Parse("15:04", strings.TrimSpace(text))
	if err != nil {
		return 0, false
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, true
}

// routes returns the routes of both keys in the order in which they are matched:
// the longest prefix first, then a specific method before "*", so that the order
// in the file does not matter.
func (s section) routes() []model.Route {
	routes := s.routeList("idempotent_routes", true)
	for _, route := range s.routeList("non_idempotent_routes", false) {
		if slices.ContainsFunc(routes, func(r model.Route) bool { return sameRoute(r, route) }) {
			s.report("non_idempotent_routes", "holds %q, which idempotent_routes holds too", route.Method+" "+route.Prefix)
		}
		routes = append(routes, route)
	}
	slices.SortFunc(routes, compareRoutes)
	return routes
}

func (s section) routeList(key string, idempotent bool) []model.Route {
	var routes []model.Route
	for _, text := range s.ini.List(key, "") {
		fields := strings.Fields(text)
		if len(fields) != 2 || !slices.Contains(routeMethods, fields[0]) || !strings.HasPrefix(fields[1], "/") {
			s.report(key, "holds %q; allowed: %s, with a method of %s", text,
				lookupKey(s.kind, key).Bounds(), strings.Join(routeMethods, " "))
			continue
		}
		route := model.Route{Method: fields[0], Prefix: fields[1], Idempotent: idempotent}
		if slices.Contains(routes, route) {
			s.report(key, "holds %q twice", text)
		}
		routes = append(routes, route)
	}
	return routes
}

func sameRoute(a, b model.Route) bool { return a.Method == b.Method && a.Prefix == b.Prefix }

func compareRoutes(a, b model.Route) int {
	if len(a.Prefix) != len(b.Prefix) {
		return len(b.Prefix) - len(a.Prefix)
	}
	if a.Prefix != b.Prefix {
		return strings.Compare(a.Prefix, b.Prefix)
	}
	return strings.Compare(b.Method, a.Method) // "*" sorts before letters
}
