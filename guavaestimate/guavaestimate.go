// Package guavaestimate learns from ended runs how far the estimates of callers may be trusted.
//
// Assumed workload: the duration that a caller declares deviates from the true one by up to
// nine tenths, and durations have heavy tails, up to ten times the mean. A decision that
// counts on a run to end (a reservation, or a task beside one) would be wrong as often as the
// estimates are.
//
// A Model keeps, for each queue, kind and step, the distribution of the ratio of the duration
// to the estimate. A prediction is a quantile of that distribution, given that the run has not
// ended yet: with a heavy tail, a run that exceeds its estimate is expected to take longer,
// not to end at once.
package guavaestimate

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Key identifies runs with similar durations.
	Key struct {
		Queue, Kind string
		// Step is the index of the step in its submission.
		Step int
	}

	// Model holds what is known of the estimates. The zero value is ready to use.
	Model struct {
		keys map[Key]*ratios
		// all holds the ratios of all keys, for those with few runs.
		all ratios
	}

	// Run is a run whose end is to be predicted. Estimate is its declared duration, Elapsed
	// the time since its start, and Percent its progress by then; 0 if unknown.
	Run struct {
		Key               Key
		Estimate, Elapsed time.Duration
		Percent           int
	}

	// Trust tells how far the estimates of a key may be trusted: the quantiles of the
	// ratio of the duration to the estimate.
	Trust struct {
		Runs         int64
		Median, High float64
	}

	// Comparison compares a run with the latest runs of its key, by their estimates. The zero
	// value is for a key with too few of them.
	Comparison struct {
		// Share is the share of runs that took at least as long as this one. It counts one
		// run more than there are, so that few runs exclude little.
		Share float64
		// Typical is the duration that half of the runs exceed, Long the one that one in a
		// hundred exceeds.
		Typical, Mean, Long time.Duration
	}

	// ratios is a distribution of ratios, in thousandths, over the latest runs.
	ratios struct {
		recent, earlier *hdrhistogram.Histogram
		runs            int64
		// bars holds the distribution in order until the next change.
		bars []hdrhistogram.Bar
		// compared is at most compareEvery runs old.
		compared *comparison
	}

	// comparison is a distribution in a form in which comparisons take little time.
	comparison struct {
		// runs is the number of runs of the key by then.
		runs int64
		// to holds the bars' upper bounds, and above the numbers of ratios in and above them.
		to, above          []int64
		median, mean, high float64
	}
)

const (
	// Even is the quantile that is too low as often as too high, Safe one that is
	// exceeded by one run in ten.
	Even = 0.5
	Safe = 0.9
	// longQuantile is the quantile of Comparison.Long.
	longQuantile = 0.99
	// unit is the resolution of ratios, which are between 1/unit and maxRatio, with an
	// error of a tenth.
	unit     = 1000
	maxRatio = 1000
	digits   = 1
	// windowRuns is the number of runs after which the earlier half of a distribution is
	// forgotten. Callers change their estimates within a day.
	windowRuns = 256
	// compareEvery is the number of runs after which comparisons take note of them.
	compareEvery = 8
	// minRuns is the number of runs from which a key has a distribution of its own.
	minRuns = 12
	// maxKeys bounds the memory, some kilobytes per key.
	maxKeys = 512
)

// priorRatios stand for runs that nothing is known of yet, in thousandths.
var priorRatios = []int64{500, 700, 800, 900, 1000, 1000, 1200, 1500, 2000, 5000}

// Record records the duration of a run that was done.
func (m *Model) Record(k Key, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := min(max(int64(float64(unit)*float64(took)/float64(estimate)), 1), unit*maxRatio)
	m.all.record(ratio)
	r := m.keys[k]
	if r == nil {
		if len(m.keys) >= maxKeys {
			return
		}
		if m.keys == nil {
			m.keys = make(map[Key]*ratios)
		}
		r = &ratios{}
		m.keys[k] = r
	}
	r.record(ratio)
}

// Left predicts the time until a run ends, which is exceeded by a share of 1-quantile of such
// runs. A run that reports progress is expected to go on at its pace.
func (m *Model) Left(r Run, quantile float64) time.Duration {
	if r.Percent > 0 {
		return r.Elapsed * time.Duration(100-min(r.Percent, 100)) / time.Duration(r.Percent)
	}
	if r.Estimate <= 0 {
		return 0
	}
	elapsed := float64(unit) * float64(r.Elapsed) / float64(r.Estimate)
	ratio := m.ratios(r.Key).given(elapsed, quantile)
	return time.Duration(max(ratio-elapsed, 0) / unit * float64(r.Estimate))
}

// Trust returns how far the estimates of a key may be trusted.
func (m *Model) Trust(k Key) Trust {
	t := Trust{Median: m.ratios(k).given(0, Even) / unit, High: m.ratios(k).given(0, Safe) / unit}
	if r := m.keys[k]; r != nil {
		t.Runs = r.runs
	}
	return t
}

// Compare compares a run of a key that takes took with the runs of that key. It reports false
// while there are too few of them; those of other keys don't stand for them.
func (m *Model) Compare(k Key, estimate, took time.Duration) (Comparison, bool) {
	r := m.keys[k]
	if r == nil || r.runs < minRuns || estimate <= 0 {
		return Comparison{}, false
	}
	if r.compared == nil || r.runs >= r.compared.runs+compareEvery {
		r.compared = r.comparison()
	}
	c := r.compared
	i, _ := slices.BinarySearch(c.to, int64(unit*float64(took)/float64(estimate)))
	duration := func(ratio float64) time.Duration { return time.Duration(ratio / unit * float64(estimate)) }
	return Comparison{
		Share:   float64(c.above[i]+1) / float64(c.above[0]+1),
		Typical: duration(c.median), Mean: duration(c.mean), Long: duration(c.high),
	}, true
}

// comparison returns the distribution in the form for comparisons.
func (r *ratios) comparison() *comparison {
	if r.bars == nil {
		r.update()
	}
	n := len(r.bars)
	c := &comparison{runs: r.runs, to: make([]int64, n), above: make([]int64, n+1), median: r.given(0, Even), high: r.given(0, longQuantile)}
	for i, b := range slices.Backward(r.bars) {
		c.to[i], c.above[i] = b.To, c.above[i+1]+b.Count
		c.mean += float64(b.Count) * float64(b.From+b.To) / 2
	}
	c.mean /= float64(c.above[0])
	return c
}

// ratios returns the distribution for a key.
func (m *Model) ratios(k Key) *ratios {
	if r := m.keys[k]; r != nil && r.runs >= minRuns {
		return r
	}
	return &m.all
}

func (r *ratios) record(ratio int64) {
	if r.recent == nil || r.recent.TotalCount() >= windowRuns {
		r.earlier, r.recent = r.recent, hdrhistogram.New(1, unit*maxRatio, digits)
	}
	// The ratio is within the bounds of the histogram.
	_ = r.recent.RecordValue(ratio)
	r.runs++
	r.bars = nil
}

// given returns the quantile of the ratios above elapsed, or, if there are none, elapsed twice
// over: of a heavy tail, half of the runs that got so far take twice as long.
func (r *ratios) given(elapsed, quantile float64) float64 {
	if r.bars == nil {
		r.update()
	}
	first, _ := slices.BinarySearchFunc(r.bars, elapsed, func(b hdrhistogram.Bar, elapsed float64) int {
		if float64(b.To) <= elapsed {
			return -1
		}
		return 1
	})
	above := int64(0)
	for _, b := range r.bars[first:] {
		above += b.Count
	}
	if above == 0 {
		return 2 * elapsed
	}
	count := int64(0)
	for _, b := range r.bars[first:] {
		if count += b.Count; float64(count) >= quantile*float64(above) {
			return float64(b.To)
		}
	}
	return float64(r.bars[len(r.bars)-1].To)
}

// update computes the bars. A distribution of few runs includes priorRatios.
func (r *ratios) update() {
	sum := hdrhistogram.New(1, unit*maxRatio, digits)
	for _, h := range []*hdrhistogram.Histogram{r.recent, r.earlier} {
		if h != nil {
			sum.Merge(h)
		}
	}
	if r.runs < minRuns {
		for _, p := range priorRatios {
			_ = sum.RecordValue(p)
		}
	}
	r.bars = slices.DeleteFunc(sum.Distribution(), func(b hdrhistogram.Bar) bool { return b.Count == 0 })
}
