package guavaroute

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Candidate is an endpoint with a free slot of this daemon.
	Candidate struct {
		// OwnZone is set when the endpoint is in the daemon's zone.
		OwnZone bool
		// InUse and Slots count this daemon's slots of the worker; InUse is
		// less than Slots.
		InUse int
		Slots int
		// Latency is the recent latency; 0 when there is none.
		Latency time.Duration
		// Failures counts the latest consecutive failures.
		Failures int
	}

	// Baseline chooses without slots and without recent latency. It is what
	// measurements compare Choose with.
	Baseline struct {
		Kind BaselineKind

		next int
	}

	// BaselineKind names a simple rule of choice.
	BaselineKind string

	// average is an exponentially weighted moving average. Its zero value has
	// no observation.
	average struct {
		value float64
		last  time.Time
	}
)

const (
	RoundRobin       BaselineKind = "RoundRobin"
	Random           BaselineKind = "Random"
	LeastConnections BaselineKind = "LeastConnections"
)

const (
	// endpointWeight and serviceWeight are the weights of a new observation.
	// A service has many more of them.
	endpointWeight = 0.1
	serviceWeight  = 0.01
	// forgetTime is the time constant with which the latency of an endpoint
	// returns to the mean of its service, so that one that was slow is tried
	// again.
	forgetTime = 10 * time.Second
)

// Choose returns the index of the endpoint to use, or -1 when there is none:
// the better one of two random candidates, of the own zone while it has any.
func Choose(cs []Candidate, r *rand.Rand) int {
	own := 0
	for i := range cs {
		if cs[i].OwnZone {
			own++
		}
	}
	n := own
	if own == 0 {
		n = len(cs)
	}
	if n == 0 {
		return -1
	}
	a := nth(cs, r.IntN(n), own > 0)
	if n == 1 {
		return a
	}
	b := nth(cs, r.IntN(n), own > 0)
	if cs[b].score() < cs[a].score() {
		return b
	}
	return a
}

// nth returns the index of the k-th candidate, of the own zone when own is set.
func nth(cs []Candidate, k int, own bool) int {
	if !own {
		return k
	}
	for i := range cs {
		if !cs[i].OwnZone {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// score is the expected cost of one more request. An endpoint that fails fast
// always has free slots; without the factor for failures it would attract
// requests.
func (c Candidate) score() float64 {
	load := float64(c.InUse+1) / float64(c.Slots)
	return load * float64(max(c.Latency, time.Microsecond)) * float64(1+c.Failures)
}

// Pick returns the index of the endpoint to use, given this daemon's requests
// in progress at each; -1 when there is no endpoint.
func (b *Baseline) Pick(inUse []int, r *rand.Rand) int {
	if len(inUse) == 0 {
		return -1
	}
	switch b.Kind {
	case Random:
		return r.IntN(len(inUse))
	case LeastConnections:
		return least(inUse, r.IntN(len(inUse)))
	default:
		b.next++
		return b.next % len(inUse)
	}
}

// least returns the first index of the least value at or after start.
func least(inUse []int, start int) int {
	best := start
	for i := range inUse {
		at := (start + i) % len(inUse)
		if inUse[at] < inUse[best] {
			best = at
		}
	}
	return best
}

func (a *average) add(now time.Time, d time.Duration, weight float64) {
	if a.last.IsZero() {
		a.value = float64(d)
	} else {
		a.value += weight * (float64(d) - a.value)
	}
	a.last = now
}

// toward returns the average, moved toward mean by the time since the last
// observation.
func (a *average) toward(now time.Time, mean time.Duration) time.Duration {
	if a.last.IsZero() {
		return mean
	}
	keep := math.Exp(-float64(now.Sub(a.last)) / float64(forgetTime))
	return mean + time.Duration((a.value-float64(mean))*keep)
}
