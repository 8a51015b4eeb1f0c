package guavainterference

import (
	"math"
	"slices"
	"time"
)

type (
	// filter is the Kalman filter of one service kind. Entry 0 of its state is
	// the base ratio, entry i the interference coefficient of kinds[i-1].
	filter struct {
		kinds []string
		// measuredAt is when each kind was last measured.
		measuredAt []time.Time
		mean       []float64
		// peak follows the mean at once when it rises and slowly when it falls.
		peak []float64
		// cov is the covariance matrix of the state in row-major order, with
		// stateSize rows and columns.
		cov        []float64
		lastUpdate time.Time
		// regressors and gain are scratch space of measurementUpdate: the
		// factors of the state's entries in the measured ratio, and the product
		// of the covariance and these factors.
		regressors, gain []float64
	}

	// prediction accumulates the expected ratio of a service beside loads, at
	// the recent peaks of their coefficients. Kinds that the filter does not
	// hold are treated as independent of the others.
	prediction struct {
		f               *filter
		mean            float64
		unknownVariance float64
		terms           [8]kindTerm
		termCount       int
	}

	// kindTerm is the load of a kind that the filter holds.
	kindTerm struct {
		index int
		cores float64
	}
)

const stateSize = maxBatchKinds + 1

func newFilter() *filter {
	f := &filter{
		mean: make([]float64, stateSize), peak: make([]float64, stateSize), cov: make([]float64, stateSize*stateSize),
		regressors: make([]float64, stateSize), gain: make([]float64, stateSize),
	}
	for i := range stateSize {
		f.reset(i)
	}
	return f
}

// covariance returns the covariance of two entries of the state.
func (f *filter) covariance(i, j int) float64 { return f.cov[i*stateSize+j] }

// reset sets an entry of the state to its prior.
func (f *filter) reset(i int) {
	for j := range stateSize {
		f.cov[i*stateSize+j], f.cov[j*stateSize+i] = 0, 0
	}
	f.mean[i], f.cov[i*stateSize+i] = prior(i)
	f.peak[i] = f.mean[i]
}

// prior returns the prior of an entry of the state.
func prior(i int) (mean, variance float64) {
	if i == 0 {
		return priorBase, priorBaseDeviation * priorBaseDeviation
	}
	return priorPerCore, priorPerCoreDeviation * priorPerCoreDeviation
}

// index returns the entry of a batch kind, or 0 if there is none.
func (f *filter) index(kind string) int { return slices.Index(f.kinds, kind) + 1 }

// indexOrAdd returns the entry of a batch kind. A new kind gets a free entry or
// replaces the least recently measured kind.
func (f *filter) indexOrAdd(kind string, now time.Time) int {
	i := f.index(kind)
	switch {
	case i > 0:
	case len(f.kinds) < maxBatchKinds:
		f.kinds = append(f.kinds, kind)
		f.measuredAt = append(f.measuredAt, now)
		i = len(f.kinds)
	default:
		i = 1
		for j := range f.measuredAt {
			if f.measuredAt[j].Before(f.measuredAt[i-1]) {
				i = j + 1
			}
		}
		f.kinds[i-1] = kind
		f.reset(i)
	}
	f.measuredAt[i-1] = now
	return i
}

// timeUpdate decays the state towards its prior. The variance approaches that of
// the prior and never exceeds it.
func (f *filter) timeUpdate(now time.Time) {
	if f.lastUpdate.IsZero() {
		f.lastUpdate = now
	}
	elapsed := now.Sub(f.lastUpdate)
	if elapsed <= 0 {
		return
	}
	f.lastUpdate = now
	n := len(f.kinds) + 1
	base := math.Exp(-elapsed.Seconds() / baseTimeConstant.Seconds())
	perCore := math.Exp(-elapsed.Seconds() / perCoreTimeConstant.Seconds())
	decay := func(i int) float64 {
		if i == 0 {
			return base
		}
		return perCore
	}
	for i := range n {
		m, v := prior(i)
		f.mean[i] = m + decay(i)*(f.mean[i]-m)
		f.peak[i] = f.mean[i] + math.Exp(-elapsed.Seconds()/peakTimeConstant.Seconds())*(f.peak[i]-f.mean[i])
		for j := range n {
			f.cov[i*stateSize+j] *= decay(i) * decay(j)
		}
		f.cov[i*stateSize+i] += (1 - decay(i)*decay(i)) * v
	}
}

// measurementUpdate updates the state with one measurement.
func (f *filter) measurementUpdate(s *Service, batch []Batch) {
	f.timeUpdate(s.MeasuredAt)
	clear(f.regressors)
	f.regressors[0] = 1
	for i := range batch {
		if batch[i].Cores > 0 {
			f.regressors[f.indexOrAdd(batch[i].Kind, s.MeasuredAt)] += batch[i].Cores
		}
	}
	n := len(f.kinds) + 1
	ratio := min(s.Ratio, maxRatio)
	expected, variance := 0.0, measurementNoise*measurementNoise*max(ratio, 1)*max(ratio, 1)
	for i := range n {
		f.gain[i] = 0
		for j := range n {
			f.gain[i] += f.covariance(i, j) * f.regressors[j]
		}
		expected += f.regressors[i] * f.mean[i]
		variance += f.regressors[i] * f.gain[i]
	}
	for i := range n {
		f.mean[i] += f.gain[i] / variance * (ratio - expected)
		f.peak[i] = max(f.peak[i], f.mean[i])
		for j := range n {
			f.cov[i*stateSize+j] -= f.gain[i] * f.gain[j] / variance
		}
	}
}

// init sets the mean to the base ratio.
func (p *prediction) init() {
	p.mean, _ = prior(0)
	if p.f != nil {
		p.mean = p.f.mean[0]
	}
}

// add adds busy cores of a kind. Kinds beyond the first 8 are treated as not held
// by the filter.
func (p *prediction) add(kind string, cores float64) {
	i := 0
	if p.f != nil {
		i = p.f.index(kind)
	}
	if i == 0 || p.termCount == len(p.terms) {
		m, v := prior(1)
		p.mean += m * cores
		p.unknownVariance += v * cores * cores
		return
	}
	p.mean += p.f.peak[i] * cores
	p.terms[p.termCount] = kindTerm{i, cores}
	p.termCount++
}

// variance returns the variance of the mean without that of the base ratio, which
// all instances of the service share and no placement changes.
func (p *prediction) variance() float64 {
	v := p.unknownVariance
	for i := range p.termCount {
		for j := range p.termCount {
			v += p.terms[i].cores * p.terms[j].cores * p.f.covariance(p.terms[i].index, p.terms[j].index)
		}
	}
	return v
}
