package guavaqueue

import (
	"time"

	"guavascale.example"
)

// The load that these decisions answer: a few kinds of fillers disturb nearly
// every kind of service, and much of the waiting work is theirs. They have only
// the workers without services, which everything else could use as well.

const (
	// demandEvery spaces computations of what the kinds depend on.
	demandInterval = 500 * time.Millisecond
	// demandMemory is how much of the work of a kind still counts at the next
	// computation, in percent: half of it after 6 s.
	demandDecayPercent = 94
	// demandWeight weighs what other kinds depend on against free processors.
	demandWeight = 1.0
	// reservedShare is the part of a service's workers that its services leave
	// to fillers while they find room elsewhere, and reservePenalty what keeps
	// them away. Fillers that disturb most kinds of services have only such
	// workers.
	reservedShare  = 0.08
	reservePenalty = 3.0
)

// findCandidates lists the workers of each pool that may get starts in this
// decision, and counts how many of those without services the services may
// still open.
func (e *Engine) findCandidates(now time.Time) {
	if e.candidates == nil {
		e.candidates, e.spareWorkers = make(map[string][]*worker), make(map[string]int)
	}
	clear(e.excludedServicesByFiller)
	clear(e.spareWorkers)
	for pool := range e.candidates {
		e.candidates[pool] = e.candidates[pool][:0]
	}
	listed := make(map[string]int)
	for _, w := range e.workers {
		if e.usable(now, w) {
			e.candidates[w.Service] = append(e.candidates[w.Service], w)
		}
		if !w.listed {
			continue
		}
		listed[w.Service]++
		if w.serviceMilliCores == 0 {
			e.spareWorkers[w.Service]++
		}
	}
	for pool, n := range listed {
		e.spareWorkers[pool] -= int(reservedShare * float64(n))
	}
}

// weighDemand computes how much the fillers of each kind need the workers on
// which they may run, and from that how much each worker is needed.
func (e *Engine) updateDemand(now time.Time) {
	if now.Sub(e.demandComputedAt) < demandInterval {
		return
	}
	e.demandComputedAt = now
	work := e.updateFillerLoads()
	e.demandByFiller = make(map[string]float64, len(work))
	for _, w := range e.workers {
		w.demand = 0
	}
	for kind, cores := range work {
		room := int64(0)
		for _, w := range e.workers {
			if e.usable(now, w) && !e.excluded(now, kind, w) {
				room += w.Capacity.MilliCores
			}
		}
		demand := float64(cores) / float64(max(room, cores, 1))
		e.demandByFiller[kind] = demand
		for _, w := range e.workers {
			if !e.excluded(now, kind, w) {
				w.demand += demand
			}
		}
	}
}

// fillerWork returns the processors that the fillers of each kind use or wait
// for. Kinds come in bursts, so what was there before counts for a while.
func (e *Engine) updateFillerLoads() map[string]int64 {
	work := make(map[string]int64)
	for _, st := range e.readySteps {
		if st.spec.Filler {
			work[st.spec.Kind] += int64(st.waiting) * st.spec.Size.MilliCores
		}
	}
	for _, w := range e.workers {
		for _, l := range w.loads() {
			if l.Class == guavascale.ClassBatch {
				work[l.Kind] += l.MilliCores
			}
		}
	}
	for kind, before := range e.fillerLoads {
		if cores := before * demandDecayPercent / 100; cores > work[kind] {
			work[kind] = cores
		}
	}
	e.fillerLoads = work
	return work
}

// displaced returns the demand of the fillers that could no longer run on a
// worker beside a service of a kind.
func (e *Engine) displacedDemand(now time.Time, service string, w *worker) float64 {
	sum := 0.0
	for filler, demand := range e.demandByFiller {
		if e.interference.excluded(now, service, filler) && !e.excluded(now, filler, w) {
			sum += demand
		}
	}
	return sum
}
