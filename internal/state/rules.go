package state

// Rules switches individual safety rules off. The zero value has every rule on
// and is the only one that production code uses; tests switch rules off to verify
// that the invariant checks detect it.
type Rules struct {
	// SkipRevision accepts a manifest of any revision.
	SkipRevision bool
	// SkipGeneration accepts actions that are based on an older generation.
	SkipGeneration bool
	// SkipTerm accepts commands of an earlier term.
	SkipTerm bool
	// SkipSingleOwner finishes a move while the old pool still uses the VM.
	SkipSingleOwner bool
	// SkipLease accepts OutcomeLapsed before the lease and its margin ended.
	SkipLease bool
	// SkipPermit grants permits to VMs that are moving, starts tasks on and
	// moves VMs that have one, and releases them before their soak time ends.
	SkipPermit bool
	// SkipClaimOnce grants a claimed key again.
	SkipClaimOnce bool
	// SkipClaimOwner lets any process settle a claim, and settle it again.
	SkipClaimOwner bool
	// SkipOneTask starts a second task for a job or an instance.
	SkipOneTask bool
	// SkipIndexOrder applies an index that was applied before.
	SkipIndexOrder bool
	// SkipDedup applies a command ID a second time.
	SkipDedup bool
	// SkipCancel starts jobs that were cancelled.
	SkipCancel bool
}
