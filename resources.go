package guavascale

// Resources is an amount of what a worker has. All fields are 0 or more.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64
	// Accelerators is a number of whole devices.
	Accelerators int64
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.MilliCores + s.MilliCores, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Sub returns r less s; fields may become negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.MilliCores - s.MilliCores, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// Fits reports whether s is at most r in every field.
func (r Resources) Fits(s Resources) bool {
	return s.MilliCores <= r.MilliCores && s.MemoryMB <= r.MemoryMB && s.Accelerators <= r.Accelerators
}

// IsZero reports whether all fields are 0.
func (r Resources) IsZero() bool { return r == Resources{} }
