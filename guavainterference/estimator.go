package guavainterference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Estimator estimates the interference between pairs of kinds. The zero
	// value holds the priors. An Estimator is not safe for concurrent use.
	Estimator struct {
		filters map[string]*filter
	}

	// Estimate is the estimated interference of a batch kind with a service
	// kind.
	Estimate struct {
		Service string
		Batch   string
		// PerCore is the increase of the service's latency per busy core of the
		// batch kind, as a fraction of the target. It can be negative.
		PerCore float64
		// Deviation is the standard deviation of PerCore.
		Deviation float64
		// Peak is the recent peak of PerCore, which placement uses.
		Peak float64
		// Known reports whether the pair was measured; otherwise the estimate
		// is the prior.
		Known bool
	}
)

const (
	// maxServiceKinds and maxBatchKinds limit the number of pairs: a full
	// estimator holds 64 matrices of 33 by 33 numbers, 560 KB. A new kind
	// replaces the least recently measured one.
	maxServiceKinds = 64
	maxBatchKinds   = 32

	// The latency of an idle service is about half of its target.
	priorBase          = 0.5
	priorBaseDeviation = 0.3
	// An unknown kind is assumed to interfere a little: 16 busy cores add a
	// sixth of the target to the latency, and more than half of it at the upper
	// bound that placement uses, placementDeviations above the mean. With a
	// deviation of 0.02 the filter attributed the interference of a batch kind
	// that ran beside the service from the start to the base ratio, and nothing
	// was throttled.
	priorPerCore          = 0.01
	priorPerCoreDeviation = 0.05
	placementDeviations   = 0.5

	// perCoreTimeConstant is the time constant with which an interference
	// coefficient decays to its prior while it is not measured.
	// baseTimeConstant, that of the base ratio, is shorter, because the load of
	// the service itself changes within minutes.
	perCoreTimeConstant = 30 * time.Minute
	baseTimeConstant    = 5 * time.Minute

	// peakTimeConstant is the time constant with which the peak of a coefficient
	// decays to its mean. Placement uses the peak because a placed task runs
	// longer than a burst of interference; with the mean, placement put the
	// tasks back beside the service after each burst.
	peakTimeConstant = 10 * time.Minute

	// measurementNoise is the relative standard deviation of a measured 99th
	// percentile.
	measurementNoise = 0.15
	// maxRatio limits the effect of a single measurement, because the latency
	// of a stalled instance can exceed its target by any factor.
	maxRatio = 5.0
)

// Observe updates the estimates with the measurements of one worker. The caller
// must pass each measurement once. A measurement that is older than the last one
// of the same service kind is treated as taken at the time of that one.
func (e *Estimator) Observe(w *Worker) {
	for i := range w.Services {
		s := &w.Services[i]
		if s.Ratio <= 0 {
			continue
		}
		e.filterFor(s.Kind).measurementUpdate(s, w.Batch)
	}
}

// Get returns the estimate for a pair, or the prior if the pair was never
// measured.
func (e *Estimator) Get(service, batch string) Estimate {
	est := Estimate{Service: service, Batch: batch, PerCore: priorPerCore, Deviation: priorPerCoreDeviation, Peak: priorPerCore}
	f := e.filters[service]
	if f == nil {
		return est
	}
	if i := f.index(batch); i > 0 {
		est.PerCore, est.Deviation, est.Peak, est.Known = f.mean[i], math.Sqrt(f.covariance(i, i)), f.peak[i], true
	}
	return est
}

// Estimates returns the estimates of all measured pairs, sorted by service and
// batch kind.
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

// Loss returns the expected target violation caused by starting a task beside
// the given loads: 0 if no service misses its target, 1 if the latency of a
// service is twice its target. It uses the recent peak plus placementDeviations
// standard deviations, so that tasks of unknown kinds are spread, and counts only
// what the task adds. It does not allocate.
func (e *Estimator) Loss(t *guavascale.Task, beside []Load) float64 {
	if t.Class == guavascale.ClassService {
		return targetExcess(e.predictRatio(t.Kind, beside, nil))
	}
	worst := 0.0
	for i := range beside {
		if beside[i].Class != guavascale.ClassService {
			continue
		}
		with := targetExcess(e.predictRatio(beside[i].Kind, beside, t))
		if with <= worst {
			continue
		}
		worst = max(worst, with-targetExcess(e.predictRatio(beside[i].Kind, beside, nil)))
	}
	return worst
}

// targetExcess returns by how much a ratio exceeds 1.
func targetExcess(ratio float64) float64 { return max(ratio-1, 0) }

// predictRatio returns an upper estimate of a service's ratio beside the loads
// and, if added is not nil, one additional batch task.
func (e *Estimator) predictRatio(service string, beside []Load, added *guavascale.Task) float64 {
	p := prediction{f: e.filters[service]}
	p.init()
	for i := range beside {
		if beside[i].Class == guavascale.ClassBatch {
			p.add(beside[i].Kind, float64(beside[i].MilliCores)/milliCoresPerCore)
		}
	}
	if added != nil {
		p.add(added.Kind, float64(added.Size.MilliCores)/milliCoresPerCore)
	}
	// A service that was never measured, for instance because it has no target,
	// gets no safety margin: the margin would never shrink and would keep batch
	// tasks away forever.
	if p.f == nil {
		return p.mean
	}
	return p.mean + placementDeviations*math.Sqrt(max(p.variance(), 0))
}

// filterFor returns the filter of a service kind and creates it if needed.
func (e *Estimator) filterFor(service string) *filter {
	if f := e.filters[service]; f != nil {
		return f
	}
	if e.filters == nil {
		e.filters = make(map[string]*filter)
	}
	if len(e.filters) >= maxServiceKinds {
		delete(e.filters, e.leastRecentKind())
	}
	f := newFilter()
	e.filters[service] = f
	return f
}

// leastRecentKind returns the least recently measured service kind.
func (e *Estimator) leastRecentKind() string {
	oldest := ""
	for name, f := range e.filters {
		o := e.filters[oldest]
		if o == nil || f.lastUpdate.Before(o.lastUpdate) || f.lastUpdate.Equal(o.lastUpdate) && name < oldest {
			oldest = name
		}
	}
	return oldest
}
