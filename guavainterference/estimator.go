package guavainterference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Estimator holds the estimates. Its zero value holds the priors. It is
	// not safe for concurrent use.
	Estimator struct {
		filters map[string]*filter
	}

	// Estimate is the disturbance of a service kind by a batch kind.
	Estimate struct {
		Service string
		Batch   string
		// PerCore is the part of its target by which the service's latency
		// grows for each busy core of the batch kind. It can be below 0.
		PerCore float64
		// Deviation is the standard deviation of PerCore.
		Deviation float64
		// Peak is the recent peak of PerCore, by which tasks are placed.
		Peak float64
		// Known is set when the pair was measured.
		Known bool
	}
)

const (
	// maxServiceKinds and maxBatchKinds bound the pairs: a full estimator
	// holds 64 matrices of 33 by 33 numbers, 560 KB. The kind that was not
	// seen for the longest time makes room for a new one.
	maxServiceKinds = 64
	maxBatchKinds   = 32

	// An idle service needs about half of its target.
	priorBase          = 0.5
	priorBaseDeviation = 0.3
	// An unknown kind is expected to disturb a little: 16 busy cores take a
	// sixth of the target, and at half a deviation more, by which tasks are
	// placed, more than half of it. With a deviation of 0.02 the constant took
	// the blame for a loud kind that ran beside the service from the start, and
	// nothing was throttled.
	priorPerCore          = 0.01
	priorPerCoreDeviation = 0.05
	placementDeviations   = 0.5

	// drift is the time in which a disturbance that is not measured returns
	// to its prior by a factor of e. baseDrift is shorter, since the load of
	// the service itself shifts within minutes.
	drift     = 30 * time.Minute
	baseDrift = 5 * time.Minute

	// peakMemory is the time in which the peak of a disturbance falls to its
	// mean by a factor of e. Placement outlasts a wave, so that it goes by the
	// peak; with the mean it put tasks back after each wave.
	peakMemory = 10 * time.Minute

	// noise is the relative deviation of a measured 99th percentile.
	noise = 0.15
	// maxRatio bounds the weight of one measurement: a stalled instance can
	// be any factor over its target.
	maxRatio = 5.0
)

// Observe learns from the measurements of one worker. The caller passes each
// measurement once; one that is older than the last of its kind counts as
// taken at that time.
func (e *Estimator) Observe(w *Worker) {
	for i := range w.Services {
		s := &w.Services[i]
		if s.Ratio <= 0 {
			continue
		}
		e.filter(s.Kind).observe(s, w.Batch)
	}
}

// Get returns the estimate of a pair.
func (e *Estimator) Get(service, batch string) Estimate {
	est := Estimate{Service: service, Batch: batch, PerCore: priorPerCore, Deviation: priorPerCoreDeviation, Peak: priorPerCore}
	f := e.filters[service]
	if f == nil {
		return est
	}
	if i := f.index(batch); i > 0 {
		est.PerCore, est.Deviation, est.Peak, est.Known = f.mean[i], math.Sqrt(f.at(i, i)), f.peak[i], true
	}
	return est
}

// Estimates returns the estimates of all measured pairs, ordered by name.
func (e *Estimator) Estimates() []Estimate {
	var list []Estimate
	for service, f := range e.filters {
		for _, batch := range f.kinds {
			list = append(list, e.Get(service, batch))
		}
	}
	slices.SortFunc(list, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	return list
}

// Loss returns the expected loss from starting a task beside the given loads:
// 0 for none, 1 for a service that misses its target by its whole length. It
// takes the recent peak plus half a deviation, so that unknown kinds are spread,
// and counts only what the task adds. It allocates nothing.
func (e *Estimator) Loss(t *guavascale.Task, beside []Load) float64 {
	if t.Class == guavascale.ClassService {
		return excess(e.predict(t.Kind, beside, nil))
	}
	worst := 0.0
	for i := range beside {
		if beside[i].Class != guavascale.ClassService {
			continue
		}
		with := excess(e.predict(beside[i].Kind, beside, t))
		if with <= worst {
			continue
		}
		worst = max(worst, with-excess(e.predict(beside[i].Kind, beside, nil)))
	}
	return worst
}

// excess returns the part of a ratio over the target.
func excess(ratio float64) float64 { return max(ratio-1, 0) }

// predict returns the upper expectation of a service's ratio beside the loads
// and one more batch task.
func (e *Estimator) predict(service string, beside []Load, more *guavascale.Task) float64 {
	p := prediction{f: e.filters[service]}
	p.start()
	for i := range beside {
		if beside[i].Class == guavascale.ClassBatch {
			p.add(beside[i].Kind, float64(beside[i].MilliCores)/coreMilliCores)
		}
	}
	if more != nil {
		p.add(more.Kind, float64(more.Size.MilliCores)/coreMilliCores)
	}
	// Nothing is known of a service that was never measured, for instance
	// because it has no target. Caution would cost batch work for ever.
	if p.f == nil {
		return p.mean
	}
	return p.mean + placementDeviations*math.Sqrt(max(p.variance(), 0))
}

func (e *Estimator) filter(service string) *filter {
	if f := e.filters[service]; f != nil {
		return f
	}
	if e.filters == nil {
		e.filters = make(map[string]*filter)
	}
	if len(e.filters) >= maxServiceKinds {
		delete(e.filters, e.oldest())
	}
	f := newFilter()
	e.filters[service] = f
	return f
}

func (e *Estimator) oldest() string {
	oldest := ""
	for name, f := range e.filters {
		o := e.filters[oldest]
		if o == nil || f.last.Before(o.last) || f.last.Equal(o.last) && name < oldest {
			oldest = name
		}
	}
	return oldest
}
