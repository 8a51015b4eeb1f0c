package guavaqueue

import (
	"time"

	"guavascale.example"
)

const (
	// demandWeight weighs the demand for a worker against its free processors.
	demandWeight = 1.0
	// reservedShare is the share of a pool's workers that services leave to
	// fillers while they find room elsewhere, since fillers that disturb most
	// service kinds can only run on workers without services. reservePenalty is
	// the score penalty for using such a worker.
	reservedShare  = 0.08
	reservePenalty = 3.0
)

// updateDemand computes the demand of each filler kind, and sums up the demands for each
// worker.
func (e *Engine) updateDemand(now time.Time) {
	if !e.demand.Due(now) {
		return
	}
	e.demand.Update(now, e.fillerLoads(), func(kind string) int64 {
		available := int64(0)
		for _, w := range e.workerList {
			if e.usable(now, w) && !e.excluded(now, kind, w) {
				available += w.Capacity.MilliCores
			}
		}
		return available
	})
	for _, w := range e.workerList {
		w.demand = e.demand.Sum(func(kind string) bool { return !e.excluded(now, kind, w) })
	}
}

// fillerLoads returns the declared processors of the running and waiting fillers of each
// kind, in thousandths of a core.
func (e *Engine) fillerLoads() map[string]int64 {
	loads := make(map[string]int64)
	for _, st := range e.readySteps {
		if st.spec.Filler {
			loads[st.spec.Kind] += int64(st.waiting) * st.spec.Size.MilliCores
		}
	}
	for _, w := range e.workerList {
		for _, l := range w.loads() {
			if l.Class == guavascale.ClassBatch {
				loads[l.Kind] += l.MilliCores
			}
		}
	}
	return loads
}

// displacedDemand returns the demand of the filler kinds that could no longer run
// on a worker if a service of a kind were started there.
func (e *Engine) displacedDemand(now time.Time, service string, w *worker) float64 {
	return e.demand.Sum(func(filler string) bool {
		return e.interference.Excluded(now, service, filler) && !e.excluded(now, filler, w)
	})
}
