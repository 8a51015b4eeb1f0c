package guavaqueue

import (
	"time"

	"guavascale.example/guavadisturb"
	"guavascale.example/guavalimit"
	"guavascale.example/guavastate"
)

// backlogWait is how long a step waits without a start before it counts as part of a backlog.
const backlogWait = 2 * time.Second

// Backlogs returns the waiting tasks of steps that have had no start for some time although
// the workers have room for all waiting tasks of the step twice over.
func (e *Engine) Backlogs(now time.Time) []guavastate.Backlog {
	var list guavastate.BacklogList[placementClass]
	for _, st := range e.readySteps {
		if st.waiting == 0 || st.waitingSince.IsZero() || now.Sub(st.waitingSince) < backlogWait {
			continue
		}
		list.Add(placementClassOf(st), st.waiting, now.Sub(st.waitingSince), func() guavastate.Backlog { return e.inspectClass(now, st) })
	}
	return list.Backlogs()
}

// inspectClass counts the workers that a task of a step can and can't run on.
func (e *Engine) inspectClass(now time.Time, st *step) guavastate.Backlog {
	b := guavastate.Backlog{Queue: st.sub.Queue, Kind: st.spec.Kind, Class: st.spec.Class()}
	q := e.queue(st.sub)
	if q == nil {
		return b
	}
	for _, w := range e.workerList {
		if w.Service != q.Service {
			continue
		}
		for _, r := range w.runs {
			if spec := r.task.step.spec; spec.Kind == b.Kind && spec.Class() == b.Class {
				b.Running++
			}
		}
		if !e.usable(now, w) {
			continue
		}
		b.Room += w.Capacity.Sub(w.used).Count(st.spec.Size, guavalimit.MaxTasks)
		_, open := e.rate(now, st, w)
		switch {
		case open:
			b.Open++
		case !w.Capacity.Fits(w.used.Add(st.tasks[0].size())):
			b.Full++
		case st.spec.Filler && e.excluded(now, st.spec.Kind, w):
			b.Excluded++
		case st.spec.Filler && w.serviceMilliCores > 0 && w.worstLatencyRatio > guavadisturb.MaxStartRatio:
			b.Disturbed++
		default:
			b.Crowded++
		}
	}
	return b
}
