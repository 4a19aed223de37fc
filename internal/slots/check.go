package slots

import "fmt"

// check returns the invariants that are broken; none when all is well.
func (k *core) check() []string {
	broken := append(k.set.Check(), k.queue.Check()...)
	overruns := 0
	for i, share := range k.shares {
		instance := k.set.Get(i)
		if instance == nil || len(k.unrecovered) > 0 {
			continue
		}
		own := share - k.ledger.Lent(i)
		if instance.InUse > max(own, 0)+k.book.Held(i) || own < 0 {
			overruns++
		}
	}
	if overruns > k.overruns {
		broken = append(broken, fmt.Sprintf("more slots in use than allowed at %d instances", overruns))
	}
	k.overruns = overruns
	return broken
}
