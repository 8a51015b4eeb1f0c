package guavaqueue

import (
	"errors"
	"time"

	"guavascale.example"
)

type (
	// OrderKind is what an order asks of a worker.
	OrderKind int

	// Order is a call to a worker. The owner carries out the orders of one
	// worker side by side and reports each outcome once with Answer.
	Order struct {
		Kind   OrderKind
		Worker guavascale.Worker
		// Run is set except for OrderHold.
		Run guavascale.Run
		// Start is set for OrderStart, Hold for OrderHold, Percent for
		// OrderPace.
		Start   guavascale.RunStart
		Hold    guavascale.Hold
		Percent int
		// Timeout bounds the call.
		Timeout time.Duration
		// Sent is when the engine returned the order.
		Sent time.Time
	}

	// Outcome is what came of an order.
	Outcome struct {
		// Err is nil, a RunError or an UnavailableError.
		Err   error
		Clock guavascale.WorkerClock
		// Report is set for OrderHold.
		Report guavascale.RunReport
	}
)

const (
	OrderHold OrderKind = iota
	OrderStart
	OrderStop
	OrderPace
)

const (
	// orderTimeout bounds a start or a stop. A sound worker answers within a
	// few milliseconds.
	orderTimeout = 1000 * time.Millisecond
	// resendAfter is when an order without an answer is sent again.
	resendAfter = 300 * time.Millisecond
	// holdWait is how long a worker with runs may hold back its lists,
	// holdWaitIdle one without, and holdWaitDisturbed one with a service that
	// misses its target beside fillers.
	holdWait          = 1000 * time.Millisecond
	holdWaitIdle      = 2000 * time.Millisecond
	holdWaitDisturbed = 500 * time.Millisecond
	// holdSlack is added to the wait to bound the call.
	holdSlack = 1000 * time.Millisecond
	// holdPause spaces lists while ends wait to become durable, and calls to a
	// worker that doesn't answer.
	holdPause = 250 * time.Millisecond
	// maxStartsOut bounds the unanswered starts on one worker.
	maxStartsOut = 16
	// roomPause keeps starts from a worker that had no room.
	roomPause = 150 * time.Millisecond
	fullPace  = 100
)

// String returns the name of the kind for logs.
func (k OrderKind) String() string {
	return [...]string{"Hold", "Start", "Stop", "Pace"}[k]
}

// Orders decides what to do now and returns the orders. MayAct tells whether
// the owner may give orders; without it only time is accounted for. Sole tells
// whether no other daemon can own the shard yet: without it another owner may
// have extended leases, and none counts as over.
func (e *Engine) Orders(now time.Time, mayAct, sole bool) []Order {
	for s := range e.scheduled {
		if !s.state.Ended() {
			e.openOccurrences(now, s)
		}
	}
	e.sole = sole
	for id, w := range e.workers {
		w.sure = w.known && (sole || w.sure)
		e.checkLease(now, id, w, sole)
	}
	if sole && len(e.missing) > 0 && now.After(e.missingUntil) {
		clear(e.missing)
		e.fleetDirty = true
	}
	if mayAct && !e.deposed {
		e.resend(now)
		e.empty(now)
		e.findCandidates(now)
		e.place(now)
		e.straggle(now)
		for _, w := range e.workers {
			e.hold(now, w)
		}
	}
	out := e.orders
	e.orders = nil
	if !mayAct || e.deposed {
		return nil
	}
	for i := range out {
		out[i].Sent = now
	}
	return out
}

// checkLease writes off the runs of a worker whose lease must have ended, and
// forgets a worker that is gone.
func (e *Engine) checkLease(now time.Time, id guavascale.WorkerID, w *worker, sole bool) {
	if sole && len(w.runs) > 0 && w.lapsed(now) {
		for _, r := range w.runs {
			e.lose(now, r, "the lease has ended")
		}
		e.noteWorker(now, w, "Lapsed", "no answer until the end of its lease")
		w.known = false
	}
	if !w.listed && len(w.runs) == 0 && !w.holdOut && (w.clockAt.IsZero() || w.lapsed(now)) {
		delete(e.workers, id)
		if e.fleet[id] {
			e.fleetDirty = true
		}
	}
}

func (e *Engine) leaseEnd(now time.Time, w *worker) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	end := w.clockNow(now) + min(leaseWanted, e.Limits.LeaseMax)
	w.leaseEnd = max(w.leaseEnd, end.Truncate(time.Millisecond))
	return w.leaseEnd
}

// hold asks a worker for its lists when it is time.
func (e *Engine) hold(now time.Time, w *worker) {
	if w.holdOut {
		return
	}
	since := now.Sub(w.holdAt)
	waiting := w.seen > w.acked
	switch {
	case !w.listed && len(w.runs) == 0:
		return
	case w.misses > 0 && since < holdPause*time.Duration(min(w.misses, 4)):
		return
	case waiting && since < holdPause:
		// The ends would come again at once; the commit is on its way.
		return
	}
	wait := holdWait
	switch {
	case !w.known || waiting || w.misses > 0:
		wait = 0
	case len(w.runs) == 0:
		wait = holdWaitIdle
	case w.fillers > 0 && !w.missedSince.IsZero():
		wait = holdWaitDisturbed
	}
	// A worker that did not answer gets no longer lease until it does, so that
	// the end of its lease is a matter of time.
	lease := time.Duration(0)
	if w.misses == 0 {
		lease = e.leaseEnd(now, w)
	}
	w.holdOut, w.holdAt = true, now
	e.orders = append(e.orders, Order{
		Kind: OrderHold, Worker: w.Worker, Timeout: wait + holdSlack,
		Hold: guavascale.Hold{Token: e.Token, Seen: w.acked, LeaseEnd: lease, Wait: wait},
	})
}

// start begins an attempt of a task on a worker.
func (e *Engine) start(now time.Time, t *task, w *worker, attempt int64) {
	t.attempt = attempt
	r := &run{
		id: guavascale.Run{Task: t.ref(), Attempt: attempt}, task: t, worker: w,
		sent: now, begun: now, orderOut: true, pace: fullPace,
	}
	if t.step.spec.Service && w.services == 0 {
		e.spare[w.Service]--
	}
	e.addRun(r)
	e.note(Event{
		Kind: EventStart, Submission: t.step.sub.ID, Run: r.id, Worker: w.ID,
		Reason: e.class(t.step), Age: now.Sub(t.step.sub.accepted),
	})
	e.sendStart(now, r)
}

func (e *Engine) sendStart(now time.Time, r *run) {
	r.orderOut, r.sent = true, now
	r.worker.startsOut++
	e.orders = append(e.orders, Order{
		Kind: OrderStart, Worker: r.worker.Worker, Run: r.id, Timeout: orderTimeout,
		Start: guavascale.RunStart{
			Run: r.id, Payload: r.task.step.sub.Payload, Checkpoint: r.task.checkpoint,
			LeaseEnd: e.leaseEnd(now, r.worker), Token: e.Token,
		},
	})
}

// stop ends a run.
func (e *Engine) stop(now time.Time, r *run) {
	if r.phase == phaseStopping {
		return
	}
	r.phase, r.confirmed = phaseStopping, time.Time{}
	r.worker.unsettled++
	e.noteRun(now, EventStop, r, string(r.task.step.sub.state), "")
	e.stopAgain(now, r)
}

func (e *Engine) stopAgain(now time.Time, r *run) {
	r.stopSent = now
	e.orders = append(e.orders, e.stopOrder(r.worker, r.id))
}

func (e *Engine) stopOrder(w *worker, id guavascale.Run) Order {
	return Order{Kind: OrderStop, Worker: w.Worker, Run: id, Timeout: orderTimeout}
}

// resend repeats orders that got no answer.
func (e *Engine) resend(now time.Time) {
	for _, w := range e.workers {
		if w.unsettled == 0 {
			continue
		}
		unsettled := 0
		for _, r := range w.runs {
			switch {
			case r.phase == phaseStopping && r.confirmed.IsZero():
				unsettled++
				if now.Sub(r.stopSent) > resendAfter {
					e.stopAgain(now, r)
				}
			case r.phase == phaseStarting && r.unanswered:
				unsettled++
				if !r.orderOut && now.Sub(r.sent) > resendAfter && e.fenced(w) && w.misses == 0 {
					e.sendStart(now, r)
				}
			}
		}
		w.unsettled = unsettled
	}
}

// Answer applies the outcome of an order.
func (e *Engine) Answer(now time.Time, o Order, out Outcome) {
	w := e.workers[o.Worker.ID]
	if w == nil {
		return
	}
	refusal := refusalOf(out.Err)
	if refusal == guavascale.RefusedToken {
		e.deposed = true
	}
	if o.Kind != OrderHold && (out.Err == nil || refusal != "") {
		e.heard(now, o.Sent, w, out.Clock)
	}
	if o.Kind == OrderHold {
		if !w.holdOut || !o.Sent.Equal(w.holdAt) {
			// The worker has started again since.
			return
		}
		w.holdOut = false
		e.holdAnswered(now, w, o, out, refusal)
		return
	}
	if o.Kind == OrderStart {
		w.startsOut--
	}
	r := w.runs[o.Run]
	if r == nil {
		return
	}
	switch o.Kind {
	case OrderStart:
		e.startAnswered(now, r, out.Err, refusal)
	case OrderStop:
		if out.Err == nil && r.phase == phaseStopping && r.confirmed.IsZero() {
			r.confirmed = now
		}
	case OrderPace:
		if out.Err != nil && r.pace == o.Percent {
			// Not known to be slower; the next figures decide again.
			r.pace = fullPace
		}
	}
}

func (e *Engine) holdAnswered(now time.Time, w *worker, o Order, out Outcome, refusal guavascale.RunRefusal) {
	switch {
	case out.Err == nil:
		e.report(now, o.Sent, w, out.Report)
	case refusal == guavascale.RefusedBoot:
		// The address belongs to another worker now: this one has ended.
		for _, r := range w.runs {
			e.lose(now, r, "its address belongs to another worker")
		}
		e.found(w.ID)
		w.listed = false
	default:
		if w.misses++; w.misses == 1 {
			e.noteWorker(now, w, "Unreachable", errorText(out.Err))
		}
	}
}

func (e *Engine) startAnswered(now time.Time, r *run, err error, refusal guavascale.RunRefusal) {
	r.orderOut = false
	if err == nil {
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		if r.phase == phaseRunning && r.confirmed.IsZero() {
			r.confirmed, r.begun, r.unanswered = now, now, false
		}
		return
	}
	if refusal == "" {
		r.unanswered = true
		r.worker.unsettled++
		return
	}
	w := r.worker
	e.noteRun(now, EventRefused, r, string(refusal), "")
	switch refusal {
	case guavascale.RefusedRoom:
		w.avoidUntil = now.Add(roomPause)
	case guavascale.RefusedSick:
		w.avoidUntil = now.Add(avoidFor)
	case guavascale.RefusedInvalid:
		r.task.notBefore = now.Add(avoidFor)
	case guavascale.RefusedAttempt:
		// The worker knows an end of this attempt, which its list will tell.
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
		return
	}
	if r.phase != phaseStarting {
		return
	}
	if r.unanswered {
		// An earlier copy of the order may still arrive; the stop prevents it.
		e.stop(now, r)
		return
	}
	e.lose(now, r, "the start was refused: "+string(refusal))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func refusalOf(err error) guavascale.RunRefusal {
	var refused *guavascale.RunError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
