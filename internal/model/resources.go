package model

// Resources is an amount of what a worker offers or a task needs.
type Resources struct {
	// MilliCPU is processor share in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes (1 MB = 1,000,000 bytes).
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference; members may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r can be taken out of free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Scale multiplies processors and memory by f and rounds up; accelerators
// are whole devices that a declaration does not misjudge, so they stay.
func (r Resources) Scale(f float64) Resources {
	return Resources{scaleUp(r.MilliCPU, f), scaleUp(r.MemoryMB, f), r.Accelerators}
}

// Max returns the larger value in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// IsZero reports whether nothing is asked for or offered.
func (r Resources) IsZero() bool { return r == Resources{} }

func scaleUp(v int64, f float64) int64 {
	scaled := int64(float64(v) * f)
	if float64(scaled) < float64(v)*f {
		scaled++
	}
	return scaled
}
