package guavaqueue

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavabackfill"
	"guavascale.example/guavaestimate"
	"guavascale.example/guavaevent"
)

// beginLookAhead ends the reservations of a pool that are late or not needed any more.
func (e *Engine) beginLookAhead(now time.Time, p *pool) {
	p.ahead.Begin(now, func(w *worker) bool { return e.open(now, w) }, (*step).unplaced, func(w *worker, r guavabackfill.Reservation[*step], reason string) {
		e.emit(guavaevent.Event{
			Kind: guavaevent.ReservationCancelled, Submission: r.Step.sub.ID, Worker: w.ID, Reason: reason, Value: float64(r.Size.MilliCores), Age: now.Sub(r.Made),
		})
	})
}

// lookAhead records the sizes of new steps, and reserves workers for large steps that found no
// room in the last pass.
func (e *Engine) lookAhead(now time.Time) {
	for _, st := range e.readySteps {
		q, noRoom := e.queue(st.sub), st.noRoom && !st.spec.Gang
		if st.noRoom = false; q == nil || !st.ordinary() {
			continue
		}
		p := e.pool(q.Service)
		if !p.hasSize(e.Limits.LookAheadFrom) {
			continue
		}
		if st.waitingSince.IsZero() {
			p.ahead.Shapes.Record(now, st.spec.Size, st.waiting)
		}
		d := guavabackfill.Demand[*step]{Step: st, Size: st.spec.Size, Tasks: st.unplaced(), Waited: now.Sub(st.waitingSince)}
		st.access = p.ahead.LookAhead(now, d, noRoom, p.candidates, func(w *worker) (guavabackfill.Candidate[*worker], bool) {
			return e.reservable(now, st, w)
		})
	}
}

// unplaced returns the number of tasks that wait for a start.
func (st *step) unplaced() int {
	if st.sub.state.Ended() {
		return 0
	}
	return st.waiting
}

// ordinary reports whether the tasks end and their declared processors count.
func (st *step) ordinary() bool { return !st.spec.Service && !st.spec.Filler }

// reservable returns a worker with its runs that end, if a task of the step fits beside its
// services.
func (e *Engine) reservable(now time.Time, st *step, w *worker) (guavabackfill.Candidate[*worker], bool) {
	c := guavabackfill.Candidate[*worker]{Worker: w, Free: w.Capacity.Sub(w.used)}
	if !st.allows(w) || !w.Capacity.Fits(st.spec.Size.Add(guavascale.Resources{MilliCores: w.serviceMilliCores})) {
		return c, false
	}
	for _, r := range w.runs {
		if r.task.step.ordinary() {
			c.Runs = append(c.Runs, guavabackfill.Run{Size: r.task.size(), Left: e.estimates.Left(r.progress(now).Run, guavaestimate.Even)})
		}
	}
	return c, true
}

// estimate returns the input of package guavaestimate for a task of the step that starts now.
func (st *step) estimate() guavaestimate.Run {
	return guavaestimate.Run{Key: guavaestimate.Key{Queue: st.sub.Queue, Kind: st.spec.Kind, Step: st.index}, Estimate: st.spec.Estimate}
}

// planned returns the input of package guavabackfill for a task of the step that starts now.
func (e *Engine) planned(st *step) guavabackfill.Start[*step] {
	return guavabackfill.Start[*step]{Step: st, Size: st.spec.Size, Left: e.estimates.Left(st.estimate(), guavaestimate.Safe), Access: st.access}
}
