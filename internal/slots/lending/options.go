package lending

import "time"

// Options are the times of lending. Zero values take the defaults.
type Options struct {
	// Lease is how long a loan may be used without a renewal.
	Lease time.Duration
	// HoldReply is how long a lender holds a reply until it has slots.
	HoldReply time.Duration
	// KeepIdle is how long a borrower keeps a slot which it doesn't use.
	KeepIdle time.Duration
	// Spacing is the least time between two requests to one lender.
	Spacing time.Duration
	// HelpAfter: a borrower asks when it expects a longer wait for a slot of its own.
	HelpAfter time.Duration
	// Margin and UrgentMargin are how much longer a request elsewhere must
	// have waited to go before a local one of the same class.
	Margin       time.Duration
	UrgentMargin time.Duration
	// Rules switches rules off; for tests only.
	Rules Rules
}

// Rules names the rules that tests switch off one by one.
type Rules struct {
	// FreeAtLapse frees a loan when its lease ends, not counting the requests
	// that still run on it.
	FreeAtLapse bool
	// UseLapsed goes on to use a loan whose lease ended.
	UseLapsed bool
	// TakeStale lets the lender believe requests that were overtaken.
	TakeStale bool
	// ApplyStale lets the borrower apply replies to earlier requests.
	ApplyStale bool
	// ForgetRunning lets the borrower drop recalled slots that are in use.
	ForgetRunning bool
	// LendBlind lends slots that are in use.
	LendBlind bool
	// SkipRecovery starts without asking what others hold of an earlier process.
	SkipRecovery bool
}

// Defaults of Options.
const (
	DefaultLease        = 1500 * time.Millisecond
	DefaultHoldReply    = 400 * time.Millisecond
	DefaultKeepIdle     = 250 * time.Millisecond
	DefaultSpacing      = 2 * time.Millisecond
	DefaultHelpAfter    = 2 * time.Millisecond
	DefaultMargin       = 50 * time.Millisecond
	DefaultUrgentMargin = 5 * time.Millisecond
)

// driftShare is the part of a lease that the borrower takes off: its clock may
// run so much slower than the lender's (1/64 = 1.6 %).
const driftShare = 64

// WithDefaults fills in what is zero.
func (o Options) WithDefaults() Options {
	for _, d := range []struct {
		value *time.Duration
		other time.Duration
	}{
		{&o.Lease, DefaultLease}, {&o.HoldReply, DefaultHoldReply}, {&o.KeepIdle, DefaultKeepIdle},
		{&o.Spacing, DefaultSpacing}, {&o.HelpAfter, DefaultHelpAfter},
		{&o.Margin, DefaultMargin}, {&o.UrgentMargin, DefaultUrgentMargin},
	} {
		if *d.value <= 0 {
			*d.value = d.other
		}
	}
	return o
}
