package guavaadmission

import (
	"math"
	"time"
)

// returns spreads the return of the callers that were rejected: each gets the next part of
// the time in which the backlog drains, and one that was rejected before returns earlier than
// one that comes for the first time.
type returns struct {
	// rejected holds when the submissions were first rejected, by their IDs.
	rejected map[string]time.Time
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After. Callers make a few tries only.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxRejected bounds the submissions whose rejection is remembered, and rejectedTime for
	// how long.
	maxRejected  = 4096
	rejectedTime = 2 * maxRetryAfter
)

// after returns when a caller should return. Surplus is the time until the backlog is short
// enough, and drain the time that the work of the submission takes of it.
func (r *returns) after(now time.Time, f *flow, id string, surplus, drain time.Duration) time.Duration {
	first, known := r.rejected[id]
	if known {
		return clampRetryAfter(surplus - now.Sub(first))
	}
	if len(r.rejected) < maxRejected {
		if r.rejected == nil {
			r.rejected = make(map[string]time.Time)
		}
		r.rejected[id] = now
	}
	earliest := now.Add(surplus)
	if f.next.Before(earliest) {
		f.next = earliest
	}
	after := f.next.Sub(now)
	if latest := earliest.Add(maxRetryAfter); f.next.Before(latest) {
		f.next = f.next.Add(drain)
	}
	return clampRetryAfter(after)
}

// expire forgets rejections whose callers don't return any more.
func (r *returns) expire(now time.Time) {
	for id, first := range r.rejected {
		if now.Sub(first) > rejectedTime {
			delete(r.rejected, id)
		}
	}
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// wholeSeconds rounds a time to one of the two next whole seconds at random, so that its mean
// is kept: the header that tells it has no fractions.
func wholeSeconds(d time.Duration, random float64) time.Duration {
	return time.Duration(math.Floor(d.Seconds()+random)) * time.Second
}
