package guavaroute

import "time"

// ejection is the outlier-ejection state of an endpoint. The zero value is an
// endpoint that is in use.
type ejection struct {
	failures  int
	ejected   bool
	probing   bool
	backoff   time.Duration
	nextProbe time.Time
}

const (
	// ejectionThreshold is the number of consecutive failures that ejects an
	// endpoint.
	ejectionThreshold = 5
	// ejectionDivisor limits the ejected endpoints to 1/ejectionDivisor of a
	// service. If most endpoints fail, the cause is probably elsewhere, and
	// ejecting them would overload the rest.
	ejectionDivisor = 3
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
)

// available reports whether a request may be sent. An ejected endpoint accepts one
// probe at a time once its backoff is over.
func (e *ejection) available(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !e.probing && !now.Before(e.nextProbe)
}

// recordStart records the start of a request and reports whether it is a probe.
func (e *ejection) recordStart() bool {
	if e.ejected {
		e.probing = true
	}
	return e.ejected
}

// recordResult records the end of a request. canEject is set if another endpoint
// of the service may be ejected.
func (e *ejection) recordResult(now time.Time, probe bool, res Result, canEject bool) {
	if probe {
		e.probing = false
	}
	switch {
	case res.Rejected:
	case !res.Failed && (probe || !e.ejected):
		*e = ejection{}
	case !res.Failed:
		// A request that was sent before the ejection says nothing about the
		// endpoint's current state.
	case probe:
		e.backoff = min(2*e.backoff, maxProbeBackoff)
		e.nextProbe = now.Add(e.backoff)
	case !e.ejected:
		e.failures++
		if e.failures >= ejectionThreshold && canEject {
			e.ejected = true
			e.backoff = minProbeBackoff
			e.nextProbe = now.Add(e.backoff)
		}
	}
}
