package guavaroute

import "time"

type (
	// Budget limits retries to a part of the requests of the last seconds.
	// Its zero value allows the default ratio.
	Budget struct {
		// Ratio is the number of retries per request; 0 stands for
		// DefaultRetryRatio.
		Ratio float64

		buckets [budgetSeconds]bucket
	}

	bucket struct {
		second   int64
		requests int
		retries  int
	}
)

const (
	budgetSeconds = 10
	// minRetries are allowed per window whatever the traffic, so that a
	// daemon with few requests can retry at all.
	minRetries = 3
)

// Request counts a request of a caller that obtained a slot. Refused requests
// must not pay for retries.
func (b *Budget) Request(now time.Time) { b.bucket(now).requests++ }

// Retry takes one retry from the budget and reports whether it was there.
func (b *Budget) Retry(now time.Time) bool {
	requests, retries := b.Recent(now)
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	if float64(retries+1) > max(minRetries, ratio*float64(requests)) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// Recent returns the requests and retries of the last 10 seconds.
func (b *Budget) Recent(now time.Time) (requests, retries int) {
	second := now.Unix()
	for _, k := range b.buckets {
		if second-k.second < budgetSeconds {
			requests += k.requests
			retries += k.retries
		}
	}
	return requests, retries
}

func (b *Budget) bucket(now time.Time) *bucket {
	second := now.Unix()
	k := &b.buckets[second%budgetSeconds]
	if k.second != second {
		*k = bucket{second: second}
	}
	return k
}
