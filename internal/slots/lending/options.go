package lending

import "time"

// Options sets the times of lending. Zero values take the defaults.
type Options struct {
	// Lease is how long a loan may be used without a renewal.
	Lease time.Duration
	// HoldReply is how long a lender may hold a reply until it has slots.
	HoldReply time.Duration
	// KeepIdle is how long a borrower keeps a slot that it doesn't use.
	KeepIdle time.Duration
	// Spacing is the minimum time between two requests to one lender.
	Spacing time.Duration
	// BorrowAfter is the expected wait for one of its own slots above which an
	// entry VM borrows.
	BorrowAfter time.Duration
	// LocalMargin and UrgentLocalMargin are how much longer a request at another
	// entry VM must have waited than a local one of the same class to precede it.
	LocalMargin       time.Duration
	UrgentLocalMargin time.Duration
	// Rules disables rules; for tests only.
	Rules Rules
}

// Rules lists the rules that tests disable one by one.
type Rules struct {
	// FreeAtLeaseEnd frees a loan when its lease ends, although requests may still
	// run on it.
	FreeAtLeaseEnd bool
	// UseExpired lets the borrower use a loan whose lease has ended.
	UseExpired bool
	// AcceptStaleRequests lets the lender accept requests that a later one has
	// overtaken.
	AcceptStaleRequests bool
	// ApplyStaleReplies lets the borrower apply replies to earlier requests.
	ApplyStaleReplies bool
	// DropSlotsInUse lets the borrower drop recalled slots that are in use.
	DropSlotsInUse bool
	// LendSlotsInUse lends slots that are in use.
	LendSlotsInUse bool
	// SkipRecovery starts without asking other entry VMs which slots they hold
	// from an earlier process.
	SkipRecovery bool
}

// Defaults of Options.
const (
	DefaultLease             = 1500 * time.Millisecond
	DefaultHoldReply         = 400 * time.Millisecond
	DefaultKeepIdle          = 250 * time.Millisecond
	DefaultSpacing           = 2 * time.Millisecond
	DefaultBorrowAfter       = 2 * time.Millisecond
	DefaultLocalMargin       = 50 * time.Millisecond
	DefaultUrgentLocalMargin = 5 * time.Millisecond
)

// clockDriftShare is the divisor of a lease that yields the part by which the
// borrower shortens it: its clock may run that much slower than the lender's
// (1/64 = 1.6 %).
const clockDriftShare = 64

// WithDefaults replaces zero values by the defaults.
func (o Options) WithDefaults() Options {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.Lease, DefaultLease}, {&o.HoldReply, DefaultHoldReply}, {&o.KeepIdle, DefaultKeepIdle},
		{&o.Spacing, DefaultSpacing}, {&o.BorrowAfter, DefaultBorrowAfter},
		{&o.LocalMargin, DefaultLocalMargin}, {&o.UrgentLocalMargin, DefaultUrgentLocalMargin},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	return o
}
