package guavaroute

import "time"

// ejection is the state of an endpoint that failed. Its zero value is an
// endpoint in use.
type ejection struct {
	failures int
	ejected  bool
	probing  bool
	backoff  time.Duration
	until    time.Time
}

const (
	// ejectAfter is the number of consecutive failures before an ejection.
	ejectAfter = 5
	// maxEjectedPart is the divisor of a service's endpoints that bounds how
	// many may be ejected. With most endpoints failing, the cause is likely
	// elsewhere, and the rest would be overloaded.
	maxEjectedPart  = 3
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
)

// open reports whether a request may be sent; an ejected endpoint takes one
// probe at a time once its backoff is over.
func (e *ejection) open(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !e.probing && !now.Before(e.until)
}

// begin notes a request and reports whether it is a probe.
func (e *ejection) begin() bool {
	if e.ejected {
		e.probing = true
	}
	return e.ejected
}

// end notes the end of a request. mayEject tells whether the service can
// spare another endpoint.
func (e *ejection) end(now time.Time, probe bool, res Result, mayEject bool) {
	if probe {
		e.probing = false
	}
	switch {
	case res.Rejected:
	case !res.Failed && (probe || !e.ejected):
		*e = ejection{}
	case !res.Failed:
		// The success of a request from before the ejection proves nothing.
	case probe:
		e.backoff = min(2*e.backoff, maxProbeBackoff)
		e.until = now.Add(e.backoff)
	case !e.ejected:
		e.failures++
		if e.failures >= ejectAfter && mayEject {
			e.ejected = true
			e.backoff = minProbeBackoff
			e.until = now.Add(e.backoff)
		}
	}
}
