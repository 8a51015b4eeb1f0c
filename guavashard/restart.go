package guavashard

import (
	"slices"

	"guavascale.example"
)

// mayHoldCheckpoint reports whether the worker may hold a checkpoint of the task's last
// attempt that this owner doesn't know: it ran that attempt, or it isn't known which
// worker did, and it is silent.
func (s *Shard) mayHoldCheckpoint(w *workerState, e *taskEntry) bool {
	if e.task.Class != guavascale.ClassBatch || e.task.Attempt < 2 || e.task.Worker == w.worker.ID {
		return false
	}
	if s.responsive(w) {
		return false
	}
	if e.previousWorker == "" {
		return w.lastReportAt.IsZero()
	}
	return e.previousWorker == w.worker.ID
}

// startHeld reports whether the start of a task waits until no request is on its way
// to a silent worker that may hold its checkpoint. Otherwise the worker could report
// the checkpoint before the start takes effect, and the task would not resume from it.
// The wait is bounded by the timeout of one request.
func (s *Shard) startHeld(e *taskEntry) bool {
	if e.task.Class != guavascale.ClassBatch || e.task.Attempt < 2 {
		return false
	}
	holds := func(w *workerState) bool {
		return s.mayHoldCheckpoint(w, e) && (w.inFlight || s.requestOverdue(w))
	}
	if e.previousWorker != "" {
		w := s.workers[e.previousWorker]
		return w != nil && holds(w)
	}
	return slices.ContainsFunc(s.sortedWorkers, holds)
}

// restart is the start of a batch task that has had attempts, on its target.
type restart struct {
	target *workerState
	task   *taskEntry
}

// restarts returns the restarts that are due or were sent and are not known to have
// taken effect.
func (s *Shard) restarts() []restart {
	var list []restart
	for _, w := range s.sortedWorkers {
		for _, e := range w.tasks {
			if e.task.Class == guavascale.ClassBatch && e.task.Attempt >= 2 && s.needsStart(w, e) {
				list = append(list, restart{target: w, task: e})
			}
		}
	}
	return list
}

// requestHeld reports whether a request to a silent worker waits for restarts of tasks
// whose checkpoint the worker may hold: those that are due, unless the request is
// overdue, and those that were sent and can still take effect.
func (s *Shard) requestHeld(w *workerState, restarts []restart) bool {
	if len(restarts) == 0 || s.responsive(w) {
		return false
	}
	overdue := s.requestOverdue(w)
	return slices.ContainsFunc(restarts, func(r restart) bool {
		if !s.mayHoldCheckpoint(w, r.task) || !s.needsStart(r.target, r.task) {
			return false
		}
		due := !overdue && !r.target.inFlight && s.canSendStarts(r.target)
		return due || !s.now.After(r.task.startUntil)
	})
}

// requestOverdue reports whether the next request to a worker goes before starts that
// would hold it up.
func (s *Shard) requestOverdue(w *workerState) bool {
	return s.now.Sub(w.lastSentAt) >= s.responseTimeout()
}

// startUnknown reports whether the worker of a task has reported to this owner and does
// not know the current attempt.
func (s *Shard) startUnknown(e *taskEntry) bool {
	w := s.workers[e.task.Worker]
	if w == nil || !w.fenced || e.task.Incarnation != w.incarnation {
		return false
	}
	_, known := w.reports[e.attempt]
	return !known
}
