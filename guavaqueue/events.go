package guavaqueue

import (
	"time"

	"guavascale.example"
)

type (
	// EventKind is the type of an event: a decision or a change of the known
	// state.
	EventKind string

	// Event describes a decision and the inputs that led to it, for logs.
	Event struct {
		Kind       EventKind
		Submission string
		// Run is the zero value for events about a submission or a worker. Its Attempt is 0
		// if only an earlier owner knows it.
		Run    guavascale.Run
		Worker guavascale.WorkerID
		// Trial is set for the start of a task under which workers may have crashed. Value
		// is their number.
		Trial bool
		// Outcome is the result of the decision, Reason the reason for it.
		Outcome string
		Reason  string
		// Age is the age of the input: the time since the submission was accepted,
		// since the run started, since the worker's last response, or since the
		// worker's measurements were last used; -1 if unknown.
		Age time.Duration
		// Value is the measurement behind the decision, such as a latency as a
		// fraction of its target, a percentage of progress, or a count of failures
		// or runs. For EventFillerPreempted, EventStraggler and EventCrash, Reason names
		// it. For EventPairExcluded it is the latency, and Reason names the service
		// kind, the filler kind and all filler kinds on the worker.
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
	// EventCrash is a worker that has probably crashed under a run.
	EventCrash EventKind = "WorkerCrashed"
	// EventPairExcluded is a filler kind that may no longer run beside a service kind.
	EventPairExcluded EventKind = "PairExcluded"
	// EventSetAside is a submission, or rows that are not of a submission, that the store
	// refuses for good or that can't be encoded. Reason names the rows, Value their size.
	EventSetAside EventKind = "SetAside"
	// EventRowCut is a row of progress that lacks the details in Reason.
	EventRowCut EventKind = "RowCut"
)

// maxEvents bounds the number of buffered events. Further events are only
// counted.
const maxEvents = 4096

// Events returns the events since the last call and the number of events that
// were dropped.
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
	if w.clock.Known() {
		age = now.Sub(w.clock.LowAt)
	}
	e.emit(Event{Kind: EventWorker, Worker: w.ID, Outcome: outcome, Reason: reason, Age: age, Value: float64(len(w.runs))})
}
