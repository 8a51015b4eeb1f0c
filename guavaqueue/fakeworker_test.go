package guavaqueue

import (
	"fmt"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavaorder"
)

type (
	// fakeWorker is a simulated worker. Its clock starts at bootTime.
	fakeWorker struct {
		info           guavascale.Worker
		rooms          roomHistory
		bootTime       time.Time
		token          uint64
		leaseEnd       time.Duration
		runs           map[guavascale.Run]*fakeRun
		highestAttempt map[guavascale.TaskRef]int64
		// ended holds the ends that the owner has not acknowledged.
		ended []guavascale.RunEnd
		// endedAt is when the runs in ended ended, by number, and lapsedAt when the
		// lease was last seen to have expired.
		endedAt       map[uint64]time.Time
		lapsedAt      time.Time
		lastEndNumber uint64
		// unreachable workers run on but answer no orders; removed ones are no
		// longer listed by the platform.
		unreachable bool
		removed     bool
		// ignoresOrders is set if all orders but holds, ignoresHolds if holds get no
		// answer, which takes no effect. hidesClock is set if no answer tells the clock.
		ignoresOrders, ignoresHolds, hidesClock bool
		// failAll makes all runs fail.
		failAll bool
		// slowdown is the factor by which runs take longer, 0 for 1; stuck runs
		// make no progress.
		slowdown float64
		// tailLatency is the latency that services on the worker report. paces
		// holds the latest pace of each run.
		tailLatency time.Duration
		paces       map[guavascale.Run]int
		stuck       bool
		// backAt is when a crashed worker starts again, zero if it has not crashed.
		// replaced is set once another worker has its address.
		backAt   time.Time
		replaced bool
		// pendingHold is the hold order that the worker has not answered yet.
		pendingHold *pendingOrder
	}

	// fakeRun is a run on a fakeWorker.
	fakeRun struct {
		startedAt time.Time
		// work is how long the run takes, 0 for a service.
		work time.Duration
		// percent is the progress in the latest report.
		percent int
		// stopAt is when a stop takes effect, zero without one.
		stopAt time.Time
		// gangComplete is set once all members of the run's gang were present.
		gangComplete bool
	}
)

func (f *fleet) addWorker(id string) *fakeWorker {
	w := &fakeWorker{info: guavascale.Worker{
		ID: guavascale.WorkerID(id), Zone: "z", Service: "desk", AgentAddress: id,
		Capacity: guavascale.Resources{MilliCores: 4000, MemoryMB: 8000},
	}}
	f.restartWorker(w)
	f.workers[w.info.ID] = w
	return w
}

// restartWorker restarts a worker, which loses its runs, its token and its lease.
func (f *fleet) restartWorker(w *fakeWorker) {
	if w.pendingHold != nil {
		f.pending = append(f.pending, pendingOrder{w.pendingHold.order, f.now})
	}
	// Orders that have not reached the old process are lost with it, but for those that
	// are still on the network.
	if !f.ordersOutliveBoots {
		f.delayedStarts = slices.DeleteFunc(f.delayedStarts, func(l delayedStart) bool { return l.worker == w.info.ID })
		f.delayedHolds = slices.DeleteFunc(f.delayedHolds, func(l delayedHold) bool { return l.worker == w.info.ID })
	}
	w.bootTime = f.now.Add(-time.Duration(f.rand.IntN(1000)+1) * time.Millisecond)
	w.info.Born = f.now.UnixMilli()
	w.token, w.leaseEnd, w.lastEndNumber, w.ended, w.pendingHold = 0, 0, 0, nil, nil
	w.endedAt = make(map[uint64]time.Time)
	w.runs = make(map[guavascale.Run]*fakeRun)
	w.highestAttempt = make(map[guavascale.TaskRef]int64)
}

// endRuns ends the runs of all workers that are due.
func (f *fleet) endRuns() {
	f.endGangs()
	for _, w := range f.workers {
		if w.removed {
			continue
		}
		if w.clock(f.now) > w.leaseEnd {
			w.lapsedAt = f.now
		}
		for id, r := range w.runs {
			switch {
			case w.clock(f.now) > w.leaseEnd:
				f.endRun(w, id, guavascale.RunLapsed)
			case !r.stopAt.IsZero() && !f.now.Before(r.stopAt):
				f.endRun(w, id, guavascale.RunStopped)
			case r.stopAt.IsZero() && w.failAll:
				f.endRun(w, id, guavascale.RunFailed)
			case r.stopAt.IsZero() && r.work > 0 && !w.stuck && !f.spec(id.Task).Gang && f.now.Sub(r.startedAt) >= r.work:
				f.endRun(w, id, guavascale.RunDone)
			}
		}
	}
}

// clock returns the time on the worker's own clock.
func (w *fakeWorker) clock(now time.Time) time.Duration { return now.Sub(w.bootTime) }

// reading returns what the worker tells of its clock.
func (w *fakeWorker) reading(now time.Time) guavascale.WorkerClock {
	if w.hidesClock {
		return 0
	}
	return guavascale.WorkerClock(w.clock(now))
}

// endRun ends a run and records its outcome for the next report.
func (f *fleet) endRun(w *fakeWorker, id guavascale.Run, how guavascale.RunOutcome) {
	delete(w.runs, id)
	w.lastEndNumber++
	w.endedAt[w.lastEndNumber] = f.now
	w.ended = append(w.ended, guavascale.RunEnd{Number: w.lastEndNumber, Run: id, Outcome: how})
}

// startDelayed executes the delayed starts and holds that are due.
func (f *fleet) startDelayed() {
	kept := f.delayedStarts[:0]
	for _, l := range f.delayedStarts {
		if f.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		if w := f.workers[l.worker]; !w.removed {
			f.start(w, l.start, l.sent)
		}
	}
	f.delayedStarts = kept
	keptHolds := f.delayedHolds[:0]
	for _, l := range f.delayedHolds {
		if f.now.Before(l.at) {
			keptHolds = append(keptHolds, l)
		} else if w := f.workers[l.worker]; !w.removed && w.backAt.IsZero() && l.hold.Token >= w.token {
			f.applyHold(w, l.hold)
		}
	}
	f.delayedHolds = keptHolds
}

// applyHold extends the lease of a worker, which forgets the ends that are acknowledged.
func (f *fleet) applyHold(w *fakeWorker, h guavascale.Hold) {
	w.token = h.Token
	w.leaseEnd = max(w.leaseEnd, min(h.LeaseEnd, w.clock(f.now)+testLeaseMax))
	f.dropEnds(w, h.Seen)
}

// crash ends a worker with all its runs for crashTime.
func (f *fleet) crash(w *fakeWorker) {
	if o := w.pendingHold; o != nil {
		due := f.now
		if f.silent {
			due = o.order.Sent.Add(o.order.Timeout)
		}
		f.pending = append(f.pending, pendingOrder{o.order, due})
		w.pendingHold = nil
	}
	for id := range w.runs {
		f.crashedUnder[id.Task.Submission]++
	}
	w.backAt, w.runs = f.now.Add(f.crashTime), make(map[guavascale.Run]*fakeRun)
}

// restartCrashed restarts the crashed workers that are due.
func (f *fleet) restartCrashed() {
	for id, w := range f.workers {
		if w.backAt.IsZero() || f.now.Before(w.backAt) || w.replaced {
			continue
		}
		if f.newIDs {
			w.replaced, w.removed = true, true
			f.addWorker(fmt.Sprintf("%s+", id)).info.AgentAddress = w.info.AgentAddress
		} else {
			w.backAt = time.Time{}
			f.restartWorker(w)
		}
		f.listWorkers()
	}
}

func (f *fleet) execute(w *fakeWorker, o guavaorder.Order) guavaorder.Outcome {
	out := guavaorder.Outcome{Clock: w.reading(f.now)}
	switch o.Kind {
	case guavaorder.Start:
		f.checkRecorded(o)
		out.Err = f.start(w, o.Start, f.now)
	case guavaorder.Pace:
		if w.paces == nil {
			w.paces = make(map[guavascale.Run]int)
		}
		w.paces[o.Run] = o.Percent
	case guavaorder.Stop:
		if f.engine.Token < w.token {
			out.Err = refusal(w, guavascale.RefusedToken)
			break
		}
		w.token = f.engine.Token
		w.highestAttempt[o.Run.Task] = max(w.highestAttempt[o.Run.Task], o.Run.Attempt)
		if r := w.runs[o.Run]; r != nil && r.stopAt.IsZero() {
			r.stopAt = f.now.Add(testStopGrace)
		}
	}
	return out
}

func refusal(w *fakeWorker, reason guavascale.RunRefusal) error {
	return &guavascale.RunError{Worker: w.info.ID, Op: "order", Reason: reason}
}

// start starts a run, unless the token, the lease, the attempt or the free
// resources rule it out. Sent is when the order was sent, or now if it is in time.
func (f *fleet) start(w *fakeWorker, s guavascale.RunStart, sent time.Time) error {
	if s.Token < w.token {
		return refusal(w, guavascale.RefusedToken)
	}
	w.token = s.Token
	if w.runs[s.Run] != nil {
		return nil
	}
	if w.clock(f.now) > s.LeaseEnd {
		return refusal(w, guavascale.RefusedLate)
	}
	w.leaseEnd = max(w.leaseEnd, min(s.LeaseEnd, w.clock(f.now)+testLeaseMax))
	if s.Run.Attempt <= w.highestAttempt[s.Run.Task] {
		return refusal(w, guavascale.RefusedAttempt)
	}
	spec := f.spec(s.Run.Task)
	used := guavascale.Resources{}
	for id := range w.runs {
		used = used.Add(placedSize(f.spec(id.Task)))
	}
	if !f.admits(w, s.Run, used.Add(placedSize(spec)), sent) {
		return refusal(w, guavascale.RefusedCapacity)
	}
	f.starts++
	if f.done[s.Run.Task] && !sent.Before(f.notedAt[s.Run.Task]) {
		f.t.Fatalf("%s: task %v starts on %s after its end was taken note of", f.elapsed(), s.Run, w.info.ID)
	}
	f.startedAt[s.Run.Task] = f.now
	w.highestAttempt[s.Run.Task] = s.Run.Attempt
	work := spec.Estimate
	if w.slowdown > 0 {
		work = time.Duration(w.slowdown * float64(work))
	}
	if spec.Service {
		work = 0
	}
	w.runs[s.Run] = &fakeRun{startedAt: f.now, work: work}
	f.checkQuota(s.Run, sent)
	if f.deadly[s.Run.Task.Submission] {
		f.deadlyStarts++
		f.crash(w)
	}
	return nil
}

// placedSize returns the resources that a task occupies on a worker. Fillers occupy
// no processors.
func placedSize(spec guavascale.Step) guavascale.Resources {
	size := spec.Size
	if spec.Filler {
		size.MilliCores = 0
	}
	return size
}

// answerHolds answers the hold orders that have waited long enough or have ends to
// report.
func (f *fleet) answerHolds() {
	for _, w := range f.workers {
		if w.pendingHold == nil {
			continue
		}
		o := w.pendingHold.order
		if w.removed || w.unreachable || w.ignoresHolds {
			if !f.now.Before(o.Sent.Add(o.Timeout)) {
				w.pendingHold = nil
				f.engine.Answer(f.now, o, guavaorder.Outcome{Err: errNoAnswer})
			}
			continue
		}
		if len(w.ended) == 0 && f.now.Before(w.pendingHold.due) {
			continue
		}
		w.pendingHold = nil
		if o.Hold.Token < w.token {
			f.engine.Answer(f.now, o, guavaorder.Outcome{Err: refusal(w, guavascale.RefusedToken)})
			continue
		}
		ended := w.ended
		if n := f.limits.EndsPerReport; n > 0 && len(ended) > n {
			ended = ended[:n]
			f.partialReports++
		}
		rep := guavascale.RunReport{
			Clock: w.reading(f.now), Born: w.info.Born, Ended: append([]guavascale.RunEnd(nil), ended...),
		}
		for id, r := range w.runs {
			if r.work > 0 && !w.stuck {
				r.percent = int(100 * f.now.Sub(r.startedAt) / r.work)
			}
			state := guavascale.RunState{Run: id, Percent: r.percent}
			if r.work == 0 {
				state.Percent = 100
			}
			if spec := f.spec(id.Task); spec.Service {
				state.Tail = w.tailLatency
			} else {
				state.Used = spec.Size.MilliCores
				if pace := w.paces[id]; pace > 0 {
					state.Used = state.Used * int64(pace) / fullPace
				}
			}
			rep.Running = append(rep.Running, state)
		}
		f.engine.Answer(f.now, o, guavaorder.Outcome{Clock: rep.Clock, Report: rep})
	}
}

// dropEnds drops the ends up to an acknowledged number and records completed
// tasks.
func (f *fleet) dropEnds(w *fakeWorker, seen uint64) {
	kept := w.ended[:0]
	for _, end := range w.ended {
		if end.Number > seen {
			kept = append(kept, end)
			continue
		}
		if end.Outcome != guavascale.RunDone {
			continue
		}
		at := w.endedAt[end.Number]
		switch {
		case !w.lapsedAt.After(at):
			delete(f.notedAt, end.Run.Task)
		case !f.done[end.Run.Task]:
			f.notedAt[end.Run.Task] = f.now
		}
		f.done[end.Run.Task] = true
		if f.startedAt[end.Run.Task].After(at) && !w.lapsedAt.After(at) && !f.spec(end.Run.Task).Copies {
			f.t.Fatalf("%s: task %v was started again %s after its end on %s, which is taken note of", f.elapsed(), end.Run,
				f.startedAt[end.Run.Task].Sub(at), w.info.ID)
		}
	}
	w.ended = kept
}
