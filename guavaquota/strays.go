package guavaquota

import "guavascale.example"

// Strays holds runs that a worker has reported and whose submissions have ended, so that there
// are no tasks to count them by. The zero value has none.
type Strays []stray

type stray struct {
	account *Account
	step    *guavascale.Step
}

// Add adds a run of one of the steps of a submission, and returns the resources that it takes
// on its worker. The account may be nil.
func (s *Strays) Add(a *Account, steps []guavascale.Step, step int) guavascale.Resources {
	if step < 0 || step >= len(steps) {
		return guavascale.Resources{}
	}
	*s = append(*s, stray{a, &steps[step]})
	a.Add(&steps[step], 1, false)
	return steps[step].Placed()
}

// Drop removes all runs, and returns the resources that they took.
func (s *Strays) Drop() guavascale.Resources {
	var sum guavascale.Resources
	for _, run := range *s {
		run.account.Add(run.step, -1, false)
		sum = sum.Add(run.step.Placed())
	}
	*s = (*s)[:0]
	return sum
}
