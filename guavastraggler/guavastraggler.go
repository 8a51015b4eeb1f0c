// Package guavastraggler recognises runs that are stalled or far slower than others.
//
// Assumed workload: some workers slow down by a factor of four to eight or stop making
// progress while they still answer normally. A step ends with its last task, so one such
// worker can delay every submission.
//
// Run.Straggles is the rule by the caller's estimate and the step's own runs. A Search uses the
// durations that were learned of the kind instead: a run is on a slow worker if the other runs
// of that worker are slow for their kinds as well, and is replaced only if the new run is
// expected to end sooner.
package guavastraggler

import (
	"slices"
	"time"

	"guavascale.example/guavaestimate"
)

type (
	// Run is what is known of a run.
	Run struct {
		guavaestimate.Run
		// Median is the median duration of the finished runs of its step, 0 if not known.
		Median time.Duration
		// Copies is set if the task may have another run besides this one.
		Copies bool
		// ReportedAt is the time of the latest report of its worker.
		ReportedAt time.Time
		Seen       Seen
	}

	// Durations holds durations of the finished runs of a step, shortest first. The zero
	// value is ready to use.
	Durations struct{ sorted []time.Duration }
)

const (
	// FullProgress is the progress of a run in percent that has done its work.
	FullProgress = 100
	// A run is stalled if a report shows no progress for stallFraction of the
	// estimated duration, within these bounds. The longest tasks take a tenth of
	// a second per percent, and half a second on a slow worker; restoring a
	// checkpoint takes up to 0.6 s.
	stallFraction   = 0.6
	minStallTimeout = 900 * time.Millisecond
	maxStallTimeout = 2500 * time.Millisecond
	// A run is slow if its elapsed time is at least slowFactor times the median
	// duration and its remaining time exceeds that by more than restartCost, the time
	// that a new start takes.
	slowFactor  = 1.5
	restartCost = 400 * time.Millisecond
	// maxDurations bounds the number of durations that are kept.
	maxDurations = 32
)

// Add records the duration of a finished run.
func (d *Durations) Add(took time.Duration) {
	if len(d.sorted) < maxDurations {
		i, _ := slices.BinarySearch(d.sorted, took)
		d.sorted = slices.Insert(d.sorted, i, took)
	}
}

// Median returns the median duration, or 0 while less than a third of all tasks are done.
func (d *Durations) Median(done, all int) time.Duration {
	if len(d.sorted) == 0 || done*3 < all {
		return 0
	}
	return d.sorted[len(d.sorted)/2]
}

// Remaining estimates the remaining duration of the run from its progress so far.
func (r Run) Remaining() time.Duration {
	if r.Percent <= 0 {
		return max(r.Estimate-r.Elapsed, 0)
	}
	return r.Elapsed * time.Duration(100-r.Percent) / time.Duration(r.Percent)
}

// Straggles reports whether the run is stalled, or slow by the median duration of its step.
func (r Run) Straggles() bool {
	expected := time.Duration(stallFraction * float64(r.Estimate))
	if r.stood() > min(max(expected, minStallTimeout), maxStallTimeout) {
		return true
	}
	if r.Median == 0 || r.Percent <= 0 || float64(r.Elapsed) < slowFactor*float64(r.Median) {
		return false
	}
	return r.Remaining() > time.Duration(slowFactor*float64(r.Median))+restartCost
}

// stood returns the time for which reports have shown no progress, 0 before the first report.
func (r Run) stood() time.Duration {
	if r.Seen.ChangedAt.IsZero() {
		return 0
	}
	return r.ReportedAt.Sub(r.Seen.ChangedAt)
}
