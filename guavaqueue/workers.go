package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaattempt"
	"guavascale.example/guavabatch"
	"guavascale.example/guavaclock"
	"guavascale.example/guavacrash"
	"guavascale.example/guavaevent"
	"guavascale.example/guavastraggler"
)

// attemptsPerOwner separates the attempt number ranges of successive owners. Starts are not
// stored, so an owner has no record of the last attempt numbers of the one before.
const attemptsPerOwner = 10_000

// SetWorker adds or updates a worker from the platform's worker list.
func (e *Engine) SetWorker(now time.Time, w guavascale.Worker) {
	ws := e.workers[w.ID]
	if ws == nil {
		ws = e.addWorker(w.ID)
	}
	if ws.Born != 0 && w.Born > ws.Born {
		e.handleRestart(now, ws, w.Born, "shown by the worker list")
	}
	if w.Leaving && !ws.Leaving {
		ws.leavesAt = now.Add(w.LeavesAfter)
	}
	ws.recordCapacity(&w)
	w.Born = max(w.Born, ws.Born)
	ws.Worker, ws.listed, ws.pool = w, true, e.pool(w.Service)
	if !ws.durable && ws.mayHoldRuns() {
		e.fleetDirty = true
	}
}

// recordCapacity records an entry of the worker list in the largest capacity of its boot.
func (w *worker) recordCapacity(entry *guavascale.Worker) {
	if entry.Born != w.largestBorn {
		w.largest, w.largestBorn = guavascale.Resources{}, entry.Born
	}
	w.largest = w.largest.Max(entry.Capacity)
}

// mayHoldRuns reports whether the worker has runs, may get some, or has ends that
// are not durable yet. A new owner waits for such workers, but not for a leaving
// worker that has been drained.
func (w *worker) mayHoldRuns() bool {
	return !w.Leaving || len(w.runs) > 0 || w.ends.Seen > w.ends.Durable || w.moreEnds
}

// overfull reports whether the runs, with those that have been ordered or wait to be, need
// more than the worker has, which may have shrunk since they were placed.
func (w *worker) overfull() bool { return !w.Capacity.Fits(w.used) }

// endsFull reports whether one more run could end before the worker can list it, since
// earlier ends have to become durable first.
func (e *Engine) endsFull(w *worker) bool {
	return w.moreEnds || e.Limits.EndsPerReport > 0 && w.ends.Kept()+len(w.runs) >= e.Limits.EndsPerReport-1
}

// RemoveWorker marks a worker that is no longer in the platform's worker list. Its runs
// count until their leases must have expired.
func (e *Engine) RemoveWorker(id guavascale.WorkerID) {
	if w := e.workers[id]; w != nil {
		w.listed = false
	}
}

// handleRestart marks the runs of a restarted worker as lost, except those whose
// start order may have reached the new boot or may still do so. The clocks of two boots
// may differ too little to tell them apart, so that an answer to a start says nothing
// about the boot; a report does.
func (e *Engine) handleRestart(now time.Time, w *worker, born int64, shown string) {
	e.recordCrash(now, w, true)
	w.used = w.used.Sub(w.strays.Drop())
	for _, r := range w.runs {
		if r.startPending && r.phase != phaseRunning {
			r.strayUntil = r.sentAt.Add(e.Limits.Longest())
		}
		stray := now.Before(r.strayUntil)
		if r.phase == phaseRunning && !w.jumpedAt.IsZero() && !r.confirmedAt.Before(w.jumpedAt) {
			// The new boot has confirmed it.
			r.phase, r.unanswered, r.confirmedAt, r.startEnd = phaseStarting, true, time.Time{}, 0
			w.unsettledRuns++
			continue
		}
		if r.phase == phaseRunning && r.unlisted && !stray {
			// Either boot may have confirmed it. The next report shows which one.
			r.startEnd = 0
			continue
		}
		if r.unanswered || stray {
			// The start order may still reach the restarted worker, whose
			// restarted clock can't show that the order's lease has ended. A
			// stop order keeps the run from starting there.
			r.confirmedAt = time.Time{}
			r.phase = phaseStopping
			r.startPending, r.startBroke, r.startEnd, r.stopSentAt = false, false, 0, time.Time{}
			w.unsettledRuns++
			continue
		}
		e.markLost(now, r, "the worker restarted")
	}
	e.emitWorker(now, w, "Restarted", shown)
	delete(e.missing.Listing, w.ID)
	w.Born, w.lease = born, w.lease.Restarted(e.Limits.Terms)
	w.ends.Restarted(now, true)
	w.clock, w.moreEnds, w.holdAt, w.jumpedAt = guavaclock.Clock{}, false, time.Time{}, time.Time{}
	w.known, w.bootConfirmed, w.holdPending, w.failedHolds, w.processEnded = false, false, false, 0, false
}

// recordClock records a reading of a worker's clock from the response to a call
// that was sent at sent. It may show that the worker has restarted.
func (e *Engine) recordClock(now, sent time.Time, w *worker, reading guavascale.WorkerClock) {
	w.processEnded, w.aliveAt = false, now
	if reading == 0 {
		return
	}
	clock, restarted := w.clock.Read(now, sent, time.Duration(reading))
	if w.clock = clock; !restarted {
		return
	}
	e.emitWorker(now, w, "ClockJumped", "the reading shows a restart")
	// The next report shows which runs are left.
	w.ends.Restarted(now, false)
	w.known, w.bootConfirmed, w.moreEnds, w.jumpedAt = false, false, false, now
	w.lease = w.lease.Restarted(e.Limits.Terms)
	w.lease.End = clock.Low + e.Limits.LeaseMax
	for _, r := range w.runs {
		r.startEnd = 0
	}
}

// startIsDead reports whether a report without the run, the response to a request that
// was sent at sent, shows that no start order of it takes effect any more.
func (r *run) startIsDead(sent time.Time, reading guavascale.WorkerClock) bool {
	if !r.confirmedAt.IsZero() {
		return r.confirmedAt.Before(sent)
	}
	return time.Duration(reading) > r.startEnd && sent.After(r.worker.lease.StrayUntil)
}

// applyReport applies a worker's report, the response to a request that was sent
// at sent.
func (e *Engine) applyReport(now, sent time.Time, w *worker, rep guavascale.RunReport) {
	if rep.Born != 0 && (rep.Born < w.Born || rep.Born == w.Born && sent.Before(w.jumpedAt)) {
		// It is of a former boot.
		return
	}
	if rep.Born > w.Born {
		if w.Born != 0 {
			e.handleRestart(now, w, rep.Born, "shown by a report")
		}
		w.Born = rep.Born
	}
	e.recordClock(now, sent, w, rep.Clock)
	w.reportedAt, w.failedHolds = now, 0
	if !w.clock.Known() {
		w.lease.StrayUntil = now.Add(e.Limits.Longest())
	}
	if e.listedRuns == nil {
		e.listedRuns = make(map[guavascale.Run]bool)
	}
	listed := e.listedRuns
	clear(listed)
	w.used = w.used.Sub(w.strays.Drop())
	for _, rs := range rep.Running {
		listed[rs.Run] = true
		e.applyRunState(now, w, rs)
	}
	unread := w.ends.Apply(rep.Ended, func(end guavascale.RunEnd) *guavabatch.Durability { return e.applyEnd(now, w, end) }, func(id guavascale.Run) { listed[id] = true })
	if unread > 0 {
		e.emit(guavaevent.Event{Kind: guavaevent.EndsForgotten, Worker: w.ID, Born: w.Born, Value: float64(unread)})
	}
	w.moreEnds = e.Limits.EndsPerReport > 0 && len(rep.Ended) >= e.Limits.EndsPerReport
	for _, r := range w.runs {
		if !w.moreEnds && !r.recording && !listed[r.id] && r.startIsDead(sent, rep.Clock) {
			e.markLost(now, r, "missing from the worker's report")
		}
	}
	e.observe(now, w)
	if w.listed && !w.durable && w.mayHoldRuns() {
		e.fleetDirty = true
	}
	first := !w.known
	if first {
		// An earlier owner, or this one before the worker restarted, may have
		// granted a lease of up to LeaseMax.
		w.lease.End = max(w.lease.End, w.clock.Low+e.Limits.LeaseMax)
		w.known = true
		e.emitWorker(now, w, "Known", "")
	}
	if first || e.missing.Listing[w.ID] {
		e.missing.Reported(w.ID, w.moreEnds)
	}
}

// applyRunState applies the entry of an active run in a worker's report.
func (e *Engine) applyRunState(now time.Time, w *worker, rs guavascale.RunState) {
	r := w.runs[rs.Run]
	if r == nil {
		r = e.adopt(now, w, rs.Run)
	}
	if r == nil {
		if s := e.subs[rs.Run.Task.Submission]; s != nil {
			w.used = w.used.Add(w.strays.Add(s.account, s.Steps, rs.Run.Task.Step))
		}
		e.orders = append(e.orders, e.stopOrder(w, rs.Run))
		return
	}
	r.unlisted = false
	r.seen.Report(now, r.startedAt, r.percent, rs.Percent, rs.Checkpoint)
	r.percent = rs.Percent
	r.latency.Tail, r.usedMilliCores = rs.Tail, rs.Used
	if rs.Checkpoint != "" {
		r.task.checkpoint = rs.Checkpoint
	}
	if r.task.record.Open != nil && r.openCase().Start.Evidence == guavacrash.None {
		e.storeSuspicion(now, r)
	}
	switch {
	case r.phase == phaseStarting:
		r.confirmStart(now)
	case r.phase == phaseStopping && !r.confirmedAt.IsZero() && now.Sub(r.stopSentAt) > e.Limits.StopGrace:
		e.sendStop(now, r)
	}
}

// confirmStart records that the run has started on its worker.
func (r *run) confirmStart(now time.Time) {
	r.phase, r.confirmedAt, r.startedAt, r.unanswered = phaseRunning, now, now, false
	r.task.step.sub.started = true
}

// adopt takes over a run that this engine did not start. It stops the run if its
// task is not wanted any more or has another run and allows no copies. It returns
// nil if the task is unknown.
func (e *Engine) adopt(now time.Time, w *worker, id guavascale.Run) *run {
	t := e.task(id.Task)
	if t == nil {
		return nil
	}
	t.attempt = max(t.attempt, id.Attempt)
	r := &run{id: id, task: t, worker: w, phase: phaseRunning, confirmedAt: now, startedAt: now, sentAt: now, pace: fullPace, paceUnknown: t.step.spec.Filler, judged: true, seen: guavastraggler.Seen{Partial: true}}
	wanted := t.wanted() && (len(t.runs) == 0 || t.step.spec.Copies)
	e.addRun(r)
	if t.step.spec.Service {
		// A service task needn't wait for the reports of the other workers: it
		// has no bound on failures, and no other run of it is left.
		t.inherited = false
	}
	e.emitRun(now, guavaevent.Adopted, r, "", "")
	if !wanted {
		e.stop(now, r)
	}
	return r
}

func (e *Engine) task(ref guavascale.TaskRef) *task {
	s := e.subs[ref.Submission]
	if s == nil || ref.Occurrence < 0 || ref.Step < 0 || ref.Step >= len(s.Steps) {
		return nil
	}
	for _, scheduled := e.scheduled[s]; scheduled && ref.Occurrence >= s.occurrences && ref.Occurrence < s.Repeat; {
		// It was due by the clock of an earlier owner, which was ahead.
		e.addOccurrence(s)
		e.queueReadySteps(s)
	}
	i := ref.Occurrence*len(s.Steps) + ref.Step
	if i >= len(s.steps) || ref.Index < 0 || ref.Index >= len(s.steps[i].tasks) {
		return nil
	}
	return s.steps[i].tasks[ref.Index]
}

// applyEnd applies the end of a run from a worker's report. It returns the
// submission that the end may have changed, or nil if the task is unknown.
func (e *Engine) applyEnd(now time.Time, w *worker, end guavascale.RunEnd) *guavabatch.Durability {
	t := e.task(end.Run.Task)
	if t == nil {
		return nil
	}
	s := t.step.sub
	r := w.runs[end.Run]
	if r == nil && end.Outcome == guavascale.RunFailed && t.failed.Has(end.Run.Attempt) {
		// The worker repeats an end that this owner or an earlier one has
		// already applied.
		return &s.Durability
	}
	t.attempt = max(t.attempt, end.Run.Attempt)
	s.started = true
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	age := time.Duration(-1)
	if r != nil {
		age = now.Sub(r.startedAt)
		e.removeRun(r)
		if t.step.spec.Filler {
			e.recordFillerEnd(now, t.step.spec.Kind, w)
		}
	}
	e.emit(guavaevent.Event{
		Kind: guavaevent.RunEnded, Submission: s.ID, Run: end.Run, Worker: w.ID, Born: w.Born,
		Outcome: string(end.Outcome), Age: age, Value: float64(t.failed.Count),
	})
	if t.done || s.state.Ended() {
		return &s.Durability
	}
	switch end.Outcome {
	case guavascale.RunDone:
		s.account.Ended(now)
		w.attempts.Done()
		if r != nil && !r.judged {
			t.step.durations.Add(now.Sub(r.sentAt))
			if est := t.step.estimate(); t.step.ordinary() && !t.step.spec.Gang {
				e.estimates.Record(est.Key, est.Estimate, age)
			}
			e.recordSpeed(now, r)
		}
		e.applyDone(now, t, end.Run.Attempt)
	case guavascale.RunFailed:
		w.attempts.Failed(now)
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
		e.applyFailure(now, t, end.Run.Attempt)
	default:
		e.markDirty(now, s, false)
	}
	e.requeue(t.step)
	return &s.Durability
}

// applyDone applies the successful end of an attempt of the task.
func (e *Engine) applyDone(now time.Time, t *task, attempt int64) {
	if t.step.spec.Service {
		e.markDirty(now, t.step.sub, false)
		return
	}
	if t.step.spec.Gang {
		// The tasks of a gang end together, so one end counts for all.
		for _, m := range t.step.tasks {
			e.markDone(now, m)
			for _, r := range slices.Clone(m.runs) {
				if r.id.Attempt != attempt {
					e.stop(now, r)
				}
			}
		}
	} else {
		e.markDone(now, t)
	}
	e.markDirty(now, t.step.sub, false)
	e.advance(now, t.step)
}

// markDone marks a task as done and stops its runs. The runs of a gang's attempt that is done
// end by themselves.
func (e *Engine) markDone(now time.Time, t *task) {
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	t.done = true
	t.step.done++
	if t.step.spec.Gang {
		return
	}
	for _, r := range slices.Clone(t.runs) {
		e.stop(now, r)
	}
}

// applyFailure records a failed attempt of the task, and ends the submission if no
// attempts are left.
func (e *Engine) applyFailure(now time.Time, t *task, attempt int64) {
	if t.failed.Add(attempt); t.step.spec.Service {
		t.failed.KeepLatest()
	}
	t.avoidWorkers = t.avoidWorkers[max(0, len(t.avoidWorkers)-guavaattempt.MaxNumbers):]
	e.markDirty(now, t.step.sub, false)
	t.notBefore = now.Add(t.failed.Delay())
	if reason := e.attemptsUsedUp(t); reason != "" {
		e.end(now, t.step.sub, guavascale.SubmissionFailed, reason)
	}
}

// attemptsUsedUp tells how the task, or a member of its gang, has failed as often as the newest
// known policy allows, which may be another one than at the failures, or returns "".
func (e *Engine) attemptsUsedUp(t *task) string {
	q := e.queue(t.step.sub)
	if t.step.spec.Service || q == nil {
		return ""
	}
	reason := t.failed.UsedUp(q.MaxAttempts)
	for i := 0; t.step.spec.Gang && reason == "" && i < len(t.step.tasks); i++ {
		reason = t.step.tasks[i].failed.UsedUp(q.MaxAttempts)
	}
	return reason
}

// markLost removes a run that can't be running any more and queues its task
// again. A stored start that was not ordered is withdrawn with the next commit.
func (e *Engine) markLost(now time.Time, r *run, reason string) {
	e.emitRun(now, guavaevent.Lost, r, "", reason)
	open := r.task.record.Open
	if e.removeRun(r); r.task.record.Open != open {
		e.markDirty(now, r.task.step.sub, r.recording)
	}
	e.requeue(r.task.step)
}

// inheritedRunsKnown reports whether all runs of earlier owners are known.
func (e *Engine) inheritedRunsKnown() bool { return len(e.missing.Until)+len(e.missing.Listing) == 0 }

func (e *Engine) addRun(r *run) {
	t := r.task
	if len(t.runs) == 0 && !t.done {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	t.step.perWorker[r.worker.ID]++
	t.step.sub.account.Add(t.step.spec, 1, t.inherited)
	w := r.worker
	w.runs[r.id] = r
	w.addUsage(t, 1)
	s := t.step.sub
	s.runs++
	s.started = s.started || !r.confirmedAt.IsZero()
	if s.state == guavascale.SubmissionQueued {
		s.state = guavascale.SubmissionRunning
	}
}

// addUsage adds n times the size of a task to the resources in use on the worker.
func (w *worker) addUsage(t *task, n int64) {
	w.used = w.used.Add(t.size().Times(n))
	if t.step.spec.Filler {
		w.fillerMilliCores += n * t.step.spec.Size.MilliCores
	}
	if t.step.spec.Service {
		w.serviceMilliCores += n * t.step.spec.Size.MilliCores
	}
	w.loadsValid = false
}

func (e *Engine) removeRun(r *run) {
	t, w := r.task, r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	t.step.sub.runs--
	if o := t.record.Open; o != nil && o.Worker == w.ID {
		t.record.Open = nil
	}
	if w.durable && !w.mayHoldRuns() {
		e.fleetDirty = true
	}
	w.addUsage(t, -1)
	t.step.sub.account.Add(t.step.spec, -1, t.inherited)
	if t.step.perWorker[w.ID]--; t.step.perWorker[w.ID] <= 0 {
		delete(t.step.perWorker, w.ID)
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
	}
}

// requeue makes a step with waiting tasks ready for placement again.
func (e *Engine) requeue(st *step) {
	if st.waiting == 0 || st.sub.state.Ended() || st.queued {
		return
	}
	e.queueReadySteps(st.sub)
}
