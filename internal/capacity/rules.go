package capacity

// Rules switches single mechanisms off, so that a simulation of the load can
// show what each of them is worth. It is the zero value in every real process.
type Rules struct {
	// SkipTurns expects no peak periods.
	SkipTurns bool
	// SkipSuccessor predicts no successor for a pool that has had none so far.
	SkipSuccessor bool
	// SkipLevel expects a peak period to have its highest rate, and no longer
	// expects it once it has begun.
	SkipLevel bool
	// SkipNotice detects a peak period only by rates over rateWindow.
	SkipNotice bool
	// SkipAnchor averages the rate of a peak period that has just begun over
	// the whole of rateWindow.
	SkipAnchor bool
	// SkipDistinct predicts peak periods even if they hardly stand out.
	SkipDistinct bool
	// SkipRecord predicts the next pool even if the predictions were mostly
	// wrong.
	SkipRecord bool
}
