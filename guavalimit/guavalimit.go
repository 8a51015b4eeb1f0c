// Package guavalimit holds the limits of a submission.
//
// Assumed failure: a caller sends a number that nobody expects, such as a time in
// microseconds instead of milliseconds. It passes through arithmetic that overflows, or
// into a row that can't be encoded or that the store refuses, and the owner of the shard
// fails with all other submissions. So each number and each string from outside has a
// limit. The daemon that a caller reaches checks it, and so does the owner, since the
// daemons of two versions run side by side.
//
// The limits are such that sums and products of accepted values don't overflow and that
// the rows of an accepted submission fit into the store.
package guavalimit

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"guavascale.example"
)

const (
	// MaxTasks is the largest number of tasks of an occurrence, and MaxScheduledTasks
	// that of all occurrences of a submission, which an owner keeps in memory.
	MaxTasks          = 4000
	MaxScheduledTasks = 20_000
	// MaxPayloadBytes is what the platform allows.
	MaxPayloadBytes = 4000
	// MaxSteps times MaxEstimate is less than a tenth of the longest Duration.
	MaxSteps    = 256
	MaxEstimate = 30 * 24 * time.Hour
	// MaxSize bounds each resource of a task. MaxTasks times as much don't overflow.
	MaxSize = 1_000_000_000
	// MaxNameBytes is the longest label or kind, and MaxIDBytes the longest ID.
	MaxNameBytes = 200
	MaxIDBytes   = 64
	MaxTarget    = 24 * time.Hour
	// MaxInterval and MaxSpan bound the time between two occurrences, and from the first
	// to the last one.
	MaxInterval = 366 * 24 * time.Hour
	MaxSpan     = 100 * MaxInterval
)

// MaxStartAt is the latest start. Occurrences that are due MaxSpan later are still in
// the years that JSON can represent.
var MaxStartAt = time.Date(9000, time.January, 1, 0, 0, 0, 0, time.UTC)

// CouldFit reports whether one of the workers could run a task of the step if it were idle and
// had the largest capacity that it has had, with which it is listed: one that has shrunk may grow
// again. It is true if there are no workers.
func CouldFit(st *guavascale.Step, workers iter.Seq2[*guavascale.Worker, guavascale.Resources]) bool {
	listed := false
	for w, largest := range workers {
		listed = true
		if largest.Fits(st.Size) && (st.Label == "" || slices.Contains(w.Labels, st.Label)) {
			return true
		}
	}
	return !listed
}

// NoWorkerFits returns the error for a step that is larger than every worker of the service.
func NoWorkerFits(step int, size guavascale.Resources) error {
	return fmt.Errorf("%w: %w", &guavascale.RejectedError{Reason: "no worker fits"}, &guavascale.ValidationError{
		Field: fmt.Sprintf("Steps[%d].Size", step), Value: fmt.Sprintf("%+v", size), Allowed: "at most what a worker of the service holds",
	})
}

// Check returns a ValidationError for the first field that is outside its limits, and
// nil if there is none. Whether the submission can run on any worker is left open.
func Check(s *guavascale.Submission) error {
	c := checker{}
	c.count("ID", len(s.ID), 1, MaxIDBytes, "bytes")
	c.count("Payload", len(s.Payload), 0, MaxPayloadBytes, "bytes")
	c.count("Steps", len(s.Steps), 1, MaxSteps, "steps")
	tasks := 0
	for i := range s.Steps {
		c.step(i, &s.Steps[i])
		tasks += min(max(s.Steps[i].Count, 0), MaxTasks)
	}
	c.count("Steps", tasks, 1, MaxTasks, "tasks")
	between(&c, "Repeat", s.Repeat, 0, MaxScheduledTasks/max(tasks, 1))
	between(&c, "Interval", s.Interval, 0, MaxInterval)
	if s.Repeat > 1 {
		between(&c, "Interval", s.Interval, 0, MaxSpan/time.Duration(s.Repeat-1))
	}
	if s.Repeat > 0 || !s.StartAt.IsZero() {
		c.startAt(s.StartAt)
	}
	return c.err
}

// checker holds the first violation.
type checker struct{ err error }

func (c *checker) fail(field, value, allowed string) {
	if c.err == nil {
		c.err = &guavascale.ValidationError{Field: field, Value: value, Allowed: allowed}
	}
}

// between checks that a value is neither below the lowest nor above the highest one.
func between[T cmp.Ordered](c *checker, field string, v, lowest, highest T) {
	if v < lowest || v > highest {
		c.fail(field, fmt.Sprint(v), fmt.Sprintf("%v to %v", lowest, highest))
	}
}

// count checks a number of things, such as the bytes of a string.
func (c *checker) count(field string, n, lowest, highest int, unit string) {
	if n < lowest || n > highest {
		c.fail(field, fmt.Sprintf("%d %s", n, unit), fmt.Sprintf("%d to %d %s", lowest, highest, unit))
	}
}

func (c *checker) startAt(t time.Time) {
	if t.Before(time.Unix(0, 0)) || t.After(MaxStartAt) {
		c.fail("StartAt", fmt.Sprintf("%d ms", t.UnixMilli()), fmt.Sprintf("0 ms to %d ms since 1970", MaxStartAt.UnixMilli()))
	}
}

func (c *checker) step(i int, st *guavascale.Step) {
	field := func(name string) string { return fmt.Sprintf("Steps[%d].%s", i, name) }
	between(c, field("Count"), st.Count, 1, MaxTasks)
	between(c, field("Size.MilliCores"), st.Size.MilliCores, 0, MaxSize)
	between(c, field("Size.MemoryMB"), st.Size.MemoryMB, 0, MaxSize)
	between(c, field("Size.Accelerators"), st.Size.Accelerators, 0, MaxSize)
	between(c, field("Estimate"), st.Estimate, 0, MaxEstimate)
	between(c, field("Target"), st.Target, 0, MaxTarget)
	between(c, field("MaxPerWorker"), st.MaxPerWorker, 0, MaxSize)
	between(c, field("MaxAway"), st.MaxAway, 0, MaxSize)
	c.count(field("Label"), len(st.Label), 0, MaxNameBytes, "bytes")
	c.count(field("DataRack"), len(st.DataRack), 0, MaxNameBytes, "bytes")
	c.count(field("Kind"), len(st.Kind), 0, MaxNameBytes, "bytes")
	c.count(field("After"), len(st.After), 0, MaxSteps, "steps")
	for _, d := range st.After {
		if d < 0 || d >= i {
			c.fail(field("After"), fmt.Sprint(d), "indexes of earlier steps")
		}
	}
}

// Duration converts a number of milliseconds from outside. A number that a Duration
// can't hold becomes the longest one, which is above every limit.
func Duration(ms float64) time.Duration {
	switch {
	case ms >= math.MaxInt64/float64(time.Millisecond):
		return math.MaxInt64
	case ms <= math.MinInt64/float64(time.Millisecond):
		return math.MinInt64
	default:
		return time.Duration(ms * float64(time.Millisecond))
	}
}
