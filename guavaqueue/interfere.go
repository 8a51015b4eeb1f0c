package guavaqueue

import (
	"fmt"
	"time"

	"guavascale.example"
	"guavascale.example/guavadisturb"
	"guavascale.example/guavaevent"
	"guavascale.example/guavaload"
	"guavascale.example/guavaorder"
	"guavascale.example/guavapair"
)

const throttledPace = guavadisturb.ThrottledPace

// Apart lists the pairs of kinds that probably disturb each other, as "service/filler".
func (e *Engine) Apart() []string { return e.interference.Apart() }

// observe updates the interference model from a worker's measurements and
// preempts or throttles fillers where services miss their target.
func (e *Engine) observe(now time.Time, w *worker) {
	if now.Sub(w.observedAt) < guavadisturb.ObserveInterval {
		return
	}
	if w.observedAt = now; w.serviceMilliCores == 0 {
		e.raisePaces(w)
		return
	}
	settled := w.settledFillers(now)
	mayMitigate := now.Sub(w.mitigatedAt) >= guavadisturb.SettlingTime
	missed, highest := false, 0.0
	for _, l := range w.loads() {
		if l.Class != guavascale.ClassService {
			continue
		}
		worst, notFalling := w.worstService(now, l.Kind)
		if worst == nil {
			continue
		}
		target := worst.task.step.spec.Target
		ratio := worst.latency.Ratio(target)
		for _, filler := range e.recordEvidence(now, w, l.Kind, settled, ratio, notFalling) {
			e.emit(guavaevent.Event{
				Kind: guavaevent.PairExcluded, Submission: worst.id.Task.Submission, Run: worst.id, Worker: w.ID,
				Reason: fmt.Sprintf("%s/%s of %v", l.Kind, filler, settled.Kinds()), Value: ratio, Age: now.Sub(worst.startedAt),
			})
		}
		highest = max(highest, ratio)
		w.worstLatencyRatio = highest
		if !worst.latency.Over(target) {
			if mayMitigate && notFalling && ratio > guavadisturb.EarlyRatio && e.comparesPeers(w) {
				e.preemptSuspects(now, w, l.Kind)
			}
			continue
		}
		missed = true
		w.missedSince = worst.latency.MissedSince(now, worst.startedAt, w.missedSince)
		switch {
		case e.Limits.DisturbMax > 0 && now.Sub(w.missedSince) >= guavadisturb.ThrottleAfter(e.Limits.DisturbMax):
			e.throttleFillers(now, w)
		case mayMitigate:
			e.mitigate(now, w, l.Kind, notFalling)
		}
	}
	w.worstLatencyRatio = highest
	if !missed {
		w.missedSince = time.Time{}
	}
	if highest > 0 && highest < guavadisturb.UndisturbedRatio && w.mitigatedAt != now {
		e.raisePaces(w)
	}
}

// recordEvidence records what the latency of the services of a kind on a worker, in parts of
// their target, tells of the fillers there. It returns the kinds of fillers that are excluded
// from now on.
func (e *Engine) recordEvidence(now time.Time, w *worker, kind string, settled guavapair.Fillers, ratio float64, notFalling bool) []string {
	if e.comparesPeers(w) {
		reading := w.compare(now, kind)
		if reading != guavapair.Calm && !notFalling {
			return nil
		}
		return e.interference.Record(now, kind, settled, reading)
	}
	switch {
	case ratio > guavadisturb.DisturbedRatio && notFalling:
		return e.interference.RecordDisturbed(now, kind, settled.Kinds())
	case ratio < guavadisturb.UndisturbedRatio:
		e.interference.RecordUndisturbed(kind, settled.Kinds())
	}
	return nil
}

// comparesPeers reports whether services on the worker are compared with their peers.
func (e *Engine) comparesPeers(w *worker) bool {
	return e.Limits.CompareFrom > 0 && w.pool.hasSize(e.Limits.CompareFrom)
}

// compare compares the services of a kind on the worker with their peers.
func (w *worker) compare(now time.Time, kind string) guavapair.Reading {
	var c guavadisturb.Comparison
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.Kind == kind && r.measured(now) {
			c.Add(r.latency.Tail, r.task.step.undisturbed(now), spec.Target)
		}
	}
	return c.Reading()
}

// measured reports whether the run is a service whose latency is known.
func (r *run) measured(now time.Time) bool {
	spec := r.task.step.spec
	return spec.Service && spec.Target > 0 && r.phase == phaseRunning && r.latency.Tail > 0 && now.Sub(r.startedAt) >= guavadisturb.SettlingTime
}

// undisturbed returns the latency of the tasks of a service step that nothing disturbs, or 0 if
// it is not known.
func (st *step) undisturbed(now time.Time) time.Duration {
	if now.Sub(st.undisturbedAt) < guavadisturb.PeerInterval {
		return st.undisturbedTail
	}
	var peers guavadisturb.Peers
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if r.measured(now) && now.Sub(r.worker.reportedAt) < guavadisturb.MaxPeerAge {
				peers.Add(r.latency.Tail, r.worker.fillerMilliCores > 0)
			}
		}
	}
	st.undisturbedAt, st.undisturbedTail = now, peers.Undisturbed(st.spec.Target)
	return st.undisturbedTail
}

// settledFillers returns the fillers that have run long enough to show in the measurements.
func (w *worker) settledFillers(now time.Time) guavapair.Fillers {
	var fillers guavapair.Fillers
	for _, r := range w.runs {
		share := float64(r.usedMilliCores) / float64(max(w.Capacity.MilliCores, 1))
		if r.task.step.spec.Filler && r.phase == phaseRunning && now.Sub(r.startedAt) > guavadisturb.SettlingTime && share >= guavadisturb.MinUsedShare {
			if r.pace < fullPace || r.paceUnknown {
				// It may disturb the service all the same, but doesn't show that it won't.
				share = 0
			}
			fillers.Add(r.task.step.spec.Kind, share)
		}
	}
	return fillers
}

// worstService returns the service run of a kind with the highest latency ratio, and whether
// its latency is not falling.
func (w *worker) worstService(now time.Time, kind string) (worst *run, notFalling bool) {
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.Service || spec.Kind != kind || spec.Target <= 0 || r.latency.Tail <= 0 {
			continue
		}
		if r.latency.Check(now, spec.Target); now.Sub(r.startedAt) < guavadisturb.SettlingTime {
			continue
		}
		notRunFalling := r.latency.NotFalling(now.Sub(w.suspectEndedAt))
		if worst == nil || r.latency.Ratio(spec.Target) > worst.latency.Ratio(worst.task.step.spec.Target) {
			worst, notFalling = r, notRunFalling
		}
	}
	return worst, notFalling
}

// mitigate preempts the fillers that are suspected of disturbing a kind of
// service. If there are none, it preempts the largest filler once the service
// has missed its target for guavadisturb.MissTolerance.
func (e *Engine) mitigate(now time.Time, w *worker, kind string, notFalling bool) {
	if notFalling {
		e.preemptSuspects(now, w, kind)
	}
	if w.mitigatedAt == now || now.Sub(w.missedSince) < guavadisturb.MissTolerance {
		return
	}
	var largest *run
	for _, r := range w.runs {
		if r.disturbs() && (largest == nil || r.task.step.spec.Size.MilliCores > largest.task.step.spec.Size.MilliCores) {
			largest = r
		}
	}
	if largest != nil {
		e.preempt(now, largest)
		w.mitigatedAt = now
	}
}

// disturbs reports whether the run is a filler at full pace.
func (r *run) disturbs() bool {
	return r.task.step.spec.Filler && r.phase == phaseRunning && r.pace >= fullPace
}

// preemptSuspects preempts the fillers that are suspected of disturbing a kind of service.
func (e *Engine) preemptSuspects(now time.Time, w *worker, kind string) {
	for _, r := range w.runs {
		if r.disturbs() && e.interference.Suspect(kind, r.task.step.spec.Kind) {
			e.preempt(now, r)
			w.mitigatedAt = now
		}
	}
}

// throttleFillers throttles all fillers of a worker. They stay on the worker,
// since most are not the cause and might only disturb other services elsewhere.
func (e *Engine) throttleFillers(now time.Time, w *worker) {
	for _, r := range w.runs {
		if r.task.step.spec.Filler && r.phase == phaseRunning && r.pace > throttledPace {
			e.emitPreempted(now, r)
			e.setPace(r, throttledPace)
		}
	}
	w.mitigatedAt = now
}

// preempt stops a filler so that it is placed on another worker, or throttles it
// if stopping would lose too much work.
func (e *Engine) preempt(now time.Time, r *run) {
	e.emitPreempted(now, r)
	if guavadisturb.LosesTooMuch(r.task.step.spec.Checkpoints, r.percent) {
		e.setPace(r, throttledPace)
		return
	}
	e.stop(now, r)
}

func (e *Engine) emitPreempted(now time.Time, r *run) {
	e.emit(guavaevent.Event{
		Kind: guavaevent.FillerPreempted, Submission: r.id.Task.Submission, Run: r.id, Worker: r.worker.ID,
		Reason: "latency of a service in parts of its target", Value: r.worker.worstLatencyRatio, Age: now.Sub(r.worker.observedAt),
	})
}

// raisePaces raises the paces of throttled fillers beside undisturbed services.
// Fillers suspected of disturbing one of them only get up to guavadisturb.SuspectPace, which
// most services tolerate, until reports at a higher pace can clear them at a low load.
func (e *Engine) raisePaces(w *worker) {
	calm := e.comparesPeers(w) && w.worstLatencyRatio < guavadisturb.CalmRatio
	for _, r := range w.runs {
		spec := r.task.step.spec
		// A throttled filler uses few of its processors.
		r.paceUnknown = r.paceUnknown && 2*r.usedMilliCores < spec.Size.MilliCores
		if r.phase != phaseRunning || !r.paceUnknown && r.pace == fullPace || !spec.Filler {
			continue
		}
		limit := fullPace
		for _, l := range w.loads() {
			if l.Class == guavascale.ClassService && !calm && e.interference.Suspect(l.Kind, spec.Kind) {
				limit = guavadisturb.SuspectPace
			}
		}
		if pace := min(guavadisturb.PaceGrowthFactor*r.pace, limit); pace > r.pace || r.paceUnknown {
			e.setPace(r, pace)
		}
	}
}

func (e *Engine) setPace(r *run, percent int) {
	e.orders = append(e.orders, guavaorder.Order{
		Kind: guavaorder.Pace, Worker: r.worker.Worker, Run: r.id, Percent: percent, Timeout: guavaorder.Timeout,
	})
	r.pace, r.paceUnknown = percent, false
	r.seen.PaceChanged()
}

// excluded reports whether a filler kind must not run beside the services of a
// worker.
func (e *Engine) excluded(now time.Time, filler string, w *worker) bool {
	if w.serviceMilliCores == 0 {
		return false
	}
	excludedServices := e.excludedServices(now, filler)
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService && excludedServices[l.Kind] {
			return true
		}
	}
	return false
}

// risk returns by how much a filler should avoid the services of a worker that it may
// disturb.
func (e *Engine) risk(now time.Time, filler string, w *worker) float64 {
	risk := 0.0
	if !e.comparesPeers(w) {
		return risk
	}
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService {
			risk = max(risk, e.interference.Risk(now, l.Kind, filler))
		}
	}
	return risk
}

// excludedServices returns the service kinds beside which a filler kind must not
// run now. It caches the result for the current scheduling pass.
func (e *Engine) excludedServices(now time.Time, filler string) map[string]bool {
	if kinds, ok := e.excludedServicesByFiller[filler]; ok {
		return kinds
	}
	kinds := e.interference.ExcludedServices(now, filler)
	if e.excludedServicesByFiller == nil {
		e.excludedServicesByFiller = make(map[string]map[string]bool)
	}
	e.excludedServicesByFiller[filler] = kinds
	return kinds
}

// recordFillerEnd records that a filler has ended on a worker with services that
// it may have disturbed.
func (e *Engine) recordFillerEnd(now time.Time, filler string, w *worker) {
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService && e.interference.MoreLikely(l.Kind, filler) {
			w.suspectEndedAt = now
		}
	}
}

// recordTrials records the start of a filler beside the services of a worker.
func (e *Engine) recordTrials(now time.Time, filler string, w *worker) {
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService {
			e.interference.StartTrial(now, l.Kind, filler)
		}
	}
	// Only one trial of a pair may run at a time, so the cached result is stale.
	delete(e.excludedServicesByFiller, filler)
}

// loads returns the load on the worker by kind. The result is valid until the
// worker's runs change.
func (w *worker) loads() guavaload.Loads {
	if w.loadsValid {
		return w.loadsBuf
	}
	w.loadsBuf = w.loadsBuf[:0]
	for _, r := range w.runs {
		switch spec := r.task.step.spec; {
		case spec.Service:
			w.loadsBuf.Add(spec.Kind, guavascale.ClassService, spec.Size.MilliCores)
		case spec.Filler:
			w.loadsBuf.Add(spec.Kind, guavascale.ClassBatch, spec.Size.MilliCores)
		}
	}
	w.loadsValid = true
	return w.loadsBuf
}
