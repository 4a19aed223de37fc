package admission

import "time"

// rateWeight is the weight of a new sample in the exponential mean, which covers
// about the last 32 samples.
const rateWeight = 1.0 / 32

// Rate estimates how fast slots become free from how long requests hold them.
type Rate struct {
	mean    float64 // nanoseconds
	samples int
}

// Observe records how long a request held its slot.
func (r *Rate) Observe(held time.Duration) {
	r.samples++
	weight := max(rateWeight, 1/float64(r.samples))
	r.mean += weight * (float64(held) - r.mean)
}

// Mean returns the mean time that a request holds a slot; 0 before the first
// sample.
func (r *Rate) Mean() time.Duration { return time.Duration(r.mean) }

// ExpectedWait estimates how long a request waits that has the given number of
// requests ahead of it while all slots are in use: slots become free at a rate
// of slots/mean. It returns 0 before the first sample.
func (r *Rate) ExpectedWait(ahead, slots int) time.Duration {
	if r.samples == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * r.mean / float64(max(slots, 1)))
}
