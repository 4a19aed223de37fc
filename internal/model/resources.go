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
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference; members may become negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Scale multiplies processors and memory by f and rounds up. Accelerators stay:
// they are whole devices, whose number callers declare correctly.
func (r Resources) Scale(factor float64) Resources {
	return Resources{scaleUp(r.MilliCPU, factor), scaleUp(r.MemoryMB, factor), r.Accelerators}
}

// Max returns the larger value of each dimension.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.MilliCPU, other.MilliCPU), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators)}
}

// IsZero reports whether r is empty in every dimension.
func (r Resources) IsZero() bool { return r == Resources{} }

func scaleUp(v int64, factor float64) int64 {
	scaled := int64(float64(v) * factor)
	if float64(scaled) < float64(v)*factor {
		scaled++
	}
	return scaled
}
