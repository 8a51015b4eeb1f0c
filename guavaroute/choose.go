package guavaroute

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Candidate is an endpoint on whose worker this daemon has a free slot.
	Candidate struct {
		// SameZone is set when the endpoint is in the daemon's zone.
		SameZone bool
		// InUse and Slots count the slots of the worker that this daemon uses
		// and may use. InUse is less than Slots.
		InUse int
		Slots int
		// Latency is the recent mean latency, or 0 if none was measured.
		Latency time.Duration
		// Failures is the number of consecutive failures up to now.
		Failures int
	}

	// Baseline is a load-balancing policy that ignores slots and latency.
	// Benchmarks compare Choose against it.
	Baseline struct {
		Kind BaselineKind

		next int
	}

	// BaselineKind selects the policy of a Baseline.
	BaselineKind string

	// movingAverage is an exponentially weighted moving average. The zero value
	// has no samples.
	movingAverage struct {
		value      float64
		lastSample time.Time
	}
)

const (
	RoundRobin       BaselineKind = "RoundRobin"
	Random           BaselineKind = "Random"
	LeastConnections BaselineKind = "LeastConnections"
)

const (
	// endpointWeight and serviceWeight are the weights of a new sample in the
	// moving averages. The weight of a service is lower because it gets many
	// more samples.
	endpointWeight = 0.1
	serviceWeight  = 0.01
	// latencyDecayTime is the time constant with which the latency of an idle
	// endpoint decays to the mean of its service, so that an endpoint that was
	// slow is tried again.
	latencyDecayTime = 10 * time.Second
)

// Choose returns the index of the candidate to use, or -1 if there is none. It
// takes the better of two random candidates (power of two choices), considering
// other zones only when the daemon's own zone has no candidate.
func Choose(cs []Candidate, r *rand.Rand) int {
	sameZone := 0
	for i := range cs {
		if cs[i].SameZone {
			sameZone++
		}
	}
	n := sameZone
	if sameZone == 0 {
		n = len(cs)
	}
	if n == 0 {
		return -1
	}
	a := nthCandidate(cs, r.IntN(n), sameZone > 0)
	if n == 1 {
		return a
	}
	b := nthCandidate(cs, r.IntN(n), sameZone > 0)
	if cs[b].score() < cs[a].score() {
		return b
	}
	return a
}

// nthCandidate returns the index of the k-th candidate, counting only those in
// the daemon's zone if sameZone is set.
func nthCandidate(cs []Candidate, k int, sameZone bool) int {
	if !sameZone {
		return k
	}
	for i := range cs {
		if !cs[i].SameZone {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// score estimates the cost of sending one more request; lower is better. An
// endpoint that fails fast always has free slots, so without the factor for
// failures it would attract requests.
func (c Candidate) score() float64 {
	load := float64(c.InUse+1) / float64(c.Slots)
	return load * float64(max(c.Latency, time.Microsecond)) * float64(1+c.Failures)
}

// Pick returns the index of the endpoint to use, or -1 if there is none. inUse
// holds the number of this daemon's requests in progress at each endpoint.
func (b *Baseline) Pick(inUse []int, r *rand.Rand) int {
	if len(inUse) == 0 {
		return -1
	}
	switch b.Kind {
	case Random:
		return r.IntN(len(inUse))
	case LeastConnections:
		return leastLoaded(inUse, r.IntN(len(inUse)))
	default:
		b.next++
		return b.next % len(inUse)
	}
}

// leastLoaded returns the index of the smallest value, searching cyclically from
// start so that ties are broken by position after start.
func leastLoaded(inUse []int, start int) int {
	best := start
	for i := range inUse {
		index := (start + i) % len(inUse)
		if inUse[index] < inUse[best] {
			best = index
		}
	}
	return best
}

func (a *movingAverage) add(now time.Time, d time.Duration, weight float64) {
	if a.lastSample.IsZero() {
		a.value = float64(d)
	} else {
		a.value += weight * (float64(d) - a.value)
	}
	a.lastSample = now
}

// decayedToward returns the average, decayed toward mean by the time since the
// last sample. Without samples it returns mean.
func (a *movingAverage) decayedToward(now time.Time, mean time.Duration) time.Duration {
	if a.lastSample.IsZero() {
		return mean
	}
	keep := math.Exp(-float64(now.Sub(a.lastSample)) / float64(latencyDecayTime))
	return mean + time.Duration((a.value-float64(mean))*keep)
}
