package guavascale

// Resources is an amount of compute resources: a capacity, a size or a usage.
// Fields are not negative, except in results of Sub.
type Resources struct {
	// MilliCores is CPU in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in MiB (2^20 bytes).
	MemoryMB int64
	// Accelerators is a number of whole accelerator devices.
	Accelerators int64
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.MilliCores + s.MilliCores, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Sub returns r minus s. Fields of the result may be negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.MilliCores - s.MilliCores, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{n * r.MilliCores, n * r.MemoryMB, n * r.Accelerators}
}

// Max returns the larger of r and s in each field.
func (r Resources) Max(s Resources) Resources {
	return Resources{max(r.MilliCores, s.MilliCores), max(r.MemoryMB, s.MemoryMB), max(r.Accelerators, s.Accelerators)}
}

// Min returns the smaller of r and s in each field.
func (r Resources) Min(s Resources) Resources {
	return Resources{min(r.MilliCores, s.MilliCores), min(r.MemoryMB, s.MemoryMB), min(r.Accelerators, s.Accelerators)}
}

// Fits reports whether s fits into r, that is, no field of s exceeds that of r.
func (r Resources) Fits(s Resources) bool {
	return s.MilliCores <= r.MilliCores && s.MemoryMB <= r.MemoryMB && s.Accelerators <= r.Accelerators
}

// IsZero reports whether all fields are 0.
func (r Resources) IsZero() bool { return r == Resources{} }

// Count returns how many times a size fits into r, at most limit.
func (r Resources) Count(size Resources, limit int64) int64 {
	for _, d := range [...]struct{ free, each int64 }{
		{r.MilliCores, size.MilliCores}, {r.MemoryMB, size.MemoryMB}, {r.Accelerators, size.Accelerators},
	} {
		if d.each > 0 {
			limit = min(limit, max(d.free, 0)/d.each)
		}
	}
	return limit
}
