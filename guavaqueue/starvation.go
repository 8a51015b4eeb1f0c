package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example/guavadisturb"
	"guavascale.example/guavaobjective"
	"guavascale.example/guavastarvation"
)

// updateStarvation marks the starved steps for this scheduling pass. It must be called
// once the steps are ranked.
func (e *Engine) updateStarvation(now time.Time) {
	e.starvation = guavastarvation.For(slices.ContainsFunc(e.readySteps, func(st *step) bool {
		return st.spec.Filler && st.place.Urgency == guavaobjective.InTime
	}))
	for _, st := range e.readySteps {
		if st.starved = guavastarvation.None; st.spec.Filler && !st.waitingSince.IsZero() {
			st.starved = e.starvation.Level(st.sub.runs, now.Sub(st.waitingSince))
		}
	}
}

// besideFiller returns the worker as it would be with one more filler of the step.
func (w *worker) besideFiller(st *step) guavastarvation.Worker {
	used := float64(w.used.MilliCores) - (1-guavadisturb.ServiceUsageShare)*float64(w.serviceMilliCores)
	return guavastarvation.WorkerWith(w.Capacity.MilliCores, used, w.fillerMilliCores, min(st.spec.Size.MilliCores, w.pool.largest), w.serviceMilliCores > 0)
}
