package guavaqueue

import (
	"time"

	"guavascale.example"
)

type (
	// EventKind names a decision or a change of what the engine believes.
	EventKind string

	// Event is one decision with the inputs that led to it, for logs.
	Event struct {
		Kind       EventKind
		Submission string
		// Run is zero for events about a whole submission or worker.
		Run    guavascale.Run
		Worker guavascale.WorkerID
		// Outcome and Reason tell what came of it and why.
		Outcome string
		Reason  string
		// Age is that of the input: the time since the submission was accepted,
		// since the run began, or since the worker was last heard.
		Age time.Duration
		// Value is the figure that decided, named by Reason: a latency in parts
		// of its target, or a number of failures.
		Value float64
	}
)

const (
	EventAccepted        EventKind = "Accepted"
	EventEnded           EventKind = "SubmissionEnded"
	EventWithdrawn       EventKind = "Withdrawn"
	EventStart           EventKind = "Start"
	EventRefused         EventKind = "StartRefused"
	EventRunEnded        EventKind = "RunEnded"
	EventStop            EventKind = "Stop"
	EventAdopted         EventKind = "RunAdopted"
	EventLost            EventKind = "RunLost"
	EventFillerPreempted EventKind = "FillerSetAside"
	EventStraggler       EventKind = "Straggler"
	EventWorker          EventKind = "Worker"
)

// maxEvents bounds the events that wait to be taken; later ones are counted.
const maxEvents = 4096

// Events returns the events since the last call, and how many were left out.
func (e *Engine) Events() (events []Event, dropped int) {
	events, dropped = e.events, e.droppedEvents
	e.events, e.droppedEvents = e.events[:0:0], 0
	return events, dropped
}

func (e *Engine) emit(ev Event) {
	if len(e.events) >= maxEvents {
		e.droppedEvents++
		return
	}
	e.events = append(e.events, ev)
}

func (e *Engine) emitRun(now time.Time, kind EventKind, r *run, outcome, reason string) {
	e.emit(Event{
		Kind: kind, Submission: r.id.Task.Submission, Run: r.id, Worker: r.worker.ID,
		Outcome: outcome, Reason: reason, Age: now.Sub(r.startedAt),
	})
}

func (e *Engine) emitWorker(now time.Time, w *worker, outcome, reason string) {
	age := time.Duration(-1)
	if !w.clockAt.IsZero() {
		age = now.Sub(w.clockAt)
	}
	e.emit(Event{Kind: EventWorker, Worker: w.ID, Outcome: outcome, Reason: reason, Age: age, Value: float64(len(w.runs))})
}
