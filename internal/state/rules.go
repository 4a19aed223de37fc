package state

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses; tests switch a rule off to see
// that the invariants notice.
type Rules struct {
	// SkipRevision accepts a manifest whatever its revision.
	SkipRevision bool
	// SkipGeneration accepts actions that saw an older generation.
	SkipGeneration bool
	// SkipTerm accepts commands of an earlier term.
	SkipTerm bool
	// SkipSingleOwner finishes a move while the old pool still uses the VM.
	SkipSingleOwner bool
	// SkipLease lets a task count as lapsed before its lease and margin ended.
	SkipLease bool
	// SkipPermit grants permits to VMs that are moving, and starts tasks on
	// VMs that hold one.
	SkipPermit bool
	// SkipClaimOnce grants a claimed key again.
	SkipClaimOnce bool
	// SkipClaimOwner lets any process settle a claim, and settle it again.
	SkipClaimOwner bool
	// SkipOneTask starts a second task for a job or an instance.
	SkipOneTask bool
	// SkipStepBack applies an index that was applied before.
	SkipStepBack bool
	// SkipCommandMemory applies a command ID a second time.
	SkipCommandMemory bool
	// SkipCancel starts jobs that were cancelled.
	SkipCancel bool
}
