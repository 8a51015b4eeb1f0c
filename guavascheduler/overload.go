package guavascheduler

import (
	"errors"
	"math/rand/v2"
	"time"

	"guavascale.example"
)

const (
	// maxHeadReads bounds the reads of the head a second by all daemons that look for an
	// owner. The store accepts 2,000 reads a second, which the new owner needs.
	maxHeadReads = 300
	// maxDaemons bounds the number of daemons that is counted with.
	maxDaemons = 1024
	// overloadedClaimDelay is the least delay after the store has refused a claim since
	// there are too many calls; overloadedHeirDelay is that of the heir. A part refuses
	// calls while a second of them is waiting.
	overloadedClaimDelay = 500 * time.Millisecond
	overloadedHeirDelay  = 50 * time.Millisecond
	// maxRetryAfterOverload bounds the delay that the store asks for. Twice as long, with
	// the commit itself, stays below guavaowner.SilentFor.
	maxRetryAfterOverload = 400 * time.Millisecond
)

// isOverloaded reports whether a call was refused since there are too many.
func isOverloaded(err error) bool {
	var unavailable *guavascale.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Overloaded
}

// retryDelayAfter returns the delay before a failed call is repeated. It is base, or between
// one and two times the longer of base and the delay that an overloaded store asks for.
func retryDelayAfter(err error, base time.Duration) time.Duration {
	var unavailable *guavascale.UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.Overloaded {
		return base
	}
	least := max(base, min(unavailable.RetryAfter, maxRetryAfterOverload))
	return least + rand.N(least)
}

// readInterval returns the interval between two reads of the head by one of a number of
// daemons, or of one that doesn't know how many there are.
func readInterval(daemons int) time.Duration {
	interval := max(headReadInterval, time.Duration(min(daemons, maxDaemons))*time.Second/maxHeadReads)
	return interval*3/4 + rand.N(interval/2)
}
