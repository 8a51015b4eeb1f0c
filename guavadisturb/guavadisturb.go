// Package guavadisturb judges the latencies of services beside fillers, and how far fillers are
// throttled.
//
// Assumed load: a filler that disturbs a service overflows its request queue within a second,
// and the queue drains slowly after the filler has ended. Measurements lag by half a second and
// cover a window of half a second, and reports round latencies to whole milliseconds.
package guavadisturb

import (
	"slices"
	"time"

	"guavascale.example/guavahold"
)

// Latency is the latency of a service task. The zero value is not measured.
type Latency struct {
	// Tail is the latest measurement.
	Tail time.Duration

	// last is Tail at the previous observation, and underTargetAt the time of the last one
	// at which the service met its target.
	last          time.Duration
	underTargetAt time.Time
}

const (
	// A service whose latency, as a fraction of its target, is above
	// DisturbedRatio is disturbed, and one below UndisturbedRatio is not.
	DisturbedRatio   = 0.9
	UndisturbedRatio = 0.7
	// EarlyRatio is the latency, as a fraction of the target, from which on fillers that are
	// known to disturb a service are preempted before it misses its target. Without fillers,
	// one in twenty reports is above it.
	EarlyRatio = 0.6
	// MaxStartRatio is the latency, as a fraction of the target, up to which
	// fillers may start beside a service.
	MaxStartRatio = 0.8
	// fallingFactor is the ratio of successive measurements below which the
	// latency is falling, which shows that the cause has ended.
	fallingFactor = 0.95
	// BacklogDrainTime is how long a service may take to work off its request
	// backlog after a suspect filler has ended. During that time a measurement
	// counts against the remaining fillers only if it is at least risingFactor
	// times the previous one.
	BacklogDrainTime = 2 * time.Second
	risingFactor     = 1.15
	// MinUsedShare is the share of a worker's processors that a filler must use
	// to be considered a cause.
	MinUsedShare = 0.03

	// ObserveInterval is the minimum time between uses of a worker's
	// measurements, which cover a window of half a second.
	ObserveInterval = 400 * time.Millisecond
	// SettlingTime is how long a start, a stop or a change of pace takes to show
	// in the measurements.
	SettlingTime = 600 * time.Millisecond
	// MissTolerance is how long a service may miss its target beside fillers
	// that are not suspect before the largest one is preempted. After
	// throttleAfterFraction of DisturbMax all fillers are throttled; the
	// rest of DisturbMax is needed because measurements lag by half a second,
	// reports arrive every half second, and a backlog takes time to drain.
	MissTolerance         = 1500 * time.Millisecond
	throttleAfterFraction = 0.45
	// ThrottledPace is the pace of a throttled filler, in percent.
	ThrottledPace = 5
	// PaceGrowthFactor multiplies the pace of a throttled filler whenever the
	// services are undisturbed, up to SuspectPace while the filler is suspect.
	PaceGrowthFactor = 4
	SuspectPace      = 20
	// throttleFromPercent is the progress from which a filler without
	// checkpoints is throttled instead of stopped.
	throttleFromPercent = 30
	// ServiceUsageShare is the share of its declared processors that a service
	// task is assumed to use; fillers get the rest.
	ServiceUsageShare = 0.5
)

// Ratio returns the latency as a fraction of the target.
func (l *Latency) Ratio(target time.Duration) float64 { return float64(l.Tail) / float64(target) }

// Over reports whether the service may miss its target. Workers report whole milliseconds.
func (l *Latency) Over(target time.Duration) bool { return l.Tail >= target }

// Check records that the service meets its target, if it does.
func (l *Latency) Check(now time.Time, target time.Duration) {
	if !l.Over(target) {
		l.underTargetAt = now
	}
}

// NotFalling reports whether the latency is not falling since the previous call. While a backlog
// may still drain after a suspect filler ended, only a rising latency counts.
func (l *Latency) NotFalling(sinceSuspectEnded time.Duration) bool {
	threshold := fallingFactor
	if sinceSuspectEnded < BacklogDrainTime {
		threshold = risingFactor
	}
	last := l.last
	l.last = l.Tail
	return float64(l.Tail) >= threshold*float64(last)
}

// MissedSince returns the earliest time since which a service that is over its target may
// miss it, as far as the latest reports tell. Known is that time for its worker, if any.
func (l *Latency) MissedSince(now, startedAt, known time.Time) time.Time {
	since := slices.MaxFunc([]time.Time{l.underTargetAt, startedAt, now.Add(-guavahold.Wait - SettlingTime)}, time.Time.Compare)
	if !known.IsZero() && known.Before(since) {
		return known
	}
	return since
}

// ThrottleAfter returns how long a service may miss its target before all fillers on its worker
// are throttled. DisturbMax is how long fillers may keep a service over its target.
func ThrottleAfter(disturbMax time.Duration) time.Duration {
	return time.Duration(throttleAfterFraction * float64(disturbMax))
}

// LosesTooMuch reports whether a filler is throttled since a stop would lose too much work.
func LosesTooMuch(checkpoints bool, percent int) bool {
	return !checkpoints && percent >= throttleFromPercent
}
