package guavaqueue

import (
	"time"

	"guavascale.example"
	"guavascale.example/guavacrash"
	"guavascale.example/guavaevent"
	"guavascale.example/guavahold"
)

const (
	// runsAtRiskPenalty lowers the rating of a worker, per run on it, for a task on
	// trial. suspectPenalty lowers the rating of a worker for trialTime after the start of
	// such a task, for all tasks.
	runsAtRiskPenalty = 0.5
	suspectPenalty    = 10.0
	trialTime         = 500*time.Millisecond + guavahold.Wait
)

// openCase returns the run with what counts against its task if its worker has crashed.
func (r *run) openCase() guavacrash.Case[*task] {
	w := r.worker
	against := guavacrash.Run{
		Start: r.startedAt, Unanswered: r.unanswered || r.startPending || r.recording, Broke: r.startBroke, Heard: r.heard, Judged: r.judged,
	}.Against(w.aliveAt)
	return guavacrash.Case[*task]{Task: r.task, Record: &r.task.record, Attempt: r.id.Attempt, Start: guavacrash.Start{
		Worker: w.ID, Address: w.AgentAddress, Born: w.Born, Evidence: against,
	}}
}

// recordCrash charges the crash of a worker to the tasks that may have caused it, or
// doubts them if it isn't certain that the worker has crashed. It must be called before
// the worker's runs are removed.
func (e *Engine) recordCrash(now time.Time, w *worker, certain bool) {
	cases := make([]guavacrash.Case[*task], 0, len(w.runs))
	for _, r := range w.runs {
		if c := r.openCase(); r.task.wanted() && !r.recording {
			cases = append(cases, c)
			if !certain && c.Start.Evidence == guavacrash.Suspect {
				e.openStarts.Add(c, true)
			}
		}
		r.judged = true
	}
	e.applyVerdicts(now, guavacrash.Judge(cases, certain))
}

func (e *Engine) applyVerdicts(now time.Time, verdicts []guavacrash.Verdict[*task]) {
	for _, v := range verdicts {
		t, s := v.Task, v.Task.step.sub
		e.markDirty(now, s, false)
		if v.Cleared {
			continue
		}
		t.avoidWorkers, t.notBefore = append(t.avoidWorkers, v.Worker), now.Add(t.record.Delay())
		reason, n := t.record.Describe(v.Charged)
		e.emit(guavaevent.Event{
			Kind: guavaevent.Crash, Submission: s.ID, Run: guavascale.Run{Task: t.ref(), Attempt: v.Attempt}, Worker: v.Worker,
			Reason: reason, Value: float64(n), Age: now.Sub(s.accepted),
		})
		if v.GivenUp && !s.state.Ended() {
			e.end(now, s, guavascale.SubmissionFailed, "workers crash under a task")
		}
	}
}

// fate returns what is known of the worker of a start that has not been judged.
func (e *Engine) fate(now time.Time, c guavacrash.Case[*task]) guavacrash.Fate {
	id := c.Start.Worker
	w := e.workers[id]
	answered := w != nil && w.known
	_, missing := e.missing.Until[id]
	switch {
	case !c.Task.wanted():
		return guavacrash.Dropped
	case answered && c.Start.IsBoot(w.Born):
		return guavacrash.Alive
	case answered || e.hasEnded(now, c.Start):
		return guavacrash.Ended
	case missing:
		return guavacrash.Unknown
	default:
		return guavacrash.Lapsed
	}
}

// hasEnded reports whether the process of a start's worker, which doesn't answer, has
// certainly ended.
func (e *Engine) hasEnded(now time.Time, s guavacrash.Start) bool {
	if w := e.workers[s.Worker]; w != nil && w.processEnded {
		return true
	}
	e.hosts.Update(now, e.listedAddresses)
	for id := range e.hosts.Replaced(s) {
		if w := e.workers[id]; w != nil && w.listed && s.IsAt(w.AgentAddress) {
			return true
		}
	}
	return false
}

// listedAddresses returns the listed workers by address.
func (e *Engine) listedAddresses(yield func(string, guavascale.WorkerID) bool) {
	for _, w := range e.workerList {
		if w.listed && !yield(w.AgentAddress, w.ID) {
			return
		}
	}
}

// restoreRecord restores the stored record of a task.
func (e *Engine) restoreRecord(t *task, r guavacrash.Record) {
	t.record = r
	if r.Open != nil {
		e.openStarts.Add(guavacrash.Case[*task]{Task: t, Record: &t.record, Start: *r.Open}, false)
	}
}

// trial reports whether the task may be started on the worker now, which is the one that
// fits best if best is set.
func (e *Engine) trial(now time.Time, t *task, w *worker, best bool) bool {
	if t.step.spec.Gang {
		return true
	}
	since := t.notBefore
	if t.inherited && e.inheritedUnknownAt.After(since) {
		since = e.inheritedUnknownAt
	}
	return t.record.MayStart(guavacrash.Trial{
		Waited: now.Sub(since), Silence: now.Sub(w.aliveAt), Asked: w.holdPending, Best: best, Taken: w.trials.TakenByOther(now, t),
	})
}

// riskPenalty returns what lowers the rating of a worker for the task: a task on trial
// starts where few runs are at risk.
func (t *task) riskPenalty(w *worker) float64 {
	if !t.record.OnTrial() {
		return 0
	}
	return runsAtRiskPenalty * float64(len(w.runs))
}
