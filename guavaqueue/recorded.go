package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example/guavabatch"
	"guavascale.example/guavacrash"
	"guavascale.example/guavarefusal"
	"guavascale.example/guavarow"
)

// Assumed failure: an owner whose commits have no effect any more gives orders for some
// seconds. A start that the next owner must know of is stored before it is ordered. Until
// then the run takes up its place on the worker.

// mustRecord reports whether a start of the task is stored before it is ordered: workers
// may have crashed under it, or an earlier owner may have started it.
func (t *task) mustRecord() bool { return t.record.OnTrial() || t.inherited }

// recordableStarts returns for how many more starts the row of the submission has room.
func (s *submission) recordableStarts(now time.Time) int {
	return s.startRoom.Left(now, &s.Submission, s.occurrences, func() (open int) {
		for _, st := range s.steps[s.doneSteps:] {
			for _, t := range st.tasks {
				if t.record.Open != nil && !t.done {
					open++
				}
			}
		}
		return open
	})
}

// mayRecordGang reports whether the starts of a gang may be stored now. Of a gang that is
// wider than the row has room for, some starts are not, and nothing of its submission
// starts beside it.
func (st *step) mayRecordGang(now time.Time) bool {
	if !slices.ContainsFunc(st.tasks, (*task).mustRecord) {
		return true
	}
	n := st.sub.recordableStarts(now)
	return n >= len(st.tasks) || n == guavarow.OpenStartsFit(&st.sub.Submission, st.sub.occurrences)
}

// recordStart stores that a run is about to be ordered.
func (e *Engine) recordStart(now time.Time, r *run) {
	c := r.openCase()
	r.recording, r.task.record.Open = true, &c.Start
	r.task.step.sub.startRoom.Take()
	e.markDirty(now, r.task.step.sub, true)
	r.recordedBy = r.task.step.sub.Changed
	r.task.step.sub.RecordedBy = r.recordedBy
	e.recording = append(e.recording, r)
	r.worker.trials.Take(now.Add(trialTime), r.task, r.task.record)
}

// orderRecorded orders the starts that are stored, the members of a gang together, and gives
// up those that can't be ordered any more.
func (e *Engine) orderRecorded(now time.Time, mayStart bool) {
	kept := e.recording[:0]
	sameGang := func(r, o *run) bool { return r.task.step.spec.Gang && r.task.step == o.task.step }
	for group := range guavabatch.Groups(e.recording, sameGang) {
		ready, valid := mayStart, true
		for _, r := range group {
			s, w := r.task.step.sub, r.worker
			ready = ready && s.Written >= r.recordedBy && w.takesStarts(now) && e.trial(now, r.task, w, true)
			valid = valid && r.awaitsRecord() && s.account.MayOrder(r.task.step.spec, len(group)) && e.open(now, w) && !w.overfull() && e.refusals.Group(s) != guavarefusal.Aside
		}
		if valid && !ready {
			kept = append(kept, group...)
			continue
		}
		for _, r := range group {
			switch {
			case !r.awaitsRecord():
			case valid:
				r.recording = false
				e.orderStart(now, r)
			default:
				e.markLost(now, r, "not ordered: the worker can't be used any more")
			}
		}
	}
	clear(e.recording[len(kept):])
	e.recording = kept
}

// awaitsRecord reports whether the run has not been ordered and may still be.
func (r *run) awaitsRecord() bool {
	return r.recording && r.phase == phaseStarting && r.worker.runs[r.id] == r
}

// awaitsTrial reports whether a start on trial on the worker has not been ordered yet.
func (e *Engine) awaitsTrial(w *worker) bool {
	return slices.ContainsFunc(e.recording, func(r *run) bool { return r.worker == w && r.awaitsRecord() && r.task.record.OnTrial() })
}

// storeSuspicion stores that the run may crash or have crashed its worker, and drops that
// once it is known not to.
func (e *Engine) storeSuspicion(now time.Time, r *run) {
	c, open := r.openCase(), r.task.record.Open
	switch {
	case r.recording:
	case c.Start.Evidence != guavacrash.None && r.task.wanted():
		r.task.record.Open = &c.Start
		e.markDirty(now, r.task.step.sub, true)
	case open != nil && open.Worker == r.worker.ID:
		r.task.record.Open = nil
		if !r.judged {
			r.task.record.Harmless()
		}
		e.markDirty(now, r.task.step.sub, false)
	}
}
