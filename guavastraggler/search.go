package guavastraggler

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example/guavaestimate"
)

type (
	// Reason tells why a run is replaced.
	Reason string

	// Search looks for stragglers among the runs of a pool. The zero value is ready to use.
	Search[R any] struct {
		// Crowded is set if ordinary work waits for capacity. No copies are started then.
		// Find clears it.
		Crowded bool

		runs    []searched[R]
		workers []*Worker
		// slow counts the slow workers, and slowdowns holds those of all that are known,
		// in order.
		slow      int
		slowdowns []float64
		// replacedAt holds the times of the replacements within replaceWindow.
		replacedAt []time.Time
	}

	// Found is a run that is to be replaced: by a copy, or by a run that starts once this
	// one has been stopped. Reason is empty where no search was made.
	Found[R any] struct {
		Run    R
		Reason Reason
		Copy   bool
		// gain is how much sooner the new run is expected to end.
		gain time.Duration
	}

	// Worker is what is known of the speed of a worker: its runs in the present search and
	// those that have ended lately. The zero value is ready to use.
	Worker struct {
		searchedAt time.Time
		samples    []sample
		ended      []endedSample
		// known is set if the present search has any run of the worker, isSlow if most of
		// them are slow, and slowdown is their median.
		known, isSlow bool
		slowdown      float64
	}

	searched[R any] struct {
		id     R
		run    Run
		worker *Worker
		// known is set if there are learned durations; learned compares the run with
		// them, if it goes on at its speed so far.
		known   bool
		learned guavaestimate.Comparison
		// projected is the duration by the speed so far, 0 if not known yet.
		projected time.Duration
		stalled   bool
	}

	// sample is the speed of a run: the share of runs of its kind that took as long, and
	// its duration in relation to the typical one.
	sample struct{ share, slowdown float64 }

	endedSample struct {
		at time.Time
		sample
	}
)

const (
	// StepMedian is a run that straggles by Run.Straggles, since too few durations of its
	// kind are learned.
	StepMedian Reason = "StepMedian"
	// Stalled is a run that makes no progress.
	Stalled Reason = "Stalled"
	// SlowWorker is a slow run on a worker whose other runs are slow as well.
	SlowWorker Reason = "SlowWorker"
	// SlowRun is a run slower than nearly all of its kind, on a worker without others.
	SlowRun Reason = "SlowRun"
)

// Interval is the minimum time between searches.
const Interval = 200 * time.Millisecond

const (
	// maxReportAge is the age from which a report is evidence neither of a problem nor of
	// normal operation.
	maxReportAge = time.Second
	// A speed is known after minObserved, which covers the time that a start takes, and
	// after minObservedShare of the typical duration, which is five percent of progress.
	minObserved      = 600 * time.Millisecond
	minObservedShare = 0.05
	// A run that takes Comparison.Long reports a percent in a hundredth of that time. It is
	// stalled after stallPercents times as long.
	stallPercents = 2
	// stopCost is the time for which a run that is stopped keeps its room, restoreCost the
	// time that restoring a checkpoint takes.
	stopCost    = 200 * time.Millisecond
	restoreCost = 600 * time.Millisecond
	// endedFor is how long runs that have ended tell the speed of their worker, and maxEnded
	// how many of them. Without them a sample would have too many long runs, which are seen
	// more often than others while they run. They delay the finding of a worker that has
	// just become slow.
	endedFor = 5 * time.Second
	maxEnded = 8
	// In each replaceWindow, replaceShare of a pool's runs is replaced, and minReplaced of
	// few runs, which are those of one worker.
	replaceWindow = 2 * time.Second
	replaceShare  = 0.1
	minReplaced   = 4
)

// slowShares holds, by the number of other runs of a worker, the share of the slowest of its kind
// to which a run and two thirds of the others have to belong to be slow. On a healthy worker that
// happens by chance in one of 100 cases (no other run), 400 (one) or 1,000 and more (two and more).
var slowShares = [...]float64{0.01, 0.05, 0.1}

// Ended learns from a run that has done its work in took. The durations of runs that were
// resumed, adopted or throttled tell nothing.
func (w *Worker) Ended(now time.Time, m *guavaestimate.Model, r Run, took time.Duration) {
	if r.Seen.Partial {
		return
	}
	if c, ok := m.Compare(r.Key, r.Estimate, took); ok {
		if len(w.ended) >= maxEnded {
			w.ended = slices.Delete(w.ended, 0, 1)
		}
		w.ended = append(w.ended, endedSample{now, sampleOf(c, took)})
	}
	m.Record(r.Key, r.Estimate, took)
}

func sampleOf(c guavaestimate.Comparison, took time.Duration) sample {
	return sample{c.Share, float64(took) / float64(max(c.Typical, 1))}
}

// begin removes the runs of the search before and those that have ended long ago.
func (w *Worker) begin(now time.Time) {
	w.searchedAt, w.samples = now, w.samples[:0]
	w.ended = slices.DeleteFunc(w.ended, func(s endedSample) bool { return now.Sub(s.at) > endedFor })
	for _, s := range w.ended {
		w.samples = append(w.samples, s.sample)
	}
}

// others returns the number of the worker's runs except own, those that have ended lately
// included, the share that a third of them exceeds at most, and their median slowdown.
func (w *Worker) others(own sample) (n int, typical sample) {
	shares, slowdowns := make([]float64, 0, len(w.samples)), make([]float64, 0, len(w.samples))
	skipped := false
	for _, s := range w.samples {
		if !skipped && s == own {
			skipped = true
			continue
		}
		shares, slowdowns = append(shares, s.share), append(slowdowns, s.slowdown)
	}
	if n = len(shares); n == 0 {
		return 0, sample{}
	}
	slices.Sort(shares)
	slices.Sort(slowdowns)
	return n, sample{shares[2*n/3], slowdowns[(n-1)/2]}
}

// rate determines whether the worker is slow by all of its runs, and how far.
func (w *Worker) rate() {
	n, typical := w.others(sample{-1, -1})
	w.known, w.slowdown = n > 0, typical.slowdown
	w.isSlow = n > 0 && typical.share <= slowShares[min(n-1, len(slowShares)-1)]
}

// Add adds a run at full pace on a worker to the search that Find completes.
func (s *Search[R]) Add(now time.Time, m *guavaestimate.Model, w *Worker, id R, r Run) {
	if !w.searchedAt.Equal(now) {
		w.begin(now)
		s.workers = append(s.workers, w)
	}
	c := searched[R]{id: id, run: r, worker: w}
	if c.learned, c.known = m.Compare(r.Key, r.Estimate, 0); c.known && now.Sub(r.ReportedAt) <= maxReportAge && !r.Seen.fromAt.IsZero() {
		c.observe(m)
	}
	s.runs = append(s.runs, c)
}

// observe computes the speed of the run and adds it to those of its worker.
func (c *searched[R]) observe(m *guavaestimate.Model) {
	r := c.run
	over, done := r.ReportedAt.Sub(r.Seen.fromAt), r.Percent-r.Seen.from
	perPercent := c.learned.Long / FullProgress
	if done > 0 {
		perPercent = max(perPercent, r.Seen.ChangedAt.Sub(r.Seen.fromAt)/time.Duration(done))
	}
	if min(r.stood(), over) > max(minStallTimeout, stallPercents*perPercent) {
		c.stalled = true
		c.worker.samples = append(c.worker.samples, c.sample())
		return
	}
	if over < max(minObserved, time.Duration(minObservedShare*float64(c.learned.Typical))) {
		return
	}
	c.projected = over * FullProgress / time.Duration(max(done, 1))
	c.learned, _ = m.Compare(r.Key, r.Estimate, c.projected)
	c.worker.samples = append(c.worker.samples, c.sample())
}

// sample returns the speed of the run. One that is stalled is slower than any.
func (c *searched[R]) sample() sample {
	if c.stalled {
		return sample{0, FullProgress}
	}
	return sampleOf(c.learned, c.projected)
}

// Find completes a search. It offers the runs that are to be replaced, those with the largest
// gain first, to replace, which reports whether it has replaced the run.
func (s *Search[R]) Find(now time.Time, replace func(Found[R]) bool) {
	s.replacedAt = slices.DeleteFunc(s.replacedAt, func(at time.Time) bool { return now.Sub(at) >= replaceWindow })
	s.rateWorkers()
	var found []Found[R]
	for i := range s.runs {
		if f, ok := s.judge(now, &s.runs[i]); ok {
			found = append(found, f)
		}
	}
	slices.SortStableFunc(found, func(a, b Found[R]) int { return cmp.Compare(b.gain, a.gain) })
	most := max(minReplaced, int(replaceShare*float64(len(s.runs))))
	for _, f := range found {
		if len(s.replacedAt) >= most {
			break
		}
		if replace(f) {
			s.replacedAt = append(s.replacedAt, now)
		}
	}
	clear(s.runs)
	clear(s.workers)
	s.runs, s.workers, s.Crowded = s.runs[:0], s.workers[:0], false
}

// rest returns what the workers of the search except w are like: whether most of them are slow,
// and their median slowdown, which a new run is expected to have as well. Without any other
// worker that is known, it is that of the learned durations.
func (s *Search[R]) rest(w *Worker) (slow bool, slowdown float64) {
	n, slowOnes := len(s.slowdowns), s.slow
	if w.known {
		n--
	}
	if w.isSlow {
		slowOnes--
	}
	if n == 0 {
		return false, 1
	}
	middle := n / 2
	if i, _ := slices.BinarySearch(s.slowdowns, w.slowdown); w.known && i <= middle {
		middle++
	}
	return 2*slowOnes > n, max(s.slowdowns[middle], 1)
}

// rateWorkers determines which workers are slow.
func (s *Search[R]) rateWorkers() {
	s.slow, s.slowdowns = 0, s.slowdowns[:0]
	for _, w := range s.workers {
		if w.rate(); w.known {
			s.slowdowns = append(s.slowdowns, w.slowdown)
		}
		if w.isSlow {
			s.slow++
		}
	}
	slices.Sort(s.slowdowns)
}

// judge reports whether a run is to be replaced. While the pool as a whole is slow, a new run
// would be no faster.
func (s *Search[R]) judge(now time.Time, c *searched[R]) (Found[R], bool) {
	f := Found[R]{Run: c.id, Copy: c.run.Copies && !s.Crowded}
	slow, slowdown := s.rest(c.worker)
	if slow {
		return f, false
	}
	if !c.known {
		f.Reason = StepMedian
		return f, c.run.Straggles()
	}
	if !c.stalled && (c.projected == 0 || c.learned.Share > slices.Max(slowShares[:])) {
		return f, false
	}
	if c.stalled {
		f.Reason, f.gain = Stalled, FullProgress*c.learned.Long-c.replacement(c.learned.Mean, slowdown, f.Copy)
		return f, f.gain > 0
	}
	n, others := c.worker.others(c.sample())
	limit := slowShares[min(n, len(slowShares)-1)]
	if c.learned.Share > limit || n > 0 && others.share > limit {
		return f, false
	}
	full := c.learned.Mean
	if f.Reason = SlowRun; n > 0 {
		// The task itself is as long as the run is slower than the worker.
		f.Reason = SlowWorker
		full = max(c.learned.Typical, time.Duration(float64(c.projected)/max(others.slowdown, 1)))
	}
	left := c.projected*time.Duration(FullProgress-c.run.Percent)/FullProgress - now.Sub(c.run.ReportedAt)
	f.gain = left - c.replacement(full, slowdown, f.Copy)
	return f, f.gain > 0
}

// replacement returns the time until a new run ends whose whole work takes full
// on a worker that is not slowed down.
func (c *searched[R]) replacement(full time.Duration, slowdown float64, isCopy bool) time.Duration {
	d := restartCost + time.Duration(slowdown*float64(full))*time.Duration(FullProgress-c.run.Seen.saved)/FullProgress
	if c.run.Seen.saved > 0 {
		d += restoreCost
	}
	if !isCopy {
		d += stopCost
	}
	return d
}
