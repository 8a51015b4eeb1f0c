// Package guavaobjective computes how urgent the steps of a submission are.
//
// The objective of a submission is the time in which it should be completed. It
// follows from the policy of its queue and from its longest dependency chain of steps.
// A step is late when the rest of its chain no longer fits into what is left of the
// objective. Policies change while submissions wait, so objectives are computed anew
// each time; only chains, which never change, may be kept.
package guavaobjective

import (
	"slices"
	"time"

	"guavascale.example"
)

// Urgency orders steps: those that can still meet the objective come first, then those
// that are late, then those that are too late to be useful.
type Urgency int

const (
	InTime Urgency = iota
	Late
	TooLate
)

// maxLateObjectives is how late a submission may be, in multiples of its objective,
// before its result is considered useless.
const maxLateObjectives = 2

func (u Urgency) String() string { return [...]string{"InTime", "Late", "TooLate"}[u] }

// Chains returns, for each step, the estimated duration of the longest dependency chain
// that begins with it.
func Chains(steps []guavascale.Step) []time.Duration {
	chains := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chains[i] += steps[i].Estimate
		for _, d := range steps[i].After {
			chains[d] = max(chains[d], chains[i])
		}
	}
	return chains
}

// Objective returns the time in which a submission with these chains, at least one,
// should be completed.
func Objective(q *guavascale.Queue, chains []time.Duration) time.Duration {
	return time.Duration(q.Slack*float64(slices.Max(chains))) + q.Target
}

// Rate returns the urgency of a step with the given chain if left remains of the
// objective; left is negative afterwards.
func Rate(left, chain, objective time.Duration) Urgency {
	switch spare := left - chain; {
	case spare >= 0:
		return InTime
	case spare >= -maxLateObjectives*objective:
		return Late
	default:
		return TooLate
	}
}
