package guavaqueue

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavaadmission"
	"guavascale.example/guavaobjective"
)

// Waiting yields the work that waits and can still be in time. Late work waits behind it, and
// services are not counted.
func (e *Engine) Waiting(yield func(guavaadmission.Work) bool) {
	for _, st := range e.readySteps {
		q := e.queue(st.sub)
		counts := q != nil && st.waiting > 0 && !st.spec.Service && st.place.Urgency == guavaobjective.InTime
		if counts && !yield(guavaadmission.WorkOf(q, &st.sub.Submission, st.spec, st.waiting)) {
			return
		}
	}
}

// WorkOf returns the work of a known task, or false. That of a service never ends.
func (e *Engine) WorkOf(ref guavascale.TaskRef) (guavaadmission.Work, bool) {
	t := e.task(ref)
	if t == nil || t.step.spec.Service || e.queue(t.step.sub) == nil {
		return guavaadmission.Work{}, false
	}
	return guavaadmission.WorkOf(e.queue(t.step.sub), &t.step.sub.Submission, t.step.spec, 1), true
}

// Pools returns the capacity and use of the workers of each service on which runs may start.
func (e *Engine) Pools(now time.Time) map[string]guavaadmission.Pool {
	pools := make(map[string]guavaadmission.Pool)
	for _, w := range e.workerList {
		if e.open(now, w) {
			pools[w.Service] = pools[w.Service].With(w.Capacity, w.used, w.fillerMilliCores)
		}
	}
	return pools
}
