package capacity

// Rules switches single mechanisms off, so that a simulation of the load can
// measure the effect of each. It is the zero value in every real process.
type Rules struct {
	// SkipPeaks expects no peak periods.
	SkipPeaks bool
	// SkipNewSuccessor predicts no successor for a pool that has had none so
	// far.
	SkipNewSuccessor bool
	// SkipMean expects a peak period to have its highest rate, and no longer
	// expects it once it has begun.
	SkipMean bool
	// SkipEarlyDetection detects a peak period only by rates over rateWindow.
	SkipEarlyDetection bool
	// SkipShortWindow averages the rate of a peak period that has just begun
	// over the whole of rateWindow.
	SkipShortWindow bool
	// SkipDistinctCheck predicts peak periods even if they hardly stand out.
	SkipDistinctCheck bool
	// SkipAccuracyCheck predicts the next pool even if the predictions were
	// mostly wrong.
	SkipAccuracyCheck bool
}
