package guavaquota

import (
	"fmt"
	"time"

	"guavascale.example"
	"guavascale.example/guavaobjective"
)

const (
	// uselessAfter is the multiple of its objective after which a submission is of no use.
	uselessAfter = 3
	// shortestRun is the share of the declared run time that a run takes at least. Run times of
	// ordinary tasks deviate by up to 0.5 from the declared ones.
	shortestRun = 0.5
	// maxTogether bounds how many tasks of a step are taken to run at a time.
	maxTogether = 1 << 20
)

// Check returns an error if a submission can't run within the limit: a ValidationError if a
// task or a gang is larger than the limit, a RejectedError if its steps can't be completed
// while they are of use, even if nothing else of the account runs. Queue is the policy, or nil
// if none is known.
func (a *Account) Check(s *guavascale.Submission, q *guavascale.Queue) error {
	if !a.Limited() {
		return nil
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		n := int64(1)
		if st.Gang {
			n = int64(st.Count)
		}
		if !a.mayEverStart(st.Size, n) {
			a.Note(TooLarge, 1)
			return &guavascale.ValidationError{
				Field: fmt.Sprintf("Steps[%d].Size", i), Value: fmt.Sprintf("%d of %+v", n, st.Size),
				Allowed: fmt.Sprintf("at most the limit of account %q, %+v", a.Name, a.limit),
			}
		}
	}
	if q == nil {
		return nil
	}
	objective := guavaobjective.Objective(q, guavaobjective.Chains(s.Steps))
	if a.shortest(s.Steps) > uselessAfter*objective {
		a.Note(TooLong, 1)
		return &guavascale.RejectedError{Reason: fmt.Sprintf("the limit of account %q allows no completion in time", a.Name)}
	}
	return nil
}

// mayEverStart reports whether n tasks of a size that start together fit into the limit while
// nothing else of the account runs.
func (a *Account) mayEverStart(size guavascale.Resources, n int64) bool {
	return (&Account{limit: a.limit}).fits(size, n)
}

// shortest returns a lower bound of the time that the steps take within the limit.
func (a *Account) shortest(steps []guavascale.Step) time.Duration {
	chains := make([]time.Duration, len(steps))
	longest, work := time.Duration(0), [3]float64{}
	for i := range steps {
		st := &steps[i]
		if st.Service {
			continue
		}
		estimate := time.Duration(shortestRun * float64(st.Estimate))
		together := a.unlimited().Count(st.Size, maxTogether)
		rounds := int64(1)
		if !st.Gang {
			rounds = (int64(st.Count) + together - 1) / together
		}
		before := time.Duration(0)
		for _, d := range st.After {
			before = max(before, chains[d])
		}
		chains[i] = before + time.Duration(rounds)*estimate
		longest = max(longest, chains[i])
		total := st.Size.Times(int64(st.Count))
		for f, amount := range [...]int64{total.MilliCores, total.MemoryMB, total.Accelerators} {
			work[f] += float64(amount) * estimate.Seconds()
		}
	}
	for f, limit := range [...]int64{a.limit.MilliCores, a.limit.MemoryMB, a.limit.Accelerators} {
		if limit > 0 {
			longest = max(longest, time.Duration(work[f]/float64(limit)*float64(time.Second)))
		}
	}
	return longest
}

// unlimited returns the limit, with a large number for fields that set none.
func (a *Account) unlimited() guavascale.Resources {
	r := a.limit
	for _, f := range [...]*int64{&r.MilliCores, &r.MemoryMB, &r.Accelerators} {
		if *f == 0 {
			*f = 1 << 62
		}
	}
	return r
}
