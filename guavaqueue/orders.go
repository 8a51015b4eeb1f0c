package guavaqueue

import (
	"errors"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaattempt"
	"guavascale.example/guavaclock"
	"guavascale.example/guavacrash"
	"guavascale.example/guavaevent"
	"guavascale.example/guavahold"
	"guavascale.example/guavaorder"
	"guavascale.example/guavastarvation"
	"guavascale.example/guavastraggler"
)

const (
	// holdStep is how far the worker that may be asked first moves with each pass.
	holdStep = 64
	// maxPendingStarts bounds the number of unanswered starts per worker.
	maxPendingStarts = 16
	// gangRetryDelay is how long a gang of which one member was refused gets no starts.
	gangRetryDelay = 500 * time.Millisecond
	fullPace       = 100
)

// Orders runs a scheduling pass and returns the orders to send. Without permission
// to act, the pass only handles due occurrences and expired leases.
func (e *Engine) Orders(now time.Time, may guavaorder.Permissions) []guavaorder.Order {
	for s := range e.scheduled {
		if !s.state.Ended() {
			e.startDueOccurrences(now, s)
		}
	}
	e.soleOwner, e.oldCapacity, e.leasesUntil = may.Sole, may.OldCapacity, may.LeasesUntil
	if may.Sole && e.missing.Expire(now) {
		e.fleetDirty = true
	}
	if !e.inheritedRunsKnown() {
		e.inheritedUnknownAt = now
	}
	e.applyVerdicts(now, e.openStarts.Settle(func(c guavacrash.Case[*task]) guavacrash.Fate { return e.fate(now, c) }))
	act := may.Act && !e.deposed
	e.firstHolds.Reset()
	e.clearPools()
	for i := len(e.workerList) - 1; i >= 0; i-- {
		w := e.workerList[i]
		w.bootConfirmed = w.known && (may.Sole || w.bootConfirmed)
		if w.holdPending && !w.known {
			e.firstHolds.Count(w.Zone, now.Sub(w.holdAt), w.failedHolds)
		}
		if w.listed {
			w.pool.size = max(w.pool.size, w.Capacity.MilliCores)
		}
		if e.checkLease(now, w, may.Sole); !act {
			continue
		}
		e.resend(now, w, may.Start)
		e.drain(now, w)
		e.addCandidate(now, w)
	}
	if !act {
		e.orders = nil
		return nil
	}
	e.countInherited(now)
	e.orderRecorded(now, may.Start)
	if may.Start {
		e.reserveWorkers(now)
		e.place(now)
		e.replaceStragglers(now)
		if may.Sole {
			e.vacate(now)
		}
	}
	e.holdOffset += holdStep
	for i := range e.workerList {
		e.hold(now, e.workerList[(i+e.holdOffset)%len(e.workerList)])
	}
	out := e.orders
	e.orders = nil
	for i := range out {
		out[i].Sent = now
	}
	return out
}

// checkLease marks the runs of a worker as lost if its lease must have expired,
// and removes a worker that is gone.
func (e *Engine) checkLease(now time.Time, w *worker, sole bool) {
	silent := w.failedHolds > 0
	if sole && (len(w.runs)+len(w.strays) > 0 || silent && e.missing.Listing[w.ID]) && w.lease.Expired(now, w.clock) {
		e.recordCrash(now, w, e.hasEnded(now, guavacrash.Start{Worker: w.ID, Address: w.AgentAddress}))
		for _, r := range w.runs {
			e.markLost(now, r, "the lease expired")
		}
		w.used = w.used.Sub(w.strays.Drop())
		e.emitWorker(now, w, "Lapsed", "no answer before the lease expired")
		if w.known = false; silent {
			w.moreEnds = false
			e.missing.Reported(w.ID, false)
		}
	}
	if !w.listed && len(w.runs)+len(w.strays) == 0 && !w.holdPending && w.pendingStarts == 0 && !w.ends.LostAck(now, e.Limits.OrderDelay) && (!w.clock.Known() || w.lease.Expired(now, w.clock)) {
		until := now
		if !w.clock.Known() {
			until = now.Add(e.Limits.Longest())
		}
		e.missing.Forget(w.ID, until)
		e.removeWorker(w)
		if e.fleet[w.ID] {
			e.fleetDirty = true
		}
	}
}

// extendLease extends the worker's lease and returns its new end by the worker's
// clock, or 0 if there is no reading of that clock or a later owner may count on
// the worker's earlier leases.
func (e *Engine) extendLease(now time.Time, w *worker) time.Duration {
	if !w.clock.Known() || e.missing.Recorded[w.ID] {
		return 0
	}
	var end time.Duration
	w.lease, end = w.lease.Extend(now, w.clock, min(guavaclock.LeaseTime, e.Limits.LeaseMax), e.leasesUntil)
	return end
}

// hold extends a worker's lease and asks for its report if a hold is due.
func (e *Engine) hold(now time.Time, w *worker) {
	if w.holdPending {
		return
	}
	ack := w.ends.Ack(now, w.pendingStarts)
	ask := guavahold.Worker{
		Listed: w.listed, Known: w.known, MoreEnds: w.moreEnds, Unacked: w.ends.Kept() > 0, AcksAll: ack == w.ends.Seen,
		Disturbed: w.fillerMilliCores > 0 && !w.missedSince.IsZero(), Trial: w.trials.Taken(now), Heard: w.heard(now), NotSent: w.holdNotSent,
		Runs: len(w.runs), Failed: w.failedHolds, SinceHold: now.Sub(w.holdAt), SinceReport: now.Sub(w.reportedAt),
	}
	if ask.AwaitsTrial = ask.Trial && e.awaitsTrial(w); !ask.Due() {
		return
	}
	if !w.known && !e.firstHolds.MayAsk(w.Zone, w.failedHolds) {
		return
	}
	ask.NextEnd = w.untilNextEnd(now)
	wait := ask.Delay()
	// The lease of a worker that did not answer is not extended until it answers
	// again, so that the lease expires if it never does.
	lease := time.Duration(0)
	if w.failedHolds == 0 {
		lease = e.extendLease(now, w)
	}
	w.holdPending, w.holdAt = true, now
	w.ends.Sent(now, ack)
	e.orders = append(e.orders, guavaorder.Order{
		Kind: guavaorder.Hold, Worker: w.Worker, Timeout: wait + guavaorder.HoldMargin,
		Hold: guavascale.Hold{Token: e.Token, Seen: ack, LeaseEnd: lease, Wait: wait},
	})
}

// start starts an attempt of a task on a worker.
func (e *Engine) start(now time.Time, t *task, w *worker, attempt int64) {
	t.attempt, t.step.starved = attempt, guavastarvation.None
	if t.step.queued {
		t.step.waitingSince = now
	}
	if t.step.ordinary() && w.pool.ahead.Plan.Reserved(w) {
		w.pool.ahead.Plan.Started(now, w, e.planned(t.step))
	}
	r := &run{
		id: guavascale.Run{Task: t.ref(), Attempt: attempt}, task: t, worker: w,
		startedAt: now, pace: fullPace, heard: w.heard(now), seen: guavastraggler.Seen{Partial: t.checkpoint != "" || t.step.spec.Gang},
	}
	if t.step.spec.Service && w.serviceMilliCores == 0 {
		w.pool.spare--
	}
	e.addRun(r)
	if t.mustRecord() {
		e.recordStart(now, r)
		return
	}
	e.orderStart(now, r)
}

// orderStart orders the start of a run for the first time.
func (e *Engine) orderStart(now time.Time, r *run) {
	t, w := r.task, r.worker
	r.startedAt, r.heard = now, w.heard(now)
	w.trials.Take(now.Add(trialTime), t, t.record)
	e.emit(guavaevent.Event{
		Kind: guavaevent.Start, Submission: t.step.sub.ID, Run: r.id, Worker: w.ID, Born: w.Born,
		Reason: t.step.place.Urgency.String(), Age: now.Sub(t.step.sub.accepted),
		Trial: t.record.OnTrial(), Value: float64(t.record.Crashes + t.record.Doubts),
	})
	e.sendStart(now, r)
}

// heard reports whether the worker was heard from just now.
func (w *worker) heard(now time.Time) bool { return now.Sub(w.aliveAt) <= guavacrash.HeardTime }

func (e *Engine) sendStart(now time.Time, r *run) {
	end := e.extendLease(now, r.worker)
	if !r.worker.askedAt.After(r.worker.aliveAt) {
		r.worker.askedAt = now
	}
	r.startPending, r.sentAt, r.startEnd = true, now, max(r.startEnd, end)
	r.worker.pendingStarts++
	e.orders = append(e.orders, guavaorder.Order{
		Kind: guavaorder.Start, Worker: r.worker.Worker, Run: r.id, Timeout: guavaorder.Timeout,
		Start: guavascale.RunStart{
			Run: r.id, Payload: r.task.step.sub.Payload, Checkpoint: r.task.checkpoint,
			LeaseEnd: end, Token: e.Token,
		},
	})
}

// stop stops a run unless it is being stopped already. One that has not been ordered yet is
// removed at once.
func (e *Engine) stop(now time.Time, r *run) {
	if r.phase == phaseStopping {
		return
	}
	if r.awaitsRecord() {
		e.markLost(now, r, "not ordered: it is not wanted any more")
		return
	}
	r.phase, r.confirmedAt = phaseStopping, time.Time{}
	r.worker.unsettledRuns++
	e.emitRun(now, guavaevent.Stop, r, string(r.task.step.sub.state), "")
	e.sendStop(now, r)
}

func (e *Engine) sendStop(now time.Time, r *run) {
	r.stopSentAt = now
	e.orders = append(e.orders, e.stopOrder(r.worker, r.id))
}

func (e *Engine) stopOrder(w *worker, id guavascale.Run) guavaorder.Order {
	return guavaorder.Order{Kind: guavaorder.Stop, Worker: w.Worker, Run: id, Timeout: guavaorder.Timeout}
}

// resend repeats unanswered stop orders of a worker, and if mayStart is set, start orders that
// the next owner would know of. A start is stopped instead if the worker may get no new runs
// any more, has no room for it any more, or has answered none of its orders for too long.
func (e *Engine) resend(now time.Time, w *worker, mayStart bool) {
	if w.unsettledRuns == 0 {
		return
	}
	unsettled := 0
	for _, r := range w.runs {
		switch {
		case r.phase == phaseStopping && r.confirmedAt.IsZero():
			unsettled++
			if now.Sub(r.stopSentAt) > guavaorder.ResendAfter {
				e.sendStop(now, r)
			}
		case r.phase == phaseStarting && r.unanswered:
			unsettled++
			late := now.Sub(r.startedAt) > e.Limits.Longest()
			if late {
				r.task.avoidWorkers = append(r.task.avoidWorkers, w.ID)
			}
			if late || !e.acceptsRuns(w) {
				e.stop(now, r)
				continue
			}
			// A worker that has been silent since gets no start, whose lease would have
			// to be waited for.
			o := r.task.record.Open
			unrecorded := r.task.mustRecord() && (o == nil || o.Worker != w.ID)
			if mayStart && !unrecorded && !r.startPending && now.Sub(r.sentAt) > guavaorder.ResendAfter && w.aliveAt.After(r.sentAt) &&
				r.task.step.sub.account.MayOrder(r.task.step.spec, 1) && e.fenced(w) && w.takesStarts(now) && !w.ends.StrayAck(now, e.delays, e.Limits.OrderDelay) && e.capacityKnown(w) && w.failedHolds == 0 && !e.missing.Recorded[w.ID] {
				if w.overfull() {
					e.stop(now, r)
					continue
				}
				e.sendStart(now, r)
			}
		}
	}
	w.unsettledRuns = unsettled
}

// Answer applies the outcome of an order.
func (e *Engine) Answer(now time.Time, o guavaorder.Order, out guavaorder.Outcome) {
	w := e.workers[o.Worker.ID]
	if w == nil {
		return
	}
	refusal := out.Refusal()
	if refusal == guavascale.RefusedToken {
		e.deposed = true
	}
	if out.Err == nil && o.Sent.After(e.answeredSent) {
		e.answeredSent = o.Sent
	}
	// Another worker at the address says nothing about this one.
	if o.Kind != guavaorder.Hold && (out.Err == nil || refusal != "" && refusal != guavascale.RefusedBoot) {
		e.recordClock(now, o.Sent, w, out.Clock)
	}
	if o.Kind == guavaorder.Hold {
		if !w.holdPending || !o.Sent.Equal(w.holdAt) {
			// The worker has restarted since.
			return
		}
		w.holdPending, w.holdNotSent = false, out.NotSent
		if w.ends.Outcome(now, o, &out) && out.Report.Born <= w.Born {
			e.delays.SeenAt = now
			e.emitWorker(now, w, "GoesOn", "an earlier call got no answer")
		}
		e.holdAnswered(now, w, o, out, refusal)
		return
	}
	if !out.Answered() && !out.CertainlyNotSent() {
		w.ends.Doubt(now, o)
	}
	if o.Kind == guavaorder.Start {
		w.pendingStarts--
	}
	r := w.runs[o.Run]
	if r == nil {
		return
	}
	switch o.Kind {
	case guavaorder.Start:
		e.startAnswered(now, r, out, refusal)
	case guavaorder.Stop:
		if out.Err == nil && r.phase == phaseStopping && r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
	case guavaorder.Pace:
		if out.Err != nil && r.pace == o.Percent {
			// The run may still be at full pace; the next measurements decide
			// again.
			r.pace = fullPace
		}
	}
}

func (e *Engine) holdAnswered(now time.Time, w *worker, o guavaorder.Order, out guavaorder.Outcome, refusal guavascale.RunRefusal) {
	switch {
	case out.NotSent:
		// The owner was late, which says nothing about the worker.
	case out.Err == nil && o.Hold.Seen > 0 && w.Born != 0 && out.Report.Born > w.Born:
		// The lists lack the ends that the former boot was told to forget.
		e.handleRestart(now, w, out.Report.Born, "shown by the answer to an acknowledgement")
	case out.Err == nil:
		e.applyReport(now, o.Sent, w, out.Report)
	case refusal == guavascale.RefusedBoot:
		// Another worker has the address now, so this one has ended.
		w.processEnded = true
		e.recordCrash(now, w, true)
		for _, r := range w.runs {
			e.markLost(now, r, "another worker has its address")
		}
		w.used = w.used.Sub(w.strays.Drop())
		e.missing.Reported(w.ID, false)
		w.listed, w.moreEnds = false, false
	default:
		var unavailable *guavascale.UnavailableError
		if waited := now.Sub(o.Sent); w.failedHolds == 0 && waited > guavaorder.BrokenHold && waited < o.Hold.Wait+guavaorder.BrokenHold {
			// The connection broke while the worker delayed its report, so that the
			// worker was running until now.
			w.aliveAt = now
		}
		w.processEnded = w.processEnded || errors.As(out.Err, &unavailable) && unavailable.Refused
		if w.failedHolds++; w.failedHolds == 1 {
			e.emitWorker(now, w, "Unreachable", o.Failure(out.Err))
			for _, r := range w.runs {
				e.storeSuspicion(now, r)
			}
		}
	}
}

func (e *Engine) startAnswered(now time.Time, r *run, out guavaorder.Outcome, refusal guavascale.RunRefusal) {
	r.startPending = false
	if out.Err == nil {
		if r.phase == phaseStarting {
			r.confirmStart(now)
			r.unlisted = true
		}
		if r.worker.failedHolds > 0 {
			e.storeSuspicion(now, r)
		}
		return
	}
	if out.CertainlyNotSent() && !r.unanswered && r.phase == phaseStarting {
		if !out.NotSent {
			r.worker.attempts.Refused(now, guavascale.RefusedCapacity)
		}
		e.markLost(now, r, "start was not sent: "+guavaorder.ErrorText(out.Err))
		e.stopGang(now, r)
		return
	}
	if refusal == "" {
		r.unanswered, r.startBroke = true, now.Sub(r.sentAt) < guavaorder.BrokenStart
		r.strayUntil = r.sentAt.Add(e.Limits.Longest())
		r.worker.unsettledRuns++
		if r.startBroke {
			e.storeSuspicion(now, r)
		}
		return
	}
	w := r.worker
	e.emitRun(now, guavaevent.Refused, r, string(refusal), "")
	w.attempts.Refused(now, refusal)
	switch refusal {
	case guavascale.RefusedInvalid:
		r.task.notBefore = now.Add(guavaattempt.Backoff)
	case guavascale.RefusedAttempt:
		// This attempt has ended on the worker, which will report the end.
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		return
	}
	if r.phase != phaseStarting {
		return
	}
	if r.unanswered {
		// An earlier copy of the order may still arrive. The stop keeps it from
		// starting the run.
		e.stop(now, r)
	} else {
		e.markLost(now, r, "start refused: "+string(refusal))
	}
	e.stopGang(now, r)
}

// stopGang stops the other members of a gang of which one could not be started. They would
// wait for it in vain, and the gang is started again once they are gone.
func (e *Engine) stopGang(now time.Time, missing *run) {
	st := missing.task.step
	if !st.spec.Gang {
		return
	}
	missing.task.notBefore = now.Add(gangRetryDelay)
	for _, t := range st.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.id.Attempt == missing.id.Attempt {
				e.stop(now, r)
			}
		}
	}
}
