package guavaroute

import (
	"math"
	"time"
)

// Budget limits retries to a part of the requests that were answered recently.
// It is a token bucket: an answer adds Ratio tokens, a retry takes one, and
// tokens that are not used are lost within about burstTime. In an outage of all
// endpoints no answer comes, so that retries end. Its zero value allows the
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
	// burstTime is the time constant of the loss of tokens. The burst at the
	// start of an outage is at most the retries earned in this time: with
	// 10 s, 1.25 times the accepted requests were sent in an outage of all
	// endpoints of half a second.
	burstTime = 500 * time.Millisecond
	// idleTokens are restored whatever the traffic, at idleRate per second,
	// so that a daemon with few requests can retry at all.
	idleTokens = 3
	idleRate   = 0.3
)

// Answered counts a request that an endpoint answered.
func (b *Budget) Answered(now time.Time) {
	b.update(now)
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	b.tokens += ratio
}

// Retry takes one retry from the budget and reports whether it was there.
func (b *Budget) Retry(now time.Time) bool {
	b.update(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

func (b *Budget) update(now time.Time) {
	passed := now.Sub(b.updated)
	switch {
	case b.updated.IsZero():
		b.tokens = idleTokens
	case b.tokens > idleTokens:
		keep := math.Exp(-passed.Seconds() / burstTime.Seconds())
		b.tokens = idleTokens + (b.tokens-idleTokens)*keep
	default:
		b.tokens = min(idleTokens, b.tokens+idleRate*passed.Seconds())
	}
	b.updated = now
}
