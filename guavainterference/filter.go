package guavainterference

import (
	"math"
	"slices"
	"time"
)

type (
	// filter is the Kalman filter of one service kind. Element 0 of its state
	// is the constant, element i the disturbance per core of kinds[i-1].
	filter struct {
		kinds []string
		// seen is when a kind was last measured.
		seen []time.Time
		mean []float64
		// peak follows the mean upwards at once and downwards slowly.
		peak []float64
		// cov is the covariance, a square matrix with a row of size elements
		// for each element of the state.
		cov  []float64
		last time.Time
		// x and gain are scratch space of observe.
		x, gain []float64
	}

	// prediction sums up the ratio of a service beside loads, at the recent
	// peak of their disturbances. Loads that the
	// filter does not know are independent of the others.
	prediction struct {
		f       *filter
		mean    float64
		unknown float64
		known   [8]term
		n       int
	}

	term struct {
		index int
		cores float64
	}
)

const size = maxBatchKinds + 1

func newFilter() *filter {
	f := &filter{
		mean: make([]float64, size), peak: make([]float64, size), cov: make([]float64, size*size),
		x: make([]float64, size), gain: make([]float64, size),
	}
	for i := range size {
		f.reset(i)
	}
	return f
}

func (f *filter) at(i, j int) float64 { return f.cov[i*size+j] }

// reset gives element i its prior.
func (f *filter) reset(i int) {
	for j := range size {
		f.cov[i*size+j], f.cov[j*size+i] = 0, 0
	}
	f.mean[i], f.cov[i*size+i] = prior(i)
	f.peak[i] = f.mean[i]
}

func prior(i int) (mean, variance float64) {
	if i == 0 {
		return priorBase, priorBaseDeviation * priorBaseDeviation
	}
	return priorPerCore, priorPerCoreDeviation * priorPerCoreDeviation
}

// index returns the element of a batch kind, or 0.
func (f *filter) index(kind string) int { return slices.Index(f.kinds, kind) + 1 }

// element returns the element of a batch kind and makes one when needed.
func (f *filter) element(kind string, now time.Time) int {
	i := f.index(kind)
	switch {
	case i > 0:
	case len(f.kinds) < maxBatchKinds:
		f.kinds = append(f.kinds, kind)
		f.seen = append(f.seen, now)
		i = len(f.kinds)
	default:
		i = 1
		for j := range f.seen {
			if f.seen[j].Before(f.seen[i-1]) {
				i = j + 1
			}
		}
		f.kinds[i-1] = kind
		f.reset(i)
	}
	f.seen[i-1] = now
	return i
}

// forget moves the state towards its prior. The variance tends to that of the
// prior, which it never exceeds.
func (f *filter) forget(now time.Time) {
	if f.last.IsZero() {
		f.last = now
	}
	d := now.Sub(f.last)
	if d <= 0 {
		return
	}
	f.last = now
	n := len(f.kinds) + 1
	base := math.Exp(-d.Seconds() / baseDrift.Seconds())
	rest := math.Exp(-d.Seconds() / drift.Seconds())
	keep := func(i int) float64 {
		if i == 0 {
			return base
		}
		return rest
	}
	for i := range n {
		m, v := prior(i)
		f.mean[i] = m + keep(i)*(f.mean[i]-m)
		f.peak[i] = f.mean[i] + math.Exp(-d.Seconds()/peakMemory.Seconds())*(f.peak[i]-f.mean[i])
		for j := range n {
			f.cov[i*size+j] *= keep(i) * keep(j)
		}
		f.cov[i*size+i] += (1 - keep(i)*keep(i)) * v
	}
}

// observe applies one measurement.
func (f *filter) observe(s *Service, batch []Batch) {
	f.forget(s.MeasuredAt)
	clear(f.x)
	f.x[0] = 1
	for i := range batch {
		if batch[i].Cores > 0 {
			f.x[f.element(batch[i].Kind, s.MeasuredAt)] += batch[i].Cores
		}
	}
	n := len(f.kinds) + 1
	ratio := min(s.Ratio, maxRatio)
	expected, variance := 0.0, noise*noise*max(ratio, 1)*max(ratio, 1)
	for i := range n {
		f.gain[i] = 0
		for j := range n {
			f.gain[i] += f.at(i, j) * f.x[j]
		}
		expected += f.x[i] * f.mean[i]
		variance += f.x[i] * f.gain[i]
	}
	for i := range n {
		f.mean[i] += f.gain[i] / variance * (ratio - expected)
		f.peak[i] = max(f.peak[i], f.mean[i])
		for j := range n {
			f.cov[i*size+j] -= f.gain[i] * f.gain[j] / variance
		}
	}
}

func (p *prediction) start() {
	p.mean, _ = prior(0)
	if p.f != nil {
		p.mean = p.f.mean[0]
	}
}

// add adds busy cores of a kind. Kinds beyond the first 8 count as unknown.
func (p *prediction) add(kind string, cores float64) {
	i := 0
	if p.f != nil {
		i = p.f.index(kind)
	}
	if i == 0 || p.n == len(p.known) {
		m, v := prior(1)
		p.mean += m * cores
		p.unknown += v * cores * cores
		return
	}
	p.mean += p.f.peak[i] * cores
	p.known[p.n] = term{i, cores}
	p.n++
}

// variance returns the variance of the mean. That of the constant is left out:
// every instance of the service shares it, and no placement changes it.
func (p *prediction) variance() float64 {
	v := p.unknown
	for i := range p.n {
		for j := range p.n {
			v += p.known[i].cores * p.known[j].cores * p.f.at(p.known[i].index, p.known[j].index)
		}
	}
	return v
}
