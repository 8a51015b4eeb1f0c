package guavaroute

import (
	"math"
	"time"
)

// RetryBudget limits retries to a fraction of the requests that succeeded
// recently. It is a token bucket: a response adds Ratio tokens, a retry takes one,
// and unused tokens decay with the time constant tokenDecayTime. If all endpoints
// are down, no responses arrive and retries stop. The zero value uses the default
// ratio.
type RetryBudget struct {
	// Ratio is the number of retries per answered request; 0 selects
	// DefaultRetryRatio.
	Ratio float64

	tokens  float64
	updated time.Time
	retries uint64
	refused uint64
}

const (
	// tokenDecayTime is the time constant with which unused tokens decay. The
	// burst of retries at the start of an outage is at most what was earned in
	// this time. With 10 s, a half-second outage of all endpoints caused 1.25
	// times as many sent requests as accepted ones.
	tokenDecayTime = 500 * time.Millisecond
	// reserveTokens is the number of tokens that is refilled independently of
	// traffic, at reserveRefillRate per second, so that a daemon with few
	// requests can retry at all.
	reserveTokens     = 3
	reserveRefillRate = 0.3
)

// Deposit adds the tokens that one answered request earns.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	b.tokens += ratio
}

// TryWithdraw takes one retry from the budget and reports whether the budget
// allowed it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// refill applies the decay of surplus tokens and the refill of the reserve since
// the last call.
func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	switch {
	case b.updated.IsZero():
		b.tokens = reserveTokens
	case b.tokens > reserveTokens:
		keep := math.Exp(-elapsed.Seconds() / tokenDecayTime.Seconds())
		b.tokens = reserveTokens + (b.tokens-reserveTokens)*keep
	default:
		b.tokens = min(reserveTokens, b.tokens+reserveRefillRate*elapsed.Seconds())
	}
	b.updated = now
}
