package guavaquota

import (
	"time"

	"guavascale.example"
)

// inheritedInterval is the time between two counts of what earlier owners may have started. In
// between the count is at least as high as a new one would be; a new catalog, which may set
// limits for accounts that had none and weren't counted, makes a new one necessary.
const inheritedInterval = 100 * time.Millisecond

// step is a step that an earlier owner may have run.
type step struct {
	*guavascale.Step
	// tasks counts the tasks that may be running, known those of them with a known run.
	tasks, known int64
}

// fillers returns the processors that a task declares beyond what it takes up on its worker.
func (s *step) fillers() guavascale.Resources { return s.Size.Sub(s.Placed()) }

// mostUnknown returns the most that runs of the steps can use besides the known ones. A step
// runs only after all steps in After, which precede it in the list, so what runs at a time is a
// set of steps of which none depends on another. With one predecessor each, they form trees,
// whose bound is found from the leaves on; to leave out the other predecessors allows more sets
// at most.
func mostUnknown(steps []step, size func(*step) guavascale.Resources) guavascale.Resources {
	later := make([]guavascale.Resources, len(steps))
	total := guavascale.Resources{}
	for i := len(steps) - 1; i >= 0; i-- {
		s := &steps[i]
		n := s.tasks
		if s.Copies {
			n *= 2
		}
		most := later[i].Max(size(s).Times(n))
		if len(s.After) > 0 {
			later[s.After[0]] = later[s.After[0]].Add(most)
		} else {
			total = total.Add(most)
		}
	}
	for i := range steps {
		total = total.Sub(size(&steps[i]).Times(steps[i].known))
	}
	return total.Max(guavascale.Resources{})
}

// ForgetInherited forgets what earlier owners may have started, and reports whether it has to be
// added again with AddInherited now. Known is set if workers have reported all of it.
func (b *Book) ForgetInherited(now time.Time, known bool) bool {
	recount := !known && now.Sub(b.inheritedAt) >= inheritedInterval
	if b.inherited && (known || recount) {
		b.inherited = false
		for _, a := range b.accounts {
			a.placed, a.fillers, a.inherited = guavascale.Resources{}, guavascale.Resources{}, guavascale.Resources{}
		}
	}
	if recount {
		b.inheritedAt = now
	}
	return recount
}

// AddInherited adds the runs that earlier owners may have started for an occurrence of a
// submission besides the known ones. Count returns, for the step with an index, the number of
// tasks that may be running and of those of them with a known run; nil means that all may be and
// none is known. Room is the capacity of the workers that have not answered, which hold all of
// these runs: they can't use more than that, apart from the processors of fillers.
func (b *Book) AddInherited(a *Account, specs []guavascale.Step, count func(int) (tasks, known int), room guavascale.Resources) {
	if a == nil {
		return
	}
	steps := make([]step, len(specs))
	for i := range specs {
		steps[i] = step{Step: &specs[i], tasks: int64(specs[i].Count)}
		if count != nil {
			tasks, known := count(i)
			steps[i].tasks, steps[i].known = int64(tasks), int64(known)
		}
	}
	b.inherited = true
	a.placed = a.placed.Add(mostUnknown(steps, (*step).Placed))
	a.fillers = a.fillers.Add(mostUnknown(steps, (*step).fillers))
	a.inherited = a.placed.Min(room).Add(a.fillers)
}
