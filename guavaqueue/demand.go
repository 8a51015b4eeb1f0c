package guavaqueue

import (
	"time"

	"guavascale.example"
)

// Assumed workload: a few filler kinds disturb nearly every service kind and make
// up much of the waiting work. They can only run on workers without services,
// which all other tasks could use as well.

const (
	// demandInterval is the minimum time between computations of the demand.
	demandInterval = 500 * time.Millisecond
	// demandDecayPercent is the percentage of a kind's load that still counts at
	// the next computation, which makes the half-life about 6 s.
	demandDecayPercent = 94
	// demandWeight weighs the demand for a worker against its free processors.
	demandWeight = 1.0
	// reservedShare is the share of a pool's workers that services leave to
	// fillers while they find room elsewhere, since fillers that disturb most
	// service kinds can only run on workers without services. reservePenalty is
	// the score penalty for using such a worker.
	reservedShare  = 0.08
	reservePenalty = 3.0
)

// updateDemand computes the demand of each filler kind, which is its load as a
// fraction of the processors on which it may run, and sums up the demands for
// each worker.
func (e *Engine) updateDemand(now time.Time) {
	if now.Sub(e.demandComputedAt) < demandInterval {
		return
	}
	e.demandComputedAt = now
	loads := e.updateFillerLoads()
	e.demandByFiller = make(map[string]float64, len(loads))
	for _, w := range e.workerList {
		w.demand = 0
	}
	for kind, milliCores := range loads {
		available := int64(0)
		for _, w := range e.workerList {
			if e.usable(now, w) && !e.excluded(now, kind, w) {
				available += w.Capacity.MilliCores
			}
		}
		demand := float64(milliCores) / float64(max(available, milliCores, 1))
		e.demandByFiller[kind] = demand
		for _, w := range e.workerList {
			if !e.excluded(now, kind, w) {
				w.demand += demand
			}
		}
	}
}

// updateFillerLoads updates and returns the load of each filler kind: the declared
// processors of its running and waiting fillers. Earlier loads decay gradually,
// since fillers of a kind arrive in bursts.
func (e *Engine) updateFillerLoads() map[string]int64 {
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
	for kind, before := range e.fillerLoads {
		if milliCores := before * demandDecayPercent / 100; milliCores > loads[kind] {
			loads[kind] = milliCores
		}
	}
	e.fillerLoads = loads
	return loads
}

// displacedDemand returns the demand of the filler kinds that could no longer run
// on a worker if a service of a kind were started there.
func (e *Engine) displacedDemand(now time.Time, service string, w *worker) float64 {
	sum := 0.0
	for filler, demand := range e.demandByFiller {
		if e.interference.Excluded(now, service, filler) && !e.excluded(now, filler, w) {
			sum += demand
		}
	}
	return sum
}
