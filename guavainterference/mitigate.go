package guavainterference

import (
	"math"
	"time"

	"guavascale.example"
)

type (
	// Policy is the part of a preset that mitigation uses.
	Policy struct {
		// LatencyWeight and BatchWeight weigh the service's loss against the
		// batch work that an eviction delays.
		LatencyWeight float64
		BatchWeight   float64
		// EvictAfter is how long a breach must have been measured before a
		// task is evicted.
		EvictAfter time.Duration
	}

	// StepKind is what a step does.
	StepKind string

	// Step is a step of mitigation.
	Step struct {
		Kind    StepKind
		Worker  guavascale.WorkerID
		Task    guavascale.TaskID
		Service guavascale.TaskID
		// Percent is the throttle from then on, for StepThrottle and
		// StepRelease.
		Percent int
		// Ratio is the measurement that led to the step.
		Ratio float64
		At    time.Time
	}

	// Mitigator is the state of mitigation of one worker. Its zero value
	// works.
	Mitigator struct {
		// lastStep is when the last step was decided.
		lastStep time.Time
		// breachFrom and breachTo are when the first and the latest
		// measurement of the present breach were taken; zero without a breach.
		breachFrom time.Time
		breachTo   time.Time
		// calmFrom is when the first measurement of the present calm was taken.
		calmFrom time.Time
		// tenseFrom is the same for the time since the last calm.
		tenseFrom time.Time
		// releasedAt is when a throttle was last released, and patience how
		// long a calm must last before the next release.
		releasedAt time.Time
		patience   time.Duration
		// used is when the newest measurement was taken that was looked at.
		used time.Time
	}

	// Budget bounds the evictions of the workers that share it. Its zero value
	// is full.
	Budget struct {
		spent float64
		last  time.Time
	}
)

const (
	StepThrottle StepKind = "Throttle"
	StepEvict    StepKind = "Evict"
	StepRelease  StepKind = "Release"
)

const (
	// calmRatio is the ratio below which a service is calm. Between it and 1
	// nothing changes.
	calmRatio = 0.85
	// settle is the time that a step takes to show in a measurement: up to
	// 1 s until its order is sent, the stop itself, and a window of 1 s to 2 s
	// for the percentile. A measurement taken earlier leads to no step.
	settle = 4 * time.Second
	// relapse is how soon after a release a breach counts as caused by it.
	relapse = 30 * time.Second
	// minPatience doubles with each relapse up to maxPatience, so that a task
	// that always disturbs is tried rarely.
	minPatience = 10 * time.Second
	maxPatience = 5 * time.Minute
	// futileAfter is how long a service has to stay above calmRatio before
	// throttles that do not help are released.
	futileAfter = time.Minute
	// throttlePercent and minPercent are the steps of a throttle.
	throttlePercent = 50
	minPercent      = 25

	// budgetTime is the time in which an eighth of the workers may evict one
	// task each. A wave that reaches every worker at once then suspends a few
	// tasks a minute; the others are throttled.
	budgetTime  = time.Minute
	budgetShare = 1.0 / 8

	// urgentCost is the weight of an urgent task's delay.
	urgentCost = 4.0
	// minRelief is the part of the target that a step must be expected to
	// give back. A task that gives less is left alone.
	minRelief = 0.02
)

// Take takes one eviction out of the budget of a number of workers, and reports
// whether there was one.
func (b *Budget) Take(now time.Time, workers int) bool {
	limit := max(1, float64(workers)*budgetShare)
	if !b.last.IsZero() {
		b.spent = max(0, b.spent-limit*now.Sub(b.last).Seconds()/budgetTime.Seconds())
	}
	b.last = now
	if b.spent > limit-1 {
		return false
	}
	b.spent++
	return true
}

// Decide returns the next steps for a worker: throttles and at most one
// eviction, or releases. evict is called when an eviction is due and reports
// whether the budget allows it.
func (m *Mitigator) Decide(now time.Time, w *Worker, e *Estimator, p Policy, evict func() bool) []Step {
	worst := w.worst()
	if worst == nil || !worst.MeasuredAt.After(m.used) {
		return nil
	}
	m.used = worst.MeasuredAt
	m.note(worst)
	if !m.lastStep.IsZero() && worst.MeasuredAt.Before(m.lastStep.Add(settle)) {
		return nil
	}
	var steps []Step
	if worst.Ratio > 1 {
		m.relapsed(worst.MeasuredAt)
		steps = m.relieve(w, worst, e, p, evict)
	} else if m.calm(worst.MeasuredAt) {
		steps = m.release(w, worst, e)
	}
	if len(steps) == 0 && m.futile(worst.MeasuredAt) {
		steps = releaseFutile(w, worst, e)
	}
	for i := range steps {
		steps[i].Worker, steps[i].Service, steps[i].Ratio, steps[i].At = w.ID, worst.Task, worst.Ratio, now
		m.lastStep = now
	}
	return steps
}

// worst returns the service furthest over its target.
func (w *Worker) worst() *Service {
	var worst *Service
	for i := range w.Services {
		if s := &w.Services[i]; s.Ratio > 0 && (worst == nil || s.Ratio > worst.Ratio) {
			worst = s
		}
	}
	return worst
}

// note follows breaches and calms in the time of the measurements, so that
// their lag does not count.
func (m *Mitigator) note(s *Service) {
	at := s.MeasuredAt
	if s.Ratio <= 1 {
		m.breachFrom, m.breachTo = time.Time{}, time.Time{}
	} else {
		if m.breachFrom.IsZero() {
			m.breachFrom = at
		}
		m.breachTo = at
	}
	from, other := &m.calmFrom, &m.tenseFrom
	if s.Ratio > calmRatio {
		from, other = other, from
	}
	*other = time.Time{}
	if from.IsZero() {
		*from = at
	}
}

// calm reports whether the calm has lasted long enough for a release.
func (m *Mitigator) calm(at time.Time) bool {
	return !m.calmFrom.IsZero() && at.Sub(m.calmFrom) >= max(m.patience, minPatience)
}

// futile reports whether steps had long enough to help and did not.
func (m *Mitigator) futile(at time.Time) bool {
	return !m.tenseFrom.IsZero() && at.Sub(m.tenseFrom) >= futileAfter && at.Sub(m.lastStep) >= futileAfter
}

// relapsed makes the next release later when the last one caused a breach.
func (m *Mitigator) relapsed(at time.Time) {
	if m.releasedAt.IsZero() {
		return
	}
	if at.Sub(m.releasedAt) < relapse {
		m.patience = min(2*max(m.patience, minPatience), maxPatience)
	} else {
		m.patience = minPatience
	}
	m.releasedAt = time.Time{}
}

// relieve evicts one task when the breach has lasted, and throttles others
// until they are expected to give back what is missing.
func (m *Mitigator) relieve(w *Worker, s *Service, e *Estimator, p Policy, evict func() bool) []Step {
	var steps []Step
	need := s.Ratio - 1
	taken := make(map[guavascale.TaskID]bool)
	if m.breachTo.Sub(m.breachFrom) >= p.EvictAfter {
		b := best(w, s, e, need, evictRelief, taken)
		if b != nil && worthwhile(w, b, s, e, need, p) && evict() {
			steps = append(steps, Step{Kind: StepEvict, Task: b.Task})
			need -= relief(b, s, e, evictRelief)
			taken[b.Task] = true
		}
	}
	for need > 0 {
		b := best(w, s, e, need, throttleRelief, taken)
		if b == nil {
			break
		}
		steps = append(steps, Step{Kind: StepThrottle, Task: b.Task, Percent: nextPercent(b)})
		need -= relief(b, s, e, throttleRelief)
		taken[b.Task] = true
	}
	return steps
}

func nextPercent(b *Batch) int {
	if b.percent() > throttlePercent {
		return throttlePercent
	}
	return minPercent
}

// worthwhile reports whether an eviction gives the service more than it takes
// from batch work, by the preset's weights.
func worthwhile(w *Worker, b *Batch, s *Service, e *Estimator, need float64, p Policy) bool {
	gain := p.LatencyWeight * min(need, relief(b, s, e, evictRelief))
	return gain > p.BatchWeight*cost(w, b)
}

// evictRelief and throttleRelief return the busy cores that a step frees.
func evictRelief(b *Batch) float64 {
	if !b.Movable {
		return 0
	}
	return b.Cores
}

func throttleRelief(b *Batch) float64 {
	if b.percent() <= minPercent {
		return 0
	}
	return b.Cores * (1 - float64(nextPercent(b))/float64(b.percent()))
}

func relief(b *Batch, s *Service, e *Estimator, freed func(*Batch) float64) float64 {
	est := e.Get(s.Kind, b.Kind)
	// A pair of which little is known may be worse than it looks.
	return freed(b) * (est.PerCore + est.Deviation)
}

// cost is the batch work that is delayed by moving a task, as a part of the
// worker. A task that was moved before costs more, so that no task is moved
// again and again.
func cost(w *Worker, b *Batch) float64 {
	c := b.Cores * coreMilliCores / math.Max(float64(w.MilliCores), 1) * float64(1+b.Evictions)
	if b.Urgent {
		return c * urgentCost
	}
	return c
}

// best returns the task, of those not taken, whose step gives back most of what
// the service needs for the least delayed batch work. Of equal ones the first
// counts.
func best(w *Worker, s *Service, e *Estimator, need float64, freed func(*Batch) float64, taken map[guavascale.TaskID]bool) *Batch {
	var found *Batch
	top := 0.0
	for i := range w.Batch {
		b := &w.Batch[i]
		if taken[b.Task] {
			continue
		}
		gives := min(relief(b, s, e, freed), need)
		if gives <= 0 || gives < min(minRelief, need) {
			continue
		}
		// Without the constant a task of no cost would always be first.
		if score := gives / (cost(w, b) + minRelief); score > top {
			found, top = b, score
		}
	}
	return found
}

// release raises throttles by one step each, as long as the service is expected
// to stay below its target.
func (m *Mitigator) release(w *Worker, s *Service, e *Estimator) []Step {
	var steps []Step
	room := 1 - s.Ratio
	for i := range w.Batch {
		b := &w.Batch[i]
		to := released(b.percent())
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
		m.releasedAt, m.calmFrom = s.MeasuredAt, time.Time{}
	}
	return steps
}

// releaseFutile releases the throttles that the service does not gain from, as
// far as is known by then. A service that misses its target by itself would
// otherwise keep all batch work beside it throttled.
func releaseFutile(w *Worker, s *Service, e *Estimator) []Step {
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

func released(percent int) int {
	if percent < throttlePercent {
		return throttlePercent
	}
	return fullPercent
}
