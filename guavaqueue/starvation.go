package guavaqueue

import (
	"time"

	"guavascale.example/guavaobjective"
)

// Assumed workload: more fillers wait than the workers without services can run for tens
// of seconds. In the order of urgency, the submissions that are too late for their
// objectives would have nothing running until all others are done.

const (
	// starvationTime is how long a filler step waits, with nothing of its submission
	// running, before one of its tasks may start on a worker whose processors are taken.
	// sharedStarvationTime applies while other fillers wait that can still meet their
	// objectives, which it would slow down.
	starvationTime       = 2 * time.Second
	sharedStarvationTime = 20 * time.Second
	// overcommit and sharedOvercommit are the shares of a worker's processors that
	// starved fillers may take beyond its capacity.
	overcommit       = 1.0
	sharedOvercommit = 0.25
)

// updateStarvation marks the starved steps for this scheduling pass. It must be called
// once the steps are ranked.
func (e *Engine) updateStarvation(now time.Time) {
	after := starvationTime
	e.overcommit = overcommit
	for _, st := range e.readySteps {
		if st.spec.Filler && st.urgency == guavaobjective.InTime {
			after = sharedStarvationTime
			e.overcommit = sharedOvercommit
			break
		}
	}
	for _, st := range e.readySteps {
		st.starved = st.spec.Filler && st.sub.runs == 0 && !st.waitingSince.IsZero() && now.Sub(st.waitingSince) >= after
	}
}

// processorsLeft reports whether a filler may use a worker of whose processors the given
// share is left once it runs. Starved fillers must not slow down services.
func (e *Engine) processorsLeft(st *step, w *worker, left float64) bool {
	return left >= 0 || st.starved && w.serviceMilliCores == 0 && left >= -e.overcommit
}
