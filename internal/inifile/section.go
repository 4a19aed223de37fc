package inifile

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Required, used as the default of a key, makes a missing key a problem.
const Required = "\x00required"

// Section is one section of a file. Its methods that read keys add a problem to
// the file for each invalid value.
type Section struct {
	file      *File
	name      string
	label     string
	values    map[string]string
	requested map[string]bool
	accessed  bool
}

func newSection(f *File, parsed *ini.Section) *Section {
	s := &Section{file: f, name: parsed.Name(), values: map[string]string{}, requested: map[string]bool{}}
	for _, key := range parsed.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			s.Report(key.Name(), "appears twice; a key may appear once")
		}
		s.values[key.Name()] = strings.TrimSpace(key.Value())
	}
	return s
}

// Name returns the section's name as written in the file.
func (s *Section) Name() string { return s.name }

// Label returns NAME of a section "[kind NAME]" that SectionsOfKind returned.
func (s *Section) Label() string { return s.label }

// Report adds a problem with a key of the section.
func (s *Section) Report(key, message string) { s.file.Report(s.name, key, message) }

// Keys returns the keys present, sorted.
func (s *Section) Keys() []string {
	keys := make([]string, 0, len(s.values))
	for key := range s.values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Has reports whether the key is present and not empty.
func (s *Section) Has(key string) bool { return s.values[key] != "" }

// String returns the key's text, or the default when it is absent or empty.
func (s *Section) String(key, def string) string {
	if s.requested != nil {
		s.requested[key] = true
	}
	if text := s.values[key]; text != "" {
		return text
	}
	if def != Required {
		return def
	}
	s.Report(key, "is missing")
	return ""
}

// Choice returns the key's text and reports a problem when it is not one of
// allowed.
func (s *Section) Choice(key, def string, allowed ...string) string {
	text := s.String(key, def)
	for _, choice := range allowed {
		if text == choice {
			return text
		}
	}
	if text != "" {
		s.Report(key, fmt.Sprintf("is %q; allowed: %s", text, strings.Join(allowed, ", ")))
	}
	return text
}

// Int returns a whole number within low..high.
func (s *Section) Int(key, def string, low, high int64) int64 {
	text := s.String(key, def)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < low || value > high {
		s.Report(key, fmt.Sprintf("is %q; allowed: a whole number from %d to %d", text, low, high))
	}
	return value
}

// Float returns a number within low..high.
func (s *Section) Float(key, def string, low, high float64) float64 {
	text := s.String(key, def)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		s.Report(key, fmt.Sprintf("is %q; allowed: a number from %g to %g", text, low, high))
	}
	return value
}

// Duration returns a duration within low..high; the text must have a unit.
func (s *Section) Duration(key, def string, low, high time.Duration) time.Duration {
	text := s.String(key, def)
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high || lacksUnit(text) {
		s.Report(key, fmt.Sprintf("is %q; allowed: a duration with its unit (ms, s, m, h) from %s to %s", text, low, high))
	}
	return value
}

// lacksUnit reports whether text is zero without a unit, the only number that
// time.ParseDuration accepts without one.
func lacksUnit(text string) bool { return strings.Trim(text, "+-0") == "" }

// sizeUnits lists the units of sizes and their number of bytes.
var sizeUnits = []struct {
	suffix string
	factor int64
}{{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12}}

// Bytes returns a size in bytes within low..high; the text must have a unit (KB,
// MB, GB or TB; powers of ten).
func (s *Section) Bytes(key, def string, low, high int64) int64 {
	text := s.String(key, def)
	if text == "" {
		return 0
	}
	value, ok := parseSize(text)
	if !ok || value < low || value > high {
		s.Report(key, fmt.Sprintf("is %q; allowed: a size with its unit (KB, MB, GB, TB) from %s to %s", text, FormatSize(low), FormatSize(high)))
	}
	return value
}

func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || value < 0 || value > (1<<62)/unit.factor {
			return 0, false
		}
		return value * unit.factor, true
	}
	return 0, false
}

// FormatSize formats a size in the largest unit that divides it.
func FormatSize(bytes int64) string {
	for i := len(sizeUnits) - 1; i >= 0; i-- {
		if bytes != 0 && bytes%sizeUnits[i].factor == 0 {
			return fmt.Sprintf("%d%s", bytes/sizeUnits[i].factor, sizeUnits[i].suffix)
		}
	}
	return fmt.Sprintf("%d bytes", bytes)
}

// Address returns an "IP:port". Host names are refused, because a VM must be able
// to start when name resolution is down.
func (s *Section) Address(key, def string) string {
	text := s.String(key, def)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		s.Report(key, fmt.Sprintf("is %q; allowed: IP:port, such as 10.0.0.7:7001", text))
	}
	return text
}

// List returns the trimmed, non-empty parts of a comma-separated text.
func (s *Section) List(key, def string) []string {
	var parts []string
	for _, part := range strings.Split(s.String(key, def), ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// unknownKeys returns a problem for the section if it was never read, or else for
// each key that was never read.
func (s *Section) unknownKeys() []Problem {
	if !s.accessed {
		return []Problem{{File: s.file.name, Section: s.name, Message: "is not a known section"}}
	}
	var problems []Problem
	for _, key := range s.Keys() {
		if !s.requested[key] {
			problems = append(problems, Problem{File: s.file.name, Section: s.name, Key: key, Message: "is not a known key of this section"})
		}
	}
	return problems
}
