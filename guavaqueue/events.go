package guavaqueue

import (
	"time"

	"guavascale.example/guavaevent"
)

// Events returns the events since the last call and the number of events that
// were dropped.
func (e *Engine) Events() (events []guavaevent.Event, dropped int) { return e.events.Take() }

func (e *Engine) emit(ev guavaevent.Event) { e.events.Emit(ev) }

func (e *Engine) emitRun(now time.Time, kind guavaevent.Kind, r *run, outcome, reason string) {
	e.emit(guavaevent.Event{
		Kind: kind, Submission: r.id.Task.Submission, Run: r.id, Worker: r.worker.ID, Born: r.worker.Born,
		Outcome: outcome, Reason: reason, Age: now.Sub(r.startedAt),
	})
}

func (e *Engine) emitWorker(now time.Time, w *worker, outcome, reason string) {
	e.emit(guavaevent.Event{Kind: guavaevent.Worker, Worker: w.ID, Born: w.Born, Outcome: outcome, Reason: reason, Age: w.clock.Age(now), Value: float64(len(w.runs))})
}
