package guavaroute

import "time"

// Budget limits retries to a part of the requests that were answered. It is a
// token bucket: an answer adds Ratio tokens, a retry takes one. In an outage of
// all endpoints no answer comes, so that retries end. Its zero value allows the
// default ratio.
type Budget struct {
	// Ratio is the number of retries per answered request; 0 stands for
	// DefaultRetryRatio.
	Ratio float64

	tokens  float64
	updated time.Time
	retries uint64
	refused uint64
}

const (
	// maxTokens bounds the retries in a burst after a quiet time. A window of
	// the last 10 s in its place sent 1.25 times the accepted requests in a
	// short outage.
	maxTokens = 10
	// idleTokens are restored whatever the traffic, at idleRate per second,
	// so that a daemon with few requests can retry at all.
	idleTokens = 3
	idleRate   = 0.3
)

// Answered counts a request that an endpoint answered.
func (b *Budget) Answered() {
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	b.tokens = min(b.tokens+ratio, max(b.tokens, maxTokens))
}

// Retry takes one retry from the budget and reports whether it was there.
func (b *Budget) Retry(now time.Time) bool {
	b.restore(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

func (b *Budget) restore(now time.Time) {
	if b.updated.IsZero() {
		b.tokens = max(b.tokens, idleTokens)
	} else if b.tokens < idleTokens {
		b.tokens = min(idleTokens, b.tokens+idleRate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}
