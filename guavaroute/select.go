package guavaroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

// slowFactor is the multiple of its service's mean latency above which an
// endpoint counts as slow. Below 2, noise in the averages would exclude ordinary
// endpoints.
const slowFactor = 2

// acquireSlot acquires a slot for the best endpoint of a service. A slow endpoint
// is excluded while the expected wait for a faster one, based on the length of the
// queue, is shorter than the additional latency of the slow one. This requires
// that a faster endpoint is busy, because the end of its request is what triggers
// the next look at the queue.
func (r *Router) acquireSlot(now time.Time, s *serviceState, waited time.Duration, tried []guavascale.TaskID) (Pick, bool) {
	if r.Rand == nil {
		r.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	mean := time.Duration(s.latency.value)
	r.candidates, r.candidateEndpoints = r.candidates[:0], r.candidateEndpoints[:0]
	slots, fasterBusy := 0, false
	for _, es := range s.endpoints {
		usable := es.worker.usableSlots(now)
		slots += usable
		latency := es.latency.decayedToward(now, mean)
		available := es.ejection.available(now) && !slices.Contains(tried, es.endpoint.Task)
		if available && es.inUse > 0 && latency < slowFactor*mean {
			fasterBusy = true
		}
		if !available || es.worker.inUse >= usable {
			continue
		}
		c := Candidate{
			SameZone: es.endpoint.Zone == r.view.Zone,
			InUse:    es.worker.inUse,
			Slots:    usable,
			Latency:  latency,
			Failures: es.ejection.failures,
		}
		if es.ejection.ejected {
			// A probe is due. Use the mean latency, since an ejected endpoint
			// can recover only if it is tried.
			c.Latency, c.Failures = mean, 0
		}
		r.candidateEndpoints = append(r.candidateEndpoints, es)
		r.candidates = append(r.candidates, c)
	}
	if fasterBusy && len(tried) == 0 {
		wait := time.Duration(float64(mean) * float64(s.queue.len()+1) / float64(slots))
		r.excludeSlow(slowFactor*mean + wait + 2*waited)
	}
	i := Choose(r.candidates, r.Rand)
	if i < 0 {
		return Pick{}, false
	}
	es := r.candidateEndpoints[i]
	es.inUse++
	es.worker.inUse++
	return Pick{
		Endpoint:    es.endpoint,
		Connections: es.worker.connections.usable(now),
		state:       es,
		probe:       es.ejection.recordStart(),
	}, true
}

// excludeSlow removes the candidates with a latency above limit.
func (r *Router) excludeSlow(limit time.Duration) {
	n := 0
	for i, c := range r.candidates {
		if c.Latency <= limit {
			r.candidates[n], r.candidateEndpoints[n] = c, r.candidateEndpoints[i]
			n++
		}
	}
	r.candidates, r.candidateEndpoints = r.candidates[:n], r.candidateEndpoints[:n]
}
