package guavaroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

// slowFactor is how many times the mean latency of its service an endpoint must
// exceed to count as slow. Below 2, the noise of the averages would leave out
// ordinary endpoints.
const slowFactor = 2

// acquire takes a slot of the best endpoint of a service. A slow endpoint is
// left out while the wait for a faster one, by the queue's length, is shorter
// than what it is slower, and a faster one is busy, whose end looks at the
// queue again.
func (r *Router) acquire(now time.Time, s *serviceState, waited time.Duration, tried []guavascale.TaskID) (Pick, bool) {
	if r.Rand == nil {
		r.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	mean := time.Duration(s.latency.value)
	r.scratch, r.free = r.scratch[:0], r.free[:0]
	slots, fastBusy := 0, false
	for _, es := range s.endpoints {
		usable := es.worker.usable(now)
		slots += usable
		latency := es.latency.toward(now, mean)
		open := es.ejection.open(now) && !slices.Contains(tried, es.endpoint.Task)
		if open && es.inUse > 0 && latency < slowFactor*mean {
			fastBusy = true
		}
		if !open || es.worker.inUse >= usable {
			continue
		}
		c := Candidate{
			OwnZone:  es.endpoint.Zone == r.view.Zone,
			InUse:    es.worker.inUse,
			Slots:    usable,
			Latency:  latency,
			Failures: es.ejection.failures,
		}
		if es.ejection.ejected {
			// A probe is due; the endpoint must be tried to return.
			c.Latency, c.Failures = mean, 0
		}
		r.free = append(r.free, es)
		r.scratch = append(r.scratch, c)
	}
	if fastBusy && len(tried) == 0 {
		wait := time.Duration(float64(mean) * float64(s.queue.len()+1) / float64(slots))
		r.leaveOutSlow(slowFactor*mean + wait + 2*waited)
	}
	i := Choose(r.scratch, r.Rand)
	if i < 0 {
		return Pick{}, false
	}
	es := r.free[i]
	es.inUse++
	es.worker.inUse++
	return Pick{
		Endpoint:    es.endpoint,
		Connections: es.worker.connections.usable(now),
		state:       es,
		probe:       es.ejection.begin(),
	}, true
}

// leaveOutSlow removes the free endpoints slower than limit.
func (r *Router) leaveOutSlow(limit time.Duration) {
	n := 0
	for i, c := range r.scratch {
		if c.Latency <= limit {
			r.scratch[n], r.free[n] = c, r.free[i]
			n++
		}
	}
	r.scratch, r.free = r.scratch[:n], r.free[:n]
}
