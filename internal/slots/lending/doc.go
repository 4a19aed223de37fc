// Package lending shares the slots of instances between entry VMs.
//
// Each entry VM has a static share of every instance's slots; the shares of all
// configured entry VMs add up to the limit. It lends unused slots to entry VMs
// that have requests waiting, under short leases. Only the entry VM that a
// share belongs to decides about it, so no owner has to be elected, and the
// number of slots in use stays within the limit despite partitions, crashes and
// lost messages.
//
// Messages carry full state: every request lists all slots that the borrower
// holds of the lender, every reply all slots that the borrower may use from now
// on. The borrower applies only the reply to its latest request, and the lender
// ignores requests that a later one has overtaken. A lender counts a loan as in
// use until the borrower reports otherwise, or until the lease has ended and
// after it the longest time that a request on the loan may run.
//
// A Lender keeps the lender's records, a Borrower the borrower's. Both are
// deterministic: time and messages are arguments. Neither is safe for concurrent
// use.
package lending
