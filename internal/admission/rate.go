package admission

import "time"

// rateWeight is the weight of a new sample in the mean: about the last 32.
const rateWeight = 1.0 / 32

// Rate estimates how fast slots come free from how long requests hold them.
type Rate struct {
	mean    float64 // nanoseconds
	samples int
}

// Observe learns how long a request held its slot.
func (r *Rate) Observe(held time.Duration) {
	r.samples++
	weight := max(rateWeight, 1/float64(r.samples))
	r.mean += weight * (float64(held) - r.mean)
}

// Mean is the mean time that a request holds a slot; 0 until one was seen.
func (r *Rate) Mean() time.Duration { return time.Duration(r.mean) }

// Wait estimates when a request starts that has so many ahead of it, with so
// many slots that all are in use: slots come free at slots/mean a second. It
// is 0 while nothing was measured.
func (r *Rate) Wait(ahead, slots int) time.Duration {
	if r.samples == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * r.mean / float64(max(slots, 1)))
}
