package guavaqueue

import (
	"slices"
	"time"
)

// The load that these decisions answer: some workers slow down by a factor of
// four to eight or stop making progress, while they answer as ever. A step ends
// with its last task, so that one such worker makes every submission late.

const (
	// straggleEvery spaces the search for stragglers.
	stragglerInterval = 200 * time.Millisecond
	// stuckAfter is how long a run may show no progress. A percent of the
	// longest tasks takes a tenth of a second.
	stallTimeout = 2500 * time.Millisecond
	// straggleFactor is how many times the usual duration the rest of a run must
	// take before it is begun anew elsewhere, and straggleSlack the time that a
	// new start costs.
	stragglerFactor = 1.5
	restartCost     = 400 * time.Millisecond
	// maxDurations bounds the durations that are kept of a step.
	maxDurations = 32
)

// progressed notes what a list says of a run's progress.
func (r *run) recordProgress(now time.Time, percent int) {
	if percent != r.percent || r.progressAt.IsZero() {
		r.progressAt = now
	}
	r.percent = percent
}

// finished notes how long a run of the step took.
func (st *step) recordDuration(took time.Duration) {
	if len(st.durations) < maxDurations {
		st.durations = append(st.durations, took)
	}
}

// usual returns the median duration of the step's finished runs, or 0 while less
// than a third of its tasks are done.
func (st *step) medianDuration() time.Duration {
	if len(st.durations) == 0 || st.done*3 < len(st.tasks) {
		return 0
	}
	slices.Sort(st.durations)
	return st.durations[len(st.durations)/2]
}

// straggle moves runs that are stuck or far slower than the others of their
// step. A task that allows copies gets one and keeps its run.
func (e *Engine) replaceStragglers(now time.Time) {
	if now.Sub(e.stragglersCheckedAt) < stragglerInterval {
		return
	}
	e.stragglersCheckedAt = now
	for _, w := range e.workers {
		if w.misses > 0 {
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
	if r.phase != phaseRunning || st.spec.Service || st.spec.Gang || r.pace < fullPace || len(r.task.runs) > 1 || r.percent >= 100 {
		return false
	}
	if !r.progressAt.IsZero() && now.Sub(r.progressAt) > stallTimeout {
		return true
	}
	usual := st.medianDuration()
	elapsed := now.Sub(r.startedAt)
	if usual == 0 || r.percent <= 0 || float64(elapsed) < stragglerFactor*float64(usual) {
		return false
	}
	return r.remaining(now) > time.Duration(stragglerFactor*float64(usual))+restartCost
}

// replace begins the task of a straggler anew on another worker.
func (e *Engine) replaceStraggler(now time.Time, r *run) {
	t, w := r.task, r.worker
	q := e.queue(t.step.sub)
	if q == nil || !t.wanted() {
		return
	}
	if !slices.Contains(t.avoidWorkers, w.ID) {
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
	}
	other := e.choose(now, t.step, q, t)
	if other == nil || other == w {
		return
	}
	e.emit(Event{
		Kind: EventStraggler, Submission: t.step.sub.ID, Run: r.id, Worker: w.ID,
		Reason: "percent done", Value: float64(r.percent), Age: now.Sub(r.startedAt),
	})
	w.failures++
	if t.step.spec.Copies {
		e.start(now, t, other, t.attempt+1)
		return
	}
	e.stop(now, r)
}
