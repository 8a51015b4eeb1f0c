package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example/guavaevent"
)

// Assumed workload: some workers slow down by a factor of four to eight or stop
// making progress while they still answer normally. A step ends with its last
// task, so one such worker can delay every submission.

const (
	// stragglerInterval is the minimum time between searches for stragglers.
	stragglerInterval = 200 * time.Millisecond
	// A run is stalled if a report shows no progress for stallFraction of the
	// estimated duration, within these bounds. The longest tasks take a tenth of
	// a second per percent, and half a second on a slow worker; restoring a
	// checkpoint takes up to 0.6 s.
	stallFraction   = 0.6
	minStallTimeout = 900 * time.Millisecond
	maxStallTimeout = 2500 * time.Millisecond
	// A run is replaced if its elapsed time is at least stragglerFactor times the
	// median duration and its remaining time exceeds that by more than
	// restartCost, the time that a new start takes.
	stragglerFactor = 1.5
	restartCost     = 400 * time.Millisecond
	// fullProgress is the progress of a run in percent that has done its work.
	fullProgress = 100
	// maxDurations bounds the number of durations that are kept per step.
	maxDurations = 32
)

// recordProgress records the progress of a run from a worker's report.
func (r *run) recordProgress(now time.Time, percent int) {
	switch {
	case percent != r.percent:
		r.progressAt = now
	case r.progressAt.IsZero():
		r.progressAt = r.startedAt
	}
	r.percent = percent
}

// recordDuration records the duration of a finished run of the step.
func (st *step) recordDuration(took time.Duration) {
	if len(st.durations) < maxDurations {
		i, _ := slices.BinarySearch(st.durations, took)
		st.durations = slices.Insert(st.durations, i, took)
	}
}

// medianDuration returns the median duration of the step's finished runs, or 0
// while less than a third of its tasks are done.
func (st *step) medianDuration() time.Duration {
	if len(st.durations) == 0 || st.done*3 < len(st.tasks) {
		return 0
	}
	return st.durations[len(st.durations)/2]
}

// replaceStragglers replaces runs that are stalled or far slower than the others
// of their step by runs on other workers. A task that allows copies keeps its run
// as well.
func (e *Engine) replaceStragglers(now time.Time) {
	if now.Sub(e.stragglersCheckedAt) < stragglerInterval {
		return
	}
	e.stragglersCheckedAt = now
	for _, w := range e.workerList {
		if w.failedHolds > 0 || w.moreEnds {
			continue
		}
		for _, r := range w.runs {
			if r.isStraggler(now) {
				e.replaceStraggler(now, r)
			}
		}
	}
}

func (r *run) isStraggler(now time.Time) bool {
	st := r.task.step
	if r.phase != phaseRunning || st.spec.Service || st.spec.Gang || r.pace < fullPace || len(r.task.runs) > 1 || r.percent >= fullProgress {
		return false
	}
	if !r.progressAt.IsZero() && r.worker.reportedAt.Sub(r.progressAt) > r.stallTimeout() {
		return true
	}
	median := st.medianDuration()
	elapsed := now.Sub(r.startedAt)
	if median == 0 || r.percent <= 0 || float64(elapsed) < stragglerFactor*float64(median) {
		return false
	}
	return r.remaining(now) > time.Duration(stragglerFactor*float64(median))+restartCost
}

// stallTimeout returns how long the run may make no progress.
func (r *run) stallTimeout() time.Duration {
	expected := time.Duration(stallFraction * float64(r.task.step.spec.Estimate))
	return min(max(expected, minStallTimeout), maxStallTimeout)
}

// untilNextEnd returns how long it takes until the first run of the worker should
// have ended, with some margin, within holdWaitOverdue and holdWait. If none has, the
// report shows which run has stalled.
func (w *worker) untilNextEnd(now time.Time) time.Duration {
	wait := holdWait
	for _, r := range w.runs {
		if r.phase != phaseStopping && !r.task.step.spec.Service && r.percent < fullProgress {
			wait = min(wait, r.remaining(now)+endMargin)
		}
	}
	return max(wait, holdWaitOverdue)
}

// replaceStraggler starts a copy of a straggler on another worker, or stops the
// straggler so that its task is placed again, if another worker has room.
func (e *Engine) replaceStraggler(now time.Time, r *run) {
	t, w := r.task, r.worker
	q := e.queue(t.step.sub)
	if q == nil || !t.wanted() || e.attemptsUsedUp(t) {
		return
	}
	if !slices.Contains(t.avoidWorkers, w.ID) {
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
	}
	other := e.choose(now, t.step, q, t)
	if other == nil || other == w {
		return
	}
	e.emit(guavaevent.Event{
		Kind: guavaevent.Straggler, Submission: t.step.sub.ID, Run: r.id, Worker: w.ID,
		Reason: "percent done", Value: float64(r.percent), Age: now.Sub(r.startedAt),
	})
	w.failures++
	if t.step.spec.Copies {
		e.start(now, t, other, t.attempt+1)
		return
	}
	e.stop(now, r)
}
