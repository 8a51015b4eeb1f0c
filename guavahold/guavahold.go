// Package guavahold decides when a worker is asked for its report, and how long it may delay
// it.
//
// A worker reports as soon as a run ends, or else after the time that it may wait. The time is
// a trade: each report costs the owner some processor time, but it learns from reports alone
// that a run has stalled, that a service misses its target, or that a start has done no harm.
//
// A hold may also acknowledge the ends that the worker has listed, which it forgets then. Ends
// decides when one does, since another boot of the worker than the one that is meant may carry it
// out.
package guavahold

import (
	"time"

	"guavascale.example/guavacrash"
)

type (
	// Worker is what an owner knows of a worker that it may ask.
	Worker struct {
		// Listed is set while the platform lists the worker, Known if it has answered this
		// owner, MoreEnds if it may have ends that it has not listed.
		Listed, Known, MoreEnds bool
		// Unacked is set while the worker keeps ends, which it would repeat at once. AcksAll is
		// set if the hold tells it to forget all of them.
		Unacked, AcksAll bool
		// Disturbed is set if a service on it misses its target beside fillers.
		Disturbed bool
		// Trial is set for some time after a task on trial was placed there, AwaitsTrial
		// until its start is ordered, and Heard if the worker was heard from just now.
		Trial, AwaitsTrial, Heard bool
		// NotSent is set if the last hold was dropped before it was sent.
		NotSent bool
		// Runs counts its runs, Failed the holds that have failed since it last answered.
		Runs, Failed int
		// SinceHold is how long ago it was asked, SinceReport how long ago it answered.
		SinceHold, SinceReport time.Duration
		// NextEnd is when the first of its runs should end, Wait if none will soon.
		NextEnd time.Duration
	}
)

const (
	// Wait is how long a worker with runs may delay its report, waitIdle applies to one
	// without runs, WaitDisturbed to one with a service that misses its target beside
	// fillers. waitOverdue applies while a run is overdue, waitTrial after the start of a
	// task on trial, WaitOpen while a stored start may crash the worker; EndMargin is added
	// to the time at which a run should end.
	Wait          = 1000 * time.Millisecond
	WaitDisturbed = 500 * time.Millisecond
	WaitOpen      = guavacrash.SuspectTime + 100*time.Millisecond
	EndMargin     = 200 * time.Millisecond
	waitIdle      = 2000 * time.Millisecond
	waitOverdue   = 300 * time.Millisecond
	waitTrial     = 100 * time.Millisecond
	// minInterval is the minimum time between a report and the next hold while ends wait to
	// become durable, and, times the number of failed holds up to 4, between holds of a
	// worker that doesn't answer.
	minInterval = 250 * time.Millisecond
)

// Due reports whether the worker is to be asked now.
func (w *Worker) Due() bool {
	switch {
	case !w.Listed && w.Runs == 0 && !w.MoreEnds:
		return false
	case w.Failed > 0 && w.SinceHold < minInterval*time.Duration(min(w.Failed, 4)):
		return false
	case w.NotSent && w.SinceHold < minInterval:
		// All calls of the owner are in progress.
		return false
	case w.Unacked && !w.AcksAll && w.SinceReport < minInterval:
		// The worker would repeat the ends at once, since they are not durable or may not be
		// acknowledged yet.
		return false
	default:
		// A trial waits until no answer is due.
		return !w.Trial || !w.Heard || !w.AwaitsTrial
	}
}

// Delay returns how long the worker may delay its report.
func (w *Worker) Delay() time.Duration {
	wait := max(min(w.NextEnd, Wait), waitOverdue)
	switch {
	case !w.Known || w.Unacked || w.MoreEnds || w.Failed > 0:
		wait = 0
	case w.Runs == 0:
		wait = waitIdle
	case w.Disturbed:
		wait = min(wait, WaitDisturbed)
	}
	switch {
	case !w.Trial:
		return wait
	case w.AwaitsTrial:
		return 0
	default:
		return min(wait, waitTrial)
	}
}
