// Package lending shares the slots of instances between entry VMs.
//
// Each entry VM has a static share of every instance's slots by right; the
// shares of all configured entry VMs add up to the limit. What it doesn't use
// it lends to entry VMs that have requests waiting, under short leases. Only
// the entry VM that a share belongs to decides about it, so there is no owner
// to elect, and whatever a partition, a crash or a lost message does, the sum
// of slots in use stays within the limit.
//
// The exchange is stateless in one direction: every request says all that the
// borrower holds of the lender, every reply says all that it may use from now
// on. The borrower applies only the reply to its latest request, and the
// lender ignores requests that were overtaken. A lender counts a loan as used
// until the borrower says otherwise, or until its lease and the longest run of
// a request on it are over.
//
// A Ledger is the lender's side and a Book the borrower's. Both are pure: time
// and messages are arguments. Neither is safe for concurrent use.
package lending
