// Package guavaorder defines the calls to workers that a scheduler decides on and others
// carry out, and their outcomes.
//
// The package that decides has no network: it returns orders and gets each outcome once. An
// outcome tells what is known of the effect, which is the point of it: a call without an
// answer may have been carried out, or may still be.
package guavaorder

import (
	"errors"
	"fmt"
	"time"

	"guavascale.example"
)

type (
	// Kind is the type of an order.
	Kind int

	// Order is a call to a worker. The orders of one worker are sent concurrently, and
	// each outcome is reported once.
	Order struct {
		Kind   Kind
		Worker guavascale.Worker
		// Run is set except for Hold. Start, Hold and Percent are set for a Start, a Hold
		// and a Pace.
		Run     guavascale.Run
		Start   guavascale.RunStart
		Hold    guavascale.Hold
		Percent int
		// Timeout bounds the call.
		Timeout time.Duration
		// Sent is when the order was decided on.
		Sent time.Time
	}

	// Permissions state what the owner may do in a scheduling pass.
	Permissions struct {
		// Act is set if the owner may give orders.
		Act bool
		// Start is set if the owner may also start runs, which requires a
		// recent list of workers.
		Start bool
		// OldCapacity is set if the list of workers is so old that the capacity of a
		// worker may have shrunk since. Runs are only started on workers that guard it
		// then.
		OldCapacity bool
		// LeasesUntil is the time by which all leases that the owner grants now
		// must have ended; the zero value means no limit.
		LeasesUntil time.Time
		// Sole is set if it is certain that no other daemon owns the shard.
		// Otherwise another owner may have extended leases, so no lease counts
		// as expired.
		Sole bool
	}

	// Outcome is the result of an order.
	Outcome struct {
		// Err is nil, a RunError or an UnavailableError.
		Err error
		// NotSent is set if the owner dropped the order before sending it, or has to repeat it
		// for a reason that says nothing about the worker.
		NotSent bool
		// MayHaveApplied is set if the worker may have got an order that counts as not sent.
		MayHaveApplied bool
		Clock          guavascale.WorkerClock
		// Report is set for Hold.
		Report guavascale.RunReport
	}
)

const (
	// Timeout bounds the calls for starts, stops and paces. A healthy worker answers within
	// a few milliseconds.
	Timeout = 1000 * time.Millisecond
	// ResendAfter is the time after which an unanswered order is sent again.
	ResendAfter = 300 * time.Millisecond
	// HoldMargin is added to the wait for the timeout of the call.
	HoldMargin = 1000 * time.Millisecond
	// BrokenHold is the time without a response after which a hold has certainly reached a
	// running worker.
	BrokenHold = 50 * time.Millisecond
	// BrokenStart is the time within which a start fails whose connection broke. One without
	// an answer fails after Timeout.
	BrokenStart = Timeout - 200*time.Millisecond
)

const (
	Hold Kind = iota
	Start
	Stop
	Pace
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"Hold", "Start", "Stop", "Pace"}[k]
}

// CertainlyNotSent reports whether no byte of the order has reached the worker.
func (out *Outcome) CertainlyNotSent() bool {
	var unavailable *guavascale.UnavailableError
	return out.NotSent && !out.MayHaveApplied || errors.As(out.Err, &unavailable) && !unavailable.MayHaveApplied
}

// Answered reports whether the worker has answered or refused the order.
func (out *Outcome) Answered() bool { return out.Err == nil || out.Refusal() != "" }

// Failure describes why the order got no answer.
func (o *Order) Failure(err error) string {
	if o.Hold.Seen == 0 {
		return ErrorText(err)
	}
	return fmt.Sprintf("an acknowledgement up to %d got no answer: %v", o.Hold.Seen, err)
}

// ErrorText returns the text of an error, or "".
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Refusal returns the reason for which the worker has refused the order, or "".
func (out *Outcome) Refusal() guavascale.RunRefusal {
	var refused *guavascale.RunError
	if errors.As(out.Err, &refused) {
		return refused.Reason
	}
	return ""
}
