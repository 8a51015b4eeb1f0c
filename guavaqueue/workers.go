package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
)

const (
	// attemptsPerOwner separates the attempt numbers of successive owners,
	// which don't know each other's last starts.
	attemptsPerOwner = 10_000
	// clockSlack is how much slower than time a worker's clock may run.
	clockSlack = 0.02
	// lapseMargin is added before a lease counts as ended.
	lapseMargin = 250 * time.Millisecond
	// clockMargin is how far a reading may be off before the worker counts as
	// started again.
	clockMargin = 300 * time.Millisecond
	// leaseWanted is how far ahead leases are extended. Runs survive a change
	// of the owner, which takes up to 4 s.
	leaseWanted = 5500 * time.Millisecond
	// failuresToAvoid is how many failed runs in a row make a worker suspect,
	// and avoidFor how long it then gets no starts.
	failuresToAvoid = 3
	avoidFor        = 2 * time.Second
	// maxFailures bounds the failures that are remembered of a task.
	maxFailures = 16
	// retryDelay delays the next attempt of a failed task, times the failures.
	retryDelay = 50 * time.Millisecond
)

// SetWorker takes over an entry of the platform's list.
func (e *Engine) SetWorker(now time.Time, w guavascale.Worker) {
	if e.workers == nil {
		e.workers = make(map[guavascale.WorkerID]*worker)
	}
	ws := e.workers[w.ID]
	if ws == nil {
		ws = &worker{runs: make(map[guavascale.Run]*run), durable: e.fleet[w.ID]}
		e.workers[w.ID] = ws
	}
	if ws.Born != 0 && w.Born > ws.Born {
		e.reborn(now, ws, w.Born)
	}
	if w.Leaving && !ws.Leaving {
		ws.leavesAt = now.Add(w.LeavesAfter)
	}
	w.Born = max(w.Born, ws.Born)
	ws.Worker, ws.listed = w, true
	if !ws.durable && ws.mayHoldRuns() {
		e.fleetDirty = true
	}
}

// mayHoldRuns reports whether the worker holds runs or may get some, or knows of
// ends that are not durable. A new owner waits for such workers, but not for one
// that has been emptied before it leaves.
func (w *worker) mayHoldRuns() bool {
	return !w.Leaving || len(w.runs) > 0 || w.seen > w.acked
}

// RemoveWorkers notes which workers the platform's list still holds. The runs of
// the others count until their lease must have ended.
func (e *Engine) RemoveWorkers(listed map[guavascale.WorkerID]bool) {
	for id, w := range e.workers {
		w.listed = w.listed && listed[id]
	}
}

// reborn gives up all runs of a worker that has started again.
func (e *Engine) reborn(now time.Time, w *worker, born int64) {
	for _, r := range w.runs {
		if r.unanswered || r.orderOut && r.phase == phaseStarting {
			// The order may still reach the new boot, which doesn't know that
			// its lease is over. A stop keeps the run from starting there.
			r.confirmed = time.Time{}
			r.phase = phaseStopping
			r.orderOut, r.stopSent = false, time.Time{}
			w.unsettled++
			continue
		}
		e.lose(now, r, "its worker has started again")
	}
	e.noteWorker(now, w, "Restarted", "")
	w.Born, w.seen, w.acked, w.leaseEnd = born, 0, 0, 0
	w.clockAt, w.holdAt = time.Time{}, time.Time{}
	w.known, w.sure, w.holdOut, w.misses = false, false, false, 0
}

// heard notes a reading of a worker's clock in the answer to a call that left at
// sent. A clock that jumped shows that the worker has started again, even if
// nothing else does.
func (e *Engine) heard(now, sent time.Time, w *worker, clock guavascale.WorkerClock) {
	w.misses = 0
	if clock == 0 {
		return
	}
	read := time.Duration(clock)
	if !w.clockAt.IsZero() {
		passed := sent.Sub(w.clockAt)
		if passed > 0 {
			passed = time.Duration(float64(passed) * (1 - clockSlack))
		}
		if read < w.clock+passed-clockMargin || read > w.clockNow(now)+clockMargin {
			// The next list tells what is left of its runs.
			w.seen, w.acked, w.known, w.sure = 0, 0, false, false
			w.clockAt = time.Time{}
		}
	}
	if read > w.clock || w.clockAt.IsZero() {
		w.clock, w.clockAt, w.clockSent = read, now, sent
	}
}

// clockNow bounds a worker's clock from above: the last reading was taken after
// its call had left.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockSent) }

// lapsed reports whether the lease of the worker must have ended.
func (w *worker) lapsed(now time.Time) bool {
	if w.clockAt.IsZero() {
		return false
	}
	atLeast := w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockSlack))
	return atLeast > w.leaseEnd+lapseMargin
}

// report applies the lists of a worker. Sent is when the request left.
func (e *Engine) report(now, sent time.Time, w *worker, rep guavascale.RunReport) {
	if rep.Born != 0 && rep.Born < w.Born {
		return
	}
	if rep.Born > w.Born {
		if w.Born != 0 {
			e.reborn(now, w, rep.Born)
		}
		w.Born = rep.Born
	}
	e.heard(now, sent, w, rep.Clock)
	if e.listed == nil {
		e.listed = make(map[guavascale.Run]bool)
	}
	listed := e.listed
	clear(listed)
	for _, rs := range rep.Running {
		listed[rs.Run] = true
		e.running(now, w, rs)
	}
	last := w.seen
	for _, end := range rep.Ended {
		if end.Number <= w.seen {
			listed[end.Run] = true
			continue
		}
		last = max(last, end.Number)
		e.ended(now, w, end)
	}
	w.seen = last
	for _, r := range w.runs {
		if !listed[r.id] && !r.confirmed.IsZero() && r.confirmed.Before(sent) {
			e.lose(now, r, "its worker does not list it")
		}
	}
	e.observe(now, w)
	if !w.known {
		// An earlier owner, or this one before the worker started again, may
		// have granted a lease up to the longest.
		w.leaseEnd = max(w.leaseEnd, w.clock+e.Limits.LeaseMax)
		w.known = true
		e.noteWorker(now, w, "Known", "")
		e.found(w.ID)
	}
}

// running applies an entry of a worker's list of runs.
func (e *Engine) running(now time.Time, w *worker, rs guavascale.RunState) {
	r := w.runs[rs.Run]
	if r == nil {
		r = e.adopt(now, w, rs.Run)
	}
	if r == nil {
		e.orders = append(e.orders, e.stopOrder(w, rs.Run))
		return
	}
	r.progressed(now, rs.Percent)
	r.tail, r.used = rs.Tail, rs.Used
	if rs.Checkpoint != "" {
		r.task.checkpoint = rs.Checkpoint
	}
	switch {
	case r.phase == phaseStarting:
		r.phase, r.confirmed, r.unanswered = phaseRunning, now, false
		r.begun = now
	case r.phase == phaseStopping && !r.confirmed.IsZero() && now.Sub(r.stopSent) > e.Limits.StopGrace:
		e.stopAgain(now, r)
	}
}

// adopt takes over a run that this engine did not start, if its task has none.
func (e *Engine) adopt(now time.Time, w *worker, id guavascale.Run) *run {
	t := e.task(id.Task)
	if t == nil {
		return nil
	}
	t.attempt = max(t.attempt, id.Attempt)
	r := &run{id: id, task: t, worker: w, phase: phaseRunning, confirmed: now, begun: now, sent: now, pace: fullPace}
	wanted := t.wanted() && (len(t.runs) == 0 || t.step.spec.Copies)
	e.addRun(r)
	if t.step.spec.Service {
		// Failures are not counted, and no other run of it is left.
		t.inherited = false
	}
	e.noteRun(now, EventAdopted, r, "", "")
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
	i := ref.Occurrence*len(s.Steps) + ref.Step
	if i >= len(s.steps) || ref.Index < 0 || ref.Index >= len(s.steps[i].tasks) {
		return nil
	}
	return s.steps[i].tasks[ref.Index]
}

// ended applies the end of a run.
func (e *Engine) ended(now time.Time, w *worker, end guavascale.RunEnd) {
	t := e.task(end.Run.Task)
	if t == nil {
		return
	}
	r := w.runs[end.Run]
	if r == nil && slices.Contains(t.failed, end.Run.Attempt) {
		// The worker repeats what was applied already, by this owner or by an
		// earlier one.
		return
	}
	t.attempt = max(t.attempt, end.Run.Attempt)
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	age := time.Duration(-1)
	if r != nil {
		age = now.Sub(r.begun)
		e.removeRun(r)
		if t.step.spec.Filler {
			e.gone(now, t.step.spec.Kind, w)
		}
	}
	e.note(Event{
		Kind: EventRunEnded, Submission: t.step.sub.ID, Run: end.Run, Worker: w.ID,
		Outcome: string(end.Outcome), Age: age, Value: float64(len(t.failed)),
	})
	if t.done || t.step.sub.state.Ended() {
		return
	}
	switch end.Outcome {
	case guavascale.RunDone:
		w.failures = 0
		if r != nil {
			t.step.finished(age)
		}
		e.done(now, t)
	case guavascale.RunFailed:
		w.failures++
		if w.failures >= failuresToAvoid {
			w.avoidUntil = now.Add(avoidFor)
		}
		t.failedOn = append(t.failedOn, w.ID)
		e.failed(now, t, end.Run.Attempt)
	default:
		e.markDirty(now, t.step.sub, false)
	}
	e.reopen(t.step)
}

func (e *Engine) done(now time.Time, t *task) {
	if t.step.spec.Service {
		e.markDirty(now, t.step.sub, false)
		return
	}
	if t.step.spec.Gang {
		// One end stands for all members.
		for _, m := range t.step.tasks {
			e.finish(now, m)
		}
	} else {
		e.finish(now, t)
	}
	e.markDirty(now, t.step.sub, false)
	e.advance(now, t.step)
}

func (e *Engine) finish(now time.Time, t *task) {
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
	for _, r := range t.runs {
		e.stop(now, r)
	}
}

func (e *Engine) failed(now time.Time, t *task, attempt int64) {
	t.failed = append(t.failed, attempt)
	if len(t.failed) > maxFailures {
		// Only services come here; their failures are not bounded.
		t.failed = slices.Delete(t.failed, 0, 1)
		t.failedOn = slices.Delete(t.failedOn, 0, 1)
	}
	s := t.step.sub
	e.markDirty(now, s, false)
	t.notBefore = now.Add(time.Duration(len(t.failed)) * retryDelay)
	q := e.queue(s)
	if t.step.spec.Service || q == nil || q.MaxAttempts <= 0 {
		return
	}
	failures := len(t.failed)
	if t.step.spec.Gang {
		failures = 0
		for _, m := range t.step.tasks {
			failures = max(failures, len(m.failed))
		}
	}
	if failures >= min(q.MaxAttempts, maxFailures) {
		e.end(now, s, guavascale.SubmissionFailed)
	}
}

// lose writes off a run that can't be running any more.
func (e *Engine) lose(now time.Time, r *run, reason string) {
	e.noteRun(now, EventLost, r, "", reason)
	e.removeRun(r)
	e.reopen(r.task.step)
}

// found notes that a worker of an earlier owner's fleet told its runs.
func (e *Engine) found(id guavascale.WorkerID) { delete(e.missing, id) }

// inheritedKnown reports whether every run of an earlier owner is known.
func (e *Engine) inheritedKnown() bool { return len(e.missing) == 0 }

func (e *Engine) addRun(r *run) {
	t := r.task
	if len(t.runs) == 0 && !t.done {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	t.step.perWorker[r.worker.ID]++
	w := r.worker
	w.runs[r.id] = r
	w.count(t, 1)
	s := t.step.sub
	s.started = true
	if s.state == guavascale.SubmissionQueued {
		s.state = guavascale.SubmissionRunning
	}
}

// count adds a run of a task to what the worker carries, n times.
func (w *worker) count(t *task, n int64) {
	size := t.size()
	w.used = w.used.Add(guavascale.Resources{
		MilliCores: n * size.MilliCores, MemoryMB: n * size.MemoryMB, Accelerators: n * size.Accelerators,
	})
	if t.step.spec.Filler {
		w.fillers += n * t.step.spec.Size.MilliCores
	}
	if t.step.spec.Service {
		w.services += n * t.step.spec.Size.MilliCores
	}
	w.loadsValid = false
}

func (e *Engine) removeRun(r *run) {
	t, w := r.task, r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	if w.durable && !w.mayHoldRuns() {
		e.fleetDirty = true
	}
	w.count(t, -1)
	if t.step.perWorker[w.ID]--; t.step.perWorker[w.ID] <= 0 {
		delete(t.step.perWorker, w.ID)
	}
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
	}
}

// reopen queues a step again that has tasks to place.
func (e *Engine) reopen(st *step) {
	if st.waiting == 0 || st.sub.state.Ended() || st.opened {
		return
	}
	e.openSteps(st.sub)
}
