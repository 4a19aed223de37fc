package model

// Verdict states whether a request may have run at an upstream. It is the
// central type of error handling for callers' requests: every response carries one.
type Verdict uint8

const (
	// NotRun guarantees that no upstream has run the request or will run it.
	NotRun Verdict = iota
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun
	// Ran means that an upstream responded to the request.
	Ran
)

// VerdictHeader is the response header that carries the verdict.
const VerdictHeader = "Comfreyloom-Verdict"

// String returns the form used in VerdictHeader.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict is the inverse of String. For an unknown text it returns
// MayHaveRun, the only value that guarantees nothing, and ok is false.
func ParseVerdict(s string) (v Verdict, ok bool) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if v.String() == s {
			return v, true
		}
	}
	return MayHaveRun, false
}

// Priority orders requests and jobs. The zero value is Normal.
type Priority int8

const (
	// Batch work uses the capacity that other work leaves; ageing guarantees it
	// a minimum share.
	Batch Priority = -1
	// Normal is the default.
	Normal Priority = 0
	// Urgent work runs before all other work and is shed last.
	Urgent Priority = 1
)

// String returns the form used in headers and manifests.
func (p Priority) String() string {
	switch p {
	case Batch:
		return "batch"
	case Urgent:
		return "urgent"
	default:
		return "normal"
	}
}

// ParsePriority is the inverse of String.
func ParsePriority(s string) (Priority, bool) {
	for _, p := range []Priority{Batch, Normal, Urgent} {
		if p.String() == s {
			return p, true
		}
	}
	return Normal, false
}
