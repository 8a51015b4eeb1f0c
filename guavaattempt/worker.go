package guavaattempt

import (
	"time"

	"guavascale.example"
)

// Worker tells whether a worker gets starts after failures. The zero value has had none.
type Worker struct {
	// failures counts failed and straggling runs since the last success.
	failures int
	until    time.Time
}

const (
	// backoffFailures is the number of consecutive failed runs after which a worker gets no
	// starts for Backoff.
	backoffFailures = 3
	// Backoff is how long a worker that fails every run gets no starts, or a task whose order a
	// worker could not read.
	Backoff = 2 * time.Second
	// noRoomBackoff is how long a worker that had no room gets no starts.
	noRoomBackoff = 150 * time.Millisecond
)

// Ready reports whether the worker may get starts.
func (w *Worker) Ready(now time.Time) bool { return !now.Before(w.until) }

// Done records a run that has done its work.
func (w *Worker) Done() { w.failures = 0 }

// Straggled records a run that was far slower than others.
func (w *Worker) Straggled() { w.failures++ }

// Failed records a failed run.
func (w *Worker) Failed(now time.Time) {
	if w.failures++; w.failures >= backoffFailures {
		w.until = now.Add(Backoff)
	}
}

// Refused records a start that the worker has refused, or that did not reach it for a reason that
// counts as one.
func (w *Worker) Refused(now time.Time, refusal guavascale.RunRefusal) {
	switch refusal {
	case guavascale.RefusedCapacity:
		w.until = now.Add(noRoomBackoff)
	case guavascale.RefusedUnhealthy:
		w.until = now.Add(Backoff)
	}
}

// Penalty returns the number of failures since the last success, as far as it counts.
func (w *Worker) Penalty() float64 { return float64(min(w.failures, backoffFailures)) }
