// Package guavaevent describes what a scheduler has decided and the inputs that led to it,
// for logs and metrics.
//
// The package that decides collects events in a Buffer, which its owner empties. A Buffer
// that nobody empties keeps its first events and counts the others.
package guavaevent

import (
	"time"

	"guavascale.example"
)

type (
	// Kind is the type of an event: a decision or a change of the known
	// state.
	Kind string

	// Event describes a decision and the inputs that led to it, for logs.
	Event struct {
		Kind       Kind
		Submission string
		// Account is the client account of an event AccountLimited.
		Account string
		// Run is the zero value for events about a submission or a worker. Its Attempt is 0
		// if only an earlier owner knows it.
		Run    guavascale.Run
		Worker guavascale.WorkerID
		// Born is the boot of Worker that the owner goes by, by the time of its start (Unix
		// ms); 0 if unknown. A later boot under the same ID may have caused the event.
		Born int64
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
		// or runs. For FillerPreempted, Straggler and Crash, Reason names
		// it. For PairExcluded it is the latency, and Reason names the service
		// kind, the filler kind and all filler kinds on the worker.
		Value float64
	}

	// Buffer holds events until they are taken. The zero value is empty.
	Buffer struct {
		events  []Event
		dropped int
	}
)

const (
	Accepted        Kind = "Accepted"
	Ended           Kind = "SubmissionEnded"
	Withdrawn       Kind = "Withdrawn"
	Start           Kind = "Start"
	Refused         Kind = "StartRefused"
	RunEnded        Kind = "RunEnded"
	Stop            Kind = "Stop"
	Adopted         Kind = "RunAdopted"
	Lost            Kind = "RunLost"
	FillerPreempted Kind = "FillerSetAside"
	// Straggler is a run that is replaced. Outcome is the reason, empty in pools where the
	// caller's estimates decide.
	Straggler Kind = "Straggler"
	// CopyLost is a copy of a straggler that the straggler has outrun.
	CopyLost Kind = "CopyLost"
	Worker   Kind = "Worker"
	// EndsForgotten tells that a worker has forgotten ends that its owner has not read. Value
	// is their number.
	EndsForgotten Kind = "EndsForgotten"
	// Crash is a worker that has probably crashed under a run.
	Crash Kind = "WorkerCrashed"
	// PairExcluded is a filler kind that may no longer run beside a service kind.
	PairExcluded Kind = "PairExcluded"
	// ReservationCancelled is a reservation for a task of a step that was not fulfilled. Value
	// is the size of the task in thousandths of a core.
	ReservationCancelled Kind = "ReservationCancelled"
	// SetAside is a submission, or rows that are not of a submission, that the store
	// refuses for good or that can't be encoded. Reason names the rows, Value their size.
	SetAside Kind = "SetAside"
	// AccountLimited tells that work of an account waits or is rejected; Outcome is the cause,
	// Value the number of tasks or submissions.
	AccountLimited Kind = "AccountLimited"
	// RowCut is a row of progress that lacks the details in Reason.
	RowCut Kind = "RowCut"
)

// maxEvents bounds the number of buffered events.
const maxEvents = 4096

// Emit adds an event, or counts it if the buffer is full.
func (b *Buffer) Emit(ev Event) {
	if len(b.events) >= maxEvents {
		b.dropped++
		return
	}
	b.events = append(b.events, ev)
}

// Take returns the events since the last call and the number of those that were dropped.
func (b *Buffer) Take() (events []Event, dropped int) {
	events, dropped = b.events, b.dropped
	b.events, b.dropped = b.events[:0:0], 0
	return events, dropped
}
