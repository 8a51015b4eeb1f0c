package guavainterference

import (
	"math"
	"time"

	"guavascale.example"
)

type (
	// Policy holds the settings of a preset that mitigation uses.
	Policy struct {
		// LatencyWeight weighs the latency reduction of a service by an eviction,
		// and BatchWeight the batch work that the eviction delays.
		LatencyWeight float64
		BatchWeight   float64
		// EvictAfter is how long a service must have missed its target before
		// a task is evicted.
		EvictAfter time.Duration
	}

	// StepKind is the kind of a mitigation step.
	StepKind string

	// Step is a mitigation step for one batch task.
	Step struct {
		Kind    StepKind
		Worker  guavascale.WorkerID
		Task    guavascale.TaskID
		Service guavascale.TaskID
		// Percent is the new throttle of the task, for StepThrottle and
		// StepRelease.
		Percent int
		// Ratio is the measured ratio of Service that caused the step.
		Ratio float64
		At    time.Time
	}

	// Mitigator decides on the mitigation steps for one worker. The zero value
	// is ready to use.
	Mitigator struct {
		// lastStep is when the last step was decided.
		lastStep time.Time
		// breachStart and breachLatest are when the first and the latest
		// measurement of the current breach, a ratio above 1, were taken. Both
		// are zero if there is none.
		breachStart  time.Time
		breachLatest time.Time
		// belowReleaseStart is when the first measurement of the current series
		// at or below releaseRatio was taken. It is zero if the latest
		// measurement was above releaseRatio, and after a release.
		belowReleaseStart time.Time
		// aboveReleaseStart is the same for measurements above releaseRatio, but
		// a release does not reset it.
		aboveReleaseStart time.Time
		// releasedAt is when throttles were last released, or zero if a breach
		// followed since. releaseDelay is how long the ratio must stay at or
		// below releaseRatio before the next release.
		releasedAt   time.Time
		releaseDelay time.Duration
		// lastMeasured is when the latest measurement that was considered was
		// taken.
		lastMeasured time.Time
	}

	// Budget limits the evictions on the workers that share it. It refills at a
	// constant rate, and the zero value is full.
	Budget struct {
		spent      float64
		lastUpdate time.Time
	}
)

const (
	StepThrottle StepKind = "Throttle"
	StepEvict    StepKind = "Evict"
	StepRelease  StepKind = "Release"
)

const (
	// releaseRatio is the ratio up to which throttles may be released. Between
	// it and 1 nothing changes.
	releaseRatio = 0.85
	// settlingTime is how long a step takes to show in a measurement: up to 1 s
	// until the order is sent, the time of the stop itself, and a window of 1 s
	// to 2 s for the percentile. A measurement taken earlier causes no step.
	settlingTime = 4 * time.Second
	// A breach within relapseWindow after a release is attributed to the
	// release.
	relapseWindow = 30 * time.Second
	// The release delay starts at minReleaseDelay and doubles with each breach
	// that a release causes, up to maxReleaseDelay, so that the throttle of a
	// task that always interferes is rarely released.
	minReleaseDelay = 10 * time.Second
	maxReleaseDelay = 5 * time.Minute
	// ineffectiveAfter is how long a service must stay above releaseRatio before
	// throttles that do not help it are released.
	ineffectiveAfter = time.Minute
	// A task is throttled to firstThrottlePercent, then to minThrottlePercent.
	firstThrottlePercent = 50
	minThrottlePercent   = 25

	// Within budgetPeriod, one task may be evicted per eight workers
	// (budgetShare). When interfering tasks reach all workers at once, only some
	// of them are evicted each minute; the others are throttled.
	budgetPeriod = time.Minute
	budgetShare  = 1.0 / 8

	// urgentCostFactor multiplies the cost of delaying an urgent task.
	urgentCostFactor = 4.0
	// minRelief is the minimum expected improvement of the ratio by a step, if
	// more than that is needed. Tasks below it are neither throttled nor evicted.
	minRelief = 0.02
)

// Take takes one eviction from the budget and reports whether one was available.
// The number of workers determines the size of the budget.
func (b *Budget) Take(now time.Time, workers int) bool {
	limit := max(1, float64(workers)*budgetShare)
	if !b.lastUpdate.IsZero() {
		b.spent = max(0, b.spent-limit*now.Sub(b.lastUpdate).Seconds()/budgetPeriod.Seconds())
	}
	b.lastUpdate = now
	if b.spent > limit-1 {
		return false
	}
	b.spent++
	return true
}

// Decide returns the next steps for a worker: throttles and at most one eviction,
// or releases. It calls evict when an eviction is due; evict reports whether the
// budget allows it.
func (m *Mitigator) Decide(now time.Time, w *Worker, e *Estimator, p Policy, evict func() bool) []Step {
	worst := w.worstService()
	if worst == nil || !worst.MeasuredAt.After(m.lastMeasured) {
		return nil
	}
	m.lastMeasured = worst.MeasuredAt
	m.track(worst)
	if !m.lastStep.IsZero() && worst.MeasuredAt.Before(m.lastStep.Add(settlingTime)) {
		return nil
	}
	var steps []Step
	if worst.Ratio > 1 {
		m.adjustReleaseDelay(worst.MeasuredAt)
		steps = m.mitigateBreach(w, worst, e, p, evict)
	} else if m.releaseDue(worst.MeasuredAt) {
		steps = m.releaseThrottles(w, worst, e)
	}
	if len(steps) == 0 && m.throttlesIneffective(worst.MeasuredAt) {
		steps = releaseIneffective(w, worst, e)
	}
	for i := range steps {
		steps[i].Worker, steps[i].Service, steps[i].Ratio, steps[i].At = w.ID, worst.Task, worst.Ratio, now
		m.lastStep = now
	}
	return steps
}

// worstService returns the service with the highest ratio, or nil if none was
// measured.
func (w *Worker) worstService() *Service {
	var worst *Service
	for i := range w.Services {
		if s := &w.Services[i]; s.Ratio > 0 && (worst == nil || s.Ratio > worst.Ratio) {
			worst = s
		}
	}
	return worst
}

// track records since when the service has missed its target and since when its
// ratio has been below or above releaseRatio. It uses the times at which the
// measurements were taken, so that their delay does not count.
func (m *Mitigator) track(s *Service) {
	at := s.MeasuredAt
	if s.Ratio <= 1 {
		m.breachStart, m.breachLatest = time.Time{}, time.Time{}
	} else {
		if m.breachStart.IsZero() {
			m.breachStart = at
		}
		m.breachLatest = at
	}
	from, other := &m.belowReleaseStart, &m.aboveReleaseStart
	if s.Ratio > releaseRatio {
		from, other = other, from
	}
	*other = time.Time{}
	if from.IsZero() {
		*from = at
	}
}

// releaseDue reports whether the ratio has been at or below releaseRatio long
// enough for a release.
func (m *Mitigator) releaseDue(at time.Time) bool {
	return !m.belowReleaseStart.IsZero() && at.Sub(m.belowReleaseStart) >= max(m.releaseDelay, minReleaseDelay)
}

// throttlesIneffective reports whether the ratio has stayed above releaseRatio
// although the last step had enough time to help.
func (m *Mitigator) throttlesIneffective(at time.Time) bool {
	return !m.aboveReleaseStart.IsZero() && at.Sub(m.aboveReleaseStart) >= ineffectiveAfter && at.Sub(m.lastStep) >= ineffectiveAfter
}

// adjustReleaseDelay doubles the release delay if the last release caused the
// current breach, and resets it if the release was too long ago. A release counts
// once.
func (m *Mitigator) adjustReleaseDelay(at time.Time) {
	if m.releasedAt.IsZero() {
		return
	}
	if at.Sub(m.releasedAt) < relapseWindow {
		m.releaseDelay = min(2*max(m.releaseDelay, minReleaseDelay), maxReleaseDelay)
	} else {
		m.releaseDelay = minReleaseDelay
	}
	m.releasedAt = time.Time{}
}

// mitigateBreach evicts one task if the breach has lasted for Policy.EvictAfter,
// and throttles others until the ratio is expected to fall to 1.
func (m *Mitigator) mitigateBreach(w *Worker, s *Service, e *Estimator, p Policy, evict func() bool) []Step {
	var steps []Step
	need := s.Ratio - 1
	chosen := make(map[guavascale.TaskID]bool)
	if m.breachLatest.Sub(m.breachStart) >= p.EvictAfter {
		b := bestCandidate(w, s, e, need, coresFreedByEviction, chosen)
		if b != nil && evictionJustified(w, b, s, e, need, p) && evict() {
			steps = append(steps, Step{Kind: StepEvict, Task: b.Task})
			need -= expectedRelief(b, s, e, coresFreedByEviction)
			chosen[b.Task] = true
		}
	}
	for need > 0 {
		b := bestCandidate(w, s, e, need, coresFreedByThrottle, chosen)
		if b == nil {
			break
		}
		steps = append(steps, Step{Kind: StepThrottle, Task: b.Task, Percent: nextThrottlePercent(b)})
		need -= expectedRelief(b, s, e, coresFreedByThrottle)
		chosen[b.Task] = true
	}
	return steps
}

// nextThrottlePercent returns the throttle that follows the current one.
func nextThrottlePercent(b *Batch) int {
	if b.percent() > firstThrottlePercent {
		return firstThrottlePercent
	}
	return minThrottlePercent
}

// evictionJustified reports whether the weighted gain of the service from an
// eviction exceeds the weighted cost of the delayed batch work.
func evictionJustified(w *Worker, b *Batch, s *Service, e *Estimator, need float64, p Policy) bool {
	gain := p.LatencyWeight * min(need, expectedRelief(b, s, e, coresFreedByEviction))
	return gain > p.BatchWeight*delayCost(w, b)
}

// coresFreedByEviction and coresFreedByThrottle return the number of busy cores
// that a step frees.
func coresFreedByEviction(b *Batch) float64 {
	if !b.Evictable {
		return 0
	}
	return b.Cores
}

func coresFreedByThrottle(b *Batch) float64 {
	if b.percent() <= minThrottlePercent {
		return 0
	}
	return b.Cores * (1 - float64(nextThrottlePercent(b))/float64(b.percent()))
}

// expectedRelief returns the expected improvement of the service's ratio by a
// step.
func expectedRelief(b *Batch, s *Service, e *Estimator, freed func(*Batch) float64) float64 {
	est := e.Get(s.Kind, b.Kind)
	// The upper bound accounts for pairs with few measurements, which may
	// interfere more than estimated.
	return freed(b) * (est.PerCore + est.Deviation)
}

// delayCost returns the cost of the batch work that moving a task delays, as a
// fraction of the worker's capacity. It grows with the number of earlier
// evictions, so that a task is not moved repeatedly.
func delayCost(w *Worker, b *Batch) float64 {
	c := b.Cores * milliCoresPerCore / math.Max(float64(w.MilliCores), 1) * float64(1+b.Evictions)
	if b.Urgent {
		return c * urgentCostFactor
	}
	return c
}

// bestCandidate returns the task with the highest ratio of expected relief, up to
// need, to delay cost. It skips tasks that are in chosen and those that give less
// than both need and minRelief, and returns the first of equal ones.
func bestCandidate(w *Worker, s *Service, e *Estimator, need float64, freed func(*Batch) float64, chosen map[guavascale.TaskID]bool) *Batch {
	var found *Batch
	top := 0.0
	for i := range w.Batch {
		b := &w.Batch[i]
		if chosen[b.Task] {
			continue
		}
		gain := min(expectedRelief(b, s, e, freed), need)
		if gain <= 0 || gain < min(minRelief, need) {
			continue
		}
		// minRelief in the divisor keeps a task without cost from always
		// being chosen.
		if score := gain / (delayCost(w, b) + minRelief); score > top {
			found, top = b, score
		}
	}
	return found
}

// releaseThrottles raises throttles by one step each, as long as the service is
// expected to stay within its target.
func (m *Mitigator) releaseThrottles(w *Worker, s *Service, e *Estimator) []Step {
	var steps []Step
	room := 1 - s.Ratio
	for i := range w.Batch {
		b := &w.Batch[i]
		to := nextReleasePercent(b.percent())
		if to == b.percent() {
			continue
		}
		more := b.Cores * (float64(to)/float64(b.percent()) - 1)
		room -= more * max(e.Get(s.Kind, b.Kind).PerCore, 0)
		if room < 0 {
			break
		}
		steps = append(steps, Step{Kind: StepRelease, Task: b.Task, Percent: to})
	}
	if len(steps) > 0 {
		m.releasedAt, m.belowReleaseStart = s.MeasuredAt, time.Time{}
	}
	return steps
}

// releaseIneffective removes the throttles that are not expected to help the
// service. Otherwise a service that misses its target for another reason would
// keep all batch tasks beside it throttled.
func releaseIneffective(w *Worker, s *Service, e *Estimator) []Step {
	var steps []Step
	for i := range w.Batch {
		b := &w.Batch[i]
		if b.percent() == fullPercent {
			continue
		}
		est := e.Get(s.Kind, b.Kind)
		more := b.Cores * (fullPercent/float64(b.percent()) - 1)
		if more*(est.PerCore+est.Deviation) < minRelief {
			steps = append(steps, Step{Kind: StepRelease, Task: b.Task, Percent: fullPercent})
		}
	}
	return steps
}

// nextReleasePercent returns the throttle after a release by one step.
func nextReleasePercent(percent int) int {
	if percent < firstThrottlePercent {
		return firstThrottlePercent
	}
	return fullPercent
}
