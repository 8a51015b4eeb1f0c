package guavaqueue

import (
	"time"

	"guavascale.example"
)

// Assumed failure: a task crashes each worker that starts it. The worker comes back
// after some seconds, without any of its runs. Such a task would take down one worker
// after the other, with all that runs there.

const (
	// maxCrashes is the number of workers that may crash under a task before its
	// submission fails if nothing else can have caused the last crash, and
	// maxSharedCrashes the number that may crash whatever else ran there.
	maxCrashes       = 3
	maxSharedCrashes = 4
	// suspectTime is how long a run must have been active, at a time at which the
	// worker was certainly running, so that it counts as harmless. A worker crashes as soon as it starts the
	// task.
	suspectTime = 500 * time.Millisecond
	// runsAtRiskPenalty lowers the rating of a worker, per run on it, for a task under
	// which a worker has crashed. suspectPenalty lowers the rating of a worker for
	// suspectPenaltyTime after the start of such a task, for all tasks.
	runsAtRiskPenalty  = 0.5
	suspectPenalty     = 10.0
	suspectPenaltyTime = suspectTime + holdWait
)

// isSuspect reports whether the run may have crashed its worker: it had just started when
// the worker was last certainly running, or the call to start it broke off. A start that
// only had no answer in time may not have reached the worker yet.
func (r *run) isSuspect() bool {
	switch {
	case r.adopted:
		return false
	case r.confirmedAt.IsZero():
		return r.startBroke
	default:
		return r.worker.aliveAt.Sub(r.startedAt) < suspectTime
	}
}

// recordCrash charges the crash of a worker to the tasks that may have caused it, and
// fails the submission of a task under which too many workers have crashed. If some of
// the tasks were suspects of an earlier crash, the others are not charged. It must be
// called before the worker's runs are removed.
func (e *Engine) recordCrash(now time.Time, w *worker) {
	var fresh, again []*run
	for _, r := range w.runs {
		switch {
		case r.task.done || r.task.step.sub.state.Ended() || !r.isSuspect():
		case r.task.crashes > 0:
			again = append(again, r)
		default:
			fresh = append(fresh, r)
		}
	}
	charged := again
	if len(again) == 0 {
		charged = fresh
	}
	for _, r := range charged {
		t, s := r.task, r.task.step.sub
		t.crashes++
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
		e.emit(Event{
			Kind: EventCrash, Submission: s.ID, Run: r.id, Worker: w.ID,
			Reason: "workers crashed under the task", Value: float64(t.crashes), Age: now.Sub(r.sentAt),
		})
		e.markDirty(now, s, false)
		tooMany := t.crashes >= maxSharedCrashes || t.crashes >= maxCrashes && len(charged) == 1
		if tooMany && !s.state.Ended() {
			e.end(now, s, guavascale.SubmissionFailed)
		}
	}
}

// riskPenalty returns what lowers the rating of a worker for the task: one under which a
// worker has crashed starts where few runs are at risk.
func (t *task) riskPenalty(w *worker) float64 {
	if t.crashes == 0 {
		return 0
	}
	return runsAtRiskPenalty * float64(len(w.runs))
}
