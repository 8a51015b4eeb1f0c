package guavashard

import (
	"errors"
	"slices"
	"strings"
	"time"

	"guavascale.example"
)

// HandleReport processes a worker's response to a message that was sent at
// sentAt, or the error of the call.
func (s *Shard) HandleReport(now, sentAt time.Time, id guavascale.WorkerID, r guavascale.Report, err error) Effects {
	s.now = later(s.now, now)
	w := s.workers[id]
	if w == nil {
		return Effects{}
	}
	w.inFlight = false
	forgotten := w.forgetInFlight
	w.forgetInFlight = nil
	var rejected *guavascale.OrderError
	if errors.As(err, &rejected) {
		r, err = rejected.Report, nil
	}
	if err != nil || r.Incarnation == "" || r.Epoch > s.Epoch {
		// A higher epoch means that another owner has taken over the shard. This
		// owner detects that through its lease.
		return s.takeEffects()
	}
	if w.incarnation != r.Incarnation {
		w.incarnation = r.Incarnation
		w.clockMs = 0
		w.reports, w.reportVersion = nil, 0
	}
	if r.ClockMs >= w.clockMs {
		w.clockMs, w.clockAt = r.ClockMs, now
	}
	w.lastReportAt = now
	if r.Epoch == s.Epoch {
		w.fenced = true
	}
	w.mergeReport(&r)
	if rejected == nil {
		for _, a := range forgotten {
			delete(w.reports, a)
		}
	}
	s.reconcileAttempts(w, sentAt)
	return s.takeEffects()
}

// mergeReport updates the stored reports from a full or an incremental report.
func (w *workerState) mergeReport(r *guavascale.Report) {
	if r.Since == 0 || w.reports == nil {
		w.reports = make(map[guavascale.AttemptID]guavascale.AttemptReport, len(r.Attempts))
	}
	for _, a := range r.Attempts {
		w.reports[a.Attempt] = a
	}
	w.reportVersion = r.Version
}

func (s *Shard) reconcileAttempts(w *workerState, sentAt time.Time) {
	known := make(map[guavascale.AttemptID]bool, len(w.tasks))
	for _, e := range w.tasks {
		known[e.attempt] = true
		s.reconcileAttempt(w, e, w.reports[e.attempt], sentAt)
	}
	s.reconcileUnlogged(w, known)
}

// reconcileUnlogged handles reported attempts that the log does not assign to
// the worker. Unless the result of an ended attempt is adopted, the worker may
// forget it; attempts that have not ended are orphans and are stopped.
func (s *Shard) reconcileUnlogged(w *workerState, known map[guavascale.AttemptID]bool) {
	knownOrphans := w.orphans
	w.forgettable, w.orphans = nil, nil
	for id, a := range w.reports {
		switch {
		case known[id]:
		case a.State.Ended() && s.adoptResult(w, id, a):
		case a.State.Ended():
			w.forgettable = append(w.forgettable, id)
		default:
			w.orphans = append(w.orphans, id)
			if !slices.Contains(knownOrphans, id) {
				s.Orphans++
			}
		}
	}
	slices.Sort(w.forgettable)
	slices.Sort(w.orphans)
}

// adoptResult uses the result of an attempt whose lease was considered expired
// while its worker was unresponsive, unless a start order for the next attempt
// has been sent: a completed task is recorded as done, and one with a checkpoint
// resumes from it. It reports whether the worker has to keep the attempt until
// the change is in the log.
func (s *Shard) adoptResult(w *workerState, id guavascale.AttemptID, a guavascale.AttemptReport) bool {
	name, _, _ := strings.Cut(string(id), "#")
	e := s.tasks[guavascale.TaskID(name)]
	if e == nil || e.adoptableAttempt() != id {
		return false
	}
	if e.startInherited && !s.startUnknown(e) {
		// Its worker's report shows first whether the current attempt has started.
		return true
	}
	if e.proposed != nil {
		return true
	}
	if a.State == guavascale.AttemptDone {
		s.recordSuccess(w, &e.task)
		s.Completions++
		s.endTask(e, guavascale.TaskDone, "")
		return true
	}
	if a.Checkpoint == "" || a.Checkpoint == e.task.Checkpoint {
		return false
	}
	t := e.task
	t.Checkpoint = a.Checkpoint
	if awaitsWorker(&t) {
		t.State = guavascale.TaskSuspended
	}
	s.proposeTask(t, t.Urgent)
	return true
}

// adoptableAttempt returns the attempt whose result can still be adopted, or "".
// It is the last attempt if the task waits for a worker, or the one before the
// current attempt if the current one has not been sent to its worker, or may have been
// sent by an earlier owner and is not known to run.
func (e *taskEntry) adoptableAttempt() guavascale.AttemptID {
	switch {
	case awaitsWorker(&e.task):
		return e.attempt
	case e.task.State == guavascale.TaskStarting && (!e.startSent || e.startInherited && !e.reportedRunning):
		last := e.task
		last.Attempt--
		return last.AttemptID()
	default:
		return ""
	}
}

// adoptReportedResult adopts the result of a task's last attempt if the worker
// reported it while a change of the task was being committed.
func (s *Shard) adoptReportedResult(e *taskEntry) {
	id := e.adoptableAttempt()
	if id == "" || e.task.Attempt == 0 {
		return
	}
	if w := s.workers[e.previousWorker]; w != nil {
		s.adoptFrom(w, id)
		return
	}
	// A snapshot does not hold the worker of the last attempt.
	for _, w := range s.sortedWorkers {
		if s.adoptFrom(w, id) {
			return
		}
	}
}

// adoptFrom adopts the result of an attempt if the worker has reported its end, and
// reports whether it has.
func (s *Shard) adoptFrom(w *workerState, id guavascale.AttemptID) bool {
	a, ok := w.reports[id]
	if !ok || !a.State.Ended() {
		return false
	}
	s.adoptResult(w, id, a)
	return true
}

// reconcileAttempt compares a task that the log assigns to the worker with the
// worker's report of its attempt. A zero report means that the worker did not
// report the attempt.
func (s *Shard) reconcileAttempt(w *workerState, e *taskEntry, a guavascale.AttemptReport, sentAt time.Time) {
	// Ignore a report that was requested before the attempt was logged: it may
	// be older than the attempt, and one from an earlier incarnation would look
	// like a restart of the worker.
	if e.proposed != nil || sentAt.Before(e.appliedAt) {
		return
	}
	t := e.task
	if t.Incarnation != w.incarnation {
		// The worker was restarted, which ended all attempts of the earlier
		// incarnation.
		s.endAttempt(e, "worker restarted")
		return
	}
	switch a.State {
	case guavascale.AttemptRunning, guavascale.AttemptStopping:
		e.reportedRunning = true
	case guavascale.AttemptDone:
		s.recordSuccess(w, &t)
		s.Completions++
		s.endTask(e, guavascale.TaskDone, "")
	case guavascale.AttemptFailed:
		s.Failures++
		s.failAttempt(w, e, a.Reason)
	case guavascale.AttemptStopped:
		s.handleStopped(e, a)
	case guavascale.AttemptExpired:
		s.Expirations++
		e.task.Checkpoint = latestCheckpoint(a.Checkpoint, t.Checkpoint)
		s.endAttempt(e, "lease expired")
	case guavascale.AttemptRejected:
		s.endAttempt(e, "rejected by worker: "+a.Reason)
	default:
		s.handleUnknownAttempt(w, e, sentAt)
	}
}

// handleUnknownAttempt handles an attempt that the worker does not report. The
// attempt is ended as never started once no start order for it can take effect:
// the worker rejects orders of earlier owners, and those of this owner have
// expired.
func (s *Shard) handleUnknownAttempt(w *workerState, e *taskEntry, sentAt time.Time) {
	if !w.fenced || e.reportedRunning {
		return
	}
	if e.startInherited {
		s.adoptReportedResult(e)
		if e.proposed != nil {
			return
		}
	}
	if e.task.State == guavascale.TaskStarting && s.canSendStarts(w) {
		return
	}
	if e.startSent && !sentAt.After(e.startExpiry) {
		return
	}
	s.endAttempt(e, "start was not delivered")
}

func latestCheckpoint(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// handleStopped handles an attempt that was ended by a stop order.
func (s *Shard) handleStopped(e *taskEntry, a guavascale.AttemptReport) {
	e.task.Checkpoint = latestCheckpoint(a.Checkpoint, e.task.Checkpoint)
	s.endAttempt(e, e.task.Reason)
}

// endAttempt proposes the end of the current attempt. The task waits for its
// next attempt, unless it was cancelled or is a service instance being stopped.
func (s *Shard) endAttempt(e *taskEntry, reason string) {
	t := e.task
	switch {
	case s.cancelled(&t):
		s.endTask(e, guavascale.TaskCancelled, t.Reason)
		return
	case t.Class == guavascale.ClassService && t.State == guavascale.TaskStopping:
		s.endTask(e, guavascale.TaskDone, reason)
		return
	case t.State == guavascale.TaskStopping || t.Checkpoint != "":
		t.State = guavascale.TaskSuspended
	default:
		t.State = guavascale.TaskPending
	}
	t.Worker, t.Incarnation, t.Reason = "", "", reason
	s.proposeTask(t, t.Urgent)
}

func (s *Shard) failAttempt(w *workerState, e *taskEntry, reason string) {
	if s.recordFailure(w, &e.task) {
		e.task.Failures++
	}
	if e.task.Failures >= maxTaskFailures && e.task.Class == guavascale.ClassBatch {
		s.endTask(e, guavascale.TaskFailed, reason)
		return
	}
	e.retryAt = s.now.Add(retryDelay(e.task.Failures))
	s.endAttempt(e, "attempt failed: "+reason)
}

// retryDelay returns the exponential backoff before the next attempt after n
// failures.
func retryDelay(n int) time.Duration {
	return min(time.Second<<min(n, 6), time.Minute)
}

// expireLeases ends the attempts of unresponsive workers whose leases have
// expired. After a takeover or a store outage it first waits for a grace period.
// If the outage was longer than the lease, workers then report the checkpoints
// that they saved when the leases expired; without them the tasks would start
// from the beginning.
func (s *Shard) expireLeases() {
	if s.inGracePeriod() {
		return
	}
	for _, w := range s.sortedWorkers {
		if s.responsive(w) {
			continue
		}
		for _, e := range w.tasks {
			switch {
			case e.proposed != nil:
			case !e.startSent && e.task.State == guavascale.TaskStarting:
				s.endAttempt(e, "worker fell silent before the start")
			case e.startSent && s.now.After(e.leaseExpiry):
				s.Expirations++
				s.endAttempt(e, "lease expired at a silent worker")
			}
		}
	}
}
