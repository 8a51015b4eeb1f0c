package guavafake

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavascale.example"
)

var (
	errWorkerDown = errors.New("the worker is down")
	errCutOff     = errors.New("the message was lost")
)

// Send delivers orders to the worker with the ID of to. It has no effect when
// ctx ends during the injected delay.
func (f *Fleet) Send(ctx context.Context, to guavascale.Worker, o guavascale.Orders) (guavascale.Report, error) {
	if err := sleep(ctx, f.delayMs(to.ID)); err != nil {
		return guavascale.Report{}, workerUnavailable(to.ID, false, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[to.ID]
	switch {
	case w == nil || w.down:
		return guavascale.Report{}, workerUnavailable(to.ID, false, errWorkerDown)
	case w.faults.CutOff:
		// The sender cannot distinguish a lost message from a lost response.
		return guavascale.Report{}, workerUnavailable(to.ID, true, errCutOff)
	}
	now := f.now()
	f.advance(w, now)
	reason := w.rejectReason(o, now)
	if reason == "" {
		w.epochs[o.Shard] = o.Epoch
		for _, order := range o.Orders {
			f.apply(w, order, now)
		}
		// Work that completes immediately must not be reported as running.
		f.advance(w, now)
	}
	report := f.report(w, o, now)
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return guavascale.Report{}, workerUnavailable(to.ID, true, errLostResponse)
	}
	for _, r := range w.runs {
		f.checker.endReported(r)
	}
	if reason != "" {
		return guavascale.Report{}, &guavascale.OrderError{Worker: to.ID, Reason: reason, Report: report}
	}
	return report, nil
}

func (f *Fleet) delayMs(id guavascale.WorkerID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return w.faults.DelayMs
	}
	return 0
}

func workerUnavailable(id guavascale.WorkerID, applied bool, cause error) error {
	return &guavascale.UnavailableError{
		System:         "worker " + string(id),
		Op:             "Send",
		MayHaveApplied: applied,
		Cause:          cause,
	}
}

// rejectReason returns why a message is rejected, or "" if it is accepted.
func (w *worker) rejectReason(o guavascale.Orders, now time.Time) string {
	hasOrders := len(o.Orders) > 0
	switch {
	case o.Epoch < w.epochs[o.Shard]:
		return guavascale.RejectEpoch
	case o.Incarnation != w.incarnation && (hasOrders || o.Incarnation != ""):
		return guavascale.RejectIncarnation
	case hasOrders && w.clockMs(now) > o.NotAfterMs:
		return guavascale.RejectLate
	default:
		return ""
	}
}

// advance applies the ends that are due by now, and deletes ended attempts
// whose retention period is over.
func (f *Fleet) advance(w *worker, now time.Time) {
	for id, r := range w.runs {
		if r.state.Ended() {
			if now.Sub(r.ended) > endedRetention {
				delete(w.runs, id)
			}
			continue
		}
		at, state := r.nextEnd(f.scale())
		if at.After(now) {
			continue
		}
		r.advance(at, f.scale())
		if state == guavascale.AttemptDone {
			r.progress = r.workSeconds()
		}
		if state == guavascale.AttemptExpired {
			r.reason = "lease expired"
			r.saveOnEnd = true
		}
		f.end(w, r, state, at)
	}
}

// end ends an attempt, and saves a checkpoint if one was requested.
func (f *Fleet) end(w *worker, r *run, state guavascale.AttemptState, at time.Time) {
	r.state = state
	r.ended = at
	saves := state == guavascale.AttemptStopped || state == guavascale.AttemptExpired
	if r.saveOnEnd && saves && r.task.Class == guavascale.ClassBatch {
		r.checkpoint = f.saveCheckpoint(r)
	}
	f.checker.ended(w, r, state)
}

func (f *Fleet) saveCheckpoint(r *run) string {
	if f.checkpoints == nil {
		f.checkpoints = map[string]checkpoint{}
	}
	f.checkpointCount++
	ref := fmt.Sprintf("Checkpoint/%s/%d", r.id, f.checkpointCount)
	f.checkpoints[ref] = checkpoint{task: r.task.ID, seconds: r.progress}
	return ref
}

func (f *Fleet) apply(w *worker, o guavascale.Order, now time.Time) {
	r := w.runs[o.Attempt]
	switch {
	case o.Kind == guavascale.OrderStart && r == nil:
		f.start(w, o, now)
	case o.Kind == guavascale.OrderStop && r == nil:
		// Records the end, so that a start that arrives after the stop has no
		// effect.
		w.runs[o.Attempt] = &run{id: o.Attempt, state: guavascale.AttemptStopped, reason: "never started", ended: now}
	case r == nil:
	case o.Kind == guavascale.OrderForget && r.state.Ended():
		delete(w.runs, o.Attempt)
	case o.Kind == guavascale.OrderRenew && r.state == guavascale.AttemptRunning:
		r.leaseEnd = now.Add(time.Duration(o.LeaseMs) * time.Millisecond)
	case o.Kind == guavascale.OrderThrottle && r.state == guavascale.AttemptRunning:
		r.advance(now, f.scale())
		r.percent = min(max(o.Percent, 1), fullPercent)
	case o.Kind == guavascale.OrderStop && r.state == guavascale.AttemptRunning:
		f.stop(w, r, o.Checkpoint, now)
	}
}

func (f *Fleet) stop(w *worker, r *run, save bool, now time.Time) {
	r.advance(now, f.scale())
	r.saveOnEnd = save
	if f.StopTime <= 0 {
		f.end(w, r, guavascale.AttemptStopped, now)
		return
	}
	r.state = guavascale.AttemptStopping
	r.stopEnd = now.Add(f.StopTime)
}

func (f *Fleet) start(w *worker, o guavascale.Order, now time.Time) {
	r := &run{
		id:         o.Attempt,
		state:      guavascale.AttemptRunning,
		started:    now,
		progressAt: now,
		percent:    fullPercent,
		leaseEnd:   now.Add(time.Duration(o.LeaseMs) * time.Millisecond),
	}
	if o.Task != nil {
		r.task = *o.Task
	}
	r.reason = f.startRejectReason(w, o)
	if r.reason != "" {
		r.state = guavascale.AttemptRejected
		r.ended = now
		w.runs[r.id] = r
		return
	}
	r.progress = f.checkpoints[r.task.Checkpoint].seconds
	f.advanceOtherRuns(r.task.ID, now)
	f.checker.started(w, r, now)
	w.runs[r.id] = r
	if w.faults.FailStarts {
		r.reason = "the worker fails every start"
		f.end(w, r, guavascale.AttemptFailed, now)
	}
}

// startRejectReason returns why a start is rejected, or "" if it is accepted.
func (f *Fleet) startRejectReason(w *worker, o guavascale.Order) string {
	switch {
	case o.Task == nil:
		return "the order has no task"
	case w.info.Leaving:
		return "the worker is leaving"
	case o.Task.Checkpoint != "" && f.checkpoints[o.Task.Checkpoint].task != o.Task.ID:
		return fmt.Sprintf("checkpoint %q of the task does not exist", o.Task.Checkpoint)
	case f.RejectFull && !w.info.Capacity.Fits(w.used().Add(o.Task.Size)):
		f.checker.verdict.NoRoom++
		return "the worker has no room"
	default:
		return ""
	}
}

// advanceOtherRuns applies the ends that are due on the workers that run a
// task, so that the checker does not count an ended attempt as running.
func (f *Fleet) advanceOtherRuns(id guavascale.TaskID, now time.Time) {
	for other := range f.checker.running[id] {
		f.advance(f.workers[other.worker], now)
	}
}

// report contains the attempts that changed after the version that the sender
// has. A version from an earlier boot is ignored.
func (f *Fleet) report(w *worker, o guavascale.Orders, now time.Time) guavascale.Report {
	report := guavascale.Report{
		Worker:      w.info.ID,
		Incarnation: w.incarnation,
		ClockMs:     w.clockMs(now),
		Epoch:       w.epochs[o.Shard],
	}
	if o.Since>>bootShift == uint64(w.boots) {
		report.Since = o.Since
	}
	f.takeSamples(w, now)
	for _, r := range w.sortedRuns() {
		r.updateReport(w, now, f.UsageLag)
		if r.version > report.Since {
			report.Attempts = append(report.Attempts, r.lastReport)
		}
	}
	report.Version = w.version
	return report
}

// updateReport assigns a new version to the attempt when its report changed. A
// change in the age of the usage alone is not counted.
func (r *run) updateReport(w *worker, now time.Time, lag time.Duration) {
	next := r.report(w, now, lag)
	last := r.lastReport
	last.UsageAgeMs = next.UsageAgeMs
	if r.version != 0 && next == last {
		return
	}
	w.version++
	r.lastReport, r.version = next, w.version
}

// sortedRuns returns the attempts ordered by ID, so that reports are
// deterministic.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}
