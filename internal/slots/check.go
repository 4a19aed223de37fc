package slots

import "fmt"

// checkInvariants returns the violated invariants, or none. Overruns are reported
// only when there are more of them than at the last check.
func (k *core) checkInvariants() []string {
	violations := append(k.set.Check(), k.queue.Check()...)
	overruns := 0
	for i, share := range k.shares {
		instance := k.set.Get(i)
		if instance == nil || len(k.unrecovered) > 0 {
			continue
		}
		own := share - k.lender.Lent(i)
		if instance.InUse > max(own, 0)+k.borrower.Held(i) || own < 0 {
			overruns++
		}
	}
	if overruns > k.overruns {
		violations = append(violations, fmt.Sprintf("more slots in use than allowed at %d instances", overruns))
	}
	k.overruns = overruns
	return violations
}
