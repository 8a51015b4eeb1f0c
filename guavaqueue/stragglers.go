package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example/guavaevent"
	"guavascale.example/guavahold"
	"guavascale.example/guavastraggler"
)

// replaceStragglers replaces runs that are stalled or on a slow worker by runs on other
// workers. A task that allows copies may keep its run as well.
func (e *Engine) replaceStragglers(now time.Time) {
	if now.Sub(e.stragglersCheckedAt) < guavastraggler.Interval {
		return
	}
	e.stragglersCheckedAt = now
	for _, w := range e.workerList {
		if w.failedHolds > 0 || w.moreEnds {
			continue
		}
		for _, r := range w.runs {
			switch spec := r.task.step.spec; {
			case r.phase != phaseRunning || spec.Service || spec.Gang || r.pace < fullPace || r.paceUnknown && e.learnsSpeeds(w) || r.percent >= guavastraggler.FullProgress:
			case e.learnsSpeeds(w):
				w.pool.stragglers.Add(now, &e.speeds, &w.speed, r, r.progress(now))
			case r.progress(now).Straggles():
				e.replaceStraggler(now, guavastraggler.Found[*run]{Run: r, Copy: spec.Copies})
			}
		}
	}
	for _, p := range e.pools {
		p.stragglers.Find(now, func(f guavastraggler.Found[*run]) bool { return e.replaceStraggler(now, f) })
	}
}

// learnsSpeeds reports whether stragglers on the worker are found by learned durations.
func (e *Engine) learnsSpeeds(w *worker) bool { return w.pool.hasSize(e.Limits.LookAheadFrom) }

// recordSpeed learns from a run that is done, and records a copy that was of no use.
func (e *Engine) recordSpeed(now time.Time, r *run) {
	if !e.learnsSpeeds(r.worker) {
		return
	}
	r.worker.speed.Ended(now, &e.speeds, r.progress(now), now.Sub(r.sentAt))
	if rest := r.task.runs; len(rest) > 0 && rest[0].id.Attempt > r.id.Attempt {
		e.emitRun(now, guavaevent.CopyLost, rest[0], "", "the run that it copies is done")
	}
}

// progress returns the input of package guavastraggler for the run.
func (r *run) progress(now time.Time) guavastraggler.Run {
	st, est := r.task.step, r.task.step.estimate()
	est.Elapsed, est.Percent = now.Sub(r.startedAt), r.percent
	return guavastraggler.Run{Run: est, Median: st.durations.Median(st.done, len(st.tasks)), Copies: st.spec.Copies, ReportedAt: r.worker.reportedAt, Seen: r.seen}
}

// untilNextEnd returns how long it takes until the first run of the worker should have
// ended, with some margin. A stored start takes up room in its row until a report shows that
// it is harmless.
func (w *worker) untilNextEnd(now time.Time) time.Duration {
	wait := guavahold.Wait
	for _, r := range w.runs {
		if o := r.task.record.Open; o != nil && o.Worker == w.ID {
			wait = min(wait, guavahold.WaitOpen)
		}
		if r.phase != phaseStopping && !r.task.step.spec.Service && r.percent < guavastraggler.FullProgress {
			wait = min(wait, r.progress(now).Remaining()+guavahold.EndMargin)
		}
	}
	return wait
}

// replaceStraggler starts a copy of a straggler on another worker, or stops the straggler so
// that its task is placed again. It reports false if it leaves the straggler alone.
func (e *Engine) replaceStraggler(now time.Time, f guavastraggler.Found[*run]) bool {
	r, t, w := f.Run, f.Run.task, f.Run.worker
	q := e.queue(t.step.sub)
	if q == nil || len(t.runs) > 1 || !t.wanted() || e.attemptsUsedUp(t) != "" || !t.step.sub.account.MayReplace(t.step.spec) {
		return false
	}
	if !slices.Contains(t.avoidWorkers, w.ID) {
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
	}
	other := e.choose(now, t.step, q, t)
	if other == nil || other == w {
		return false
	}
	e.emit(guavaevent.Event{
		Kind: guavaevent.Straggler, Submission: t.step.sub.ID, Run: r.id, Worker: w.ID,
		Outcome: string(f.Reason), Reason: "percent done", Value: float64(r.percent), Age: now.Sub(r.startedAt),
	})
	w.attempts.Straggled()
	if f.Copy {
		e.start(now, t, other, t.attempt+1)
	} else {
		e.stop(now, r)
	}
	return true
}
