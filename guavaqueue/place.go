package guavaqueue

import (
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavabackfill"
	"guavascale.example/guavabinding"
	"guavascale.example/guavadisturb"
	"guavascale.example/guavafairness"
	"guavascale.example/guavaobjective"
	"guavascale.example/guavaorder"
	"guavascale.example/guavarank"
	"guavascale.example/guavarefusal"
	"guavascale.example/guavastarvation"
)

// placementClass groups steps that can run on the same workers if their
// sizes are left out of account. Starved steps can run on more.
type placementClass struct {
	binding         *guavabinding.Binding
	label, kind     string
	filler, service bool
	starved         guavastarvation.Level
	access          guavabackfill.Access[*step]
}

const (
	// sharedWorkerBonus prefers workers with services that a filler does not
	// disturb, which leaves the others to tasks that need declared processors.
	sharedWorkerBonus = 0.3
	// latencyWeight prefers workers whose services are furthest below their
	// targets, since the load of services changes within seconds.
	latencyWeight = 1.0
	// failedTaskPenalty puts workers on which the task has failed behind all
	// others. failurePenalty applies once per failure since the worker's last
	// success, since such a worker may fail every task.
	failedTaskPenalty = 20.0
	failurePenalty    = 1.0
	// trialTolerance is how much less a worker may fit that a trial doesn't have to wait
	// for. It is less than runsAtRiskPenalty.
	trialTolerance = 0.4
)

// place starts waiting tasks in order of urgency.
func (e *Engine) place(now time.Time) {
	e.startAccounts(now)
	clear(e.fullSizes)
	if len(e.readySteps) == 0 {
		return
	}
	for _, st := range e.readySteps {
		e.rank(now, st)
	}
	guavafairness.Sort(&e.order, e.readySteps, func(st *step) *guavafairness.Place { return &st.place })
	e.updateDemand(now)
	e.updateStarvation(now)
	e.lookAhead(now)
	kept := e.readySteps[:0]
	for _, st := range e.readySteps {
		e.placeStep(now, st)
		if st.waiting > 0 && !st.sub.state.Ended() {
			kept = append(kept, st)
		} else {
			st.queued, st.waitingSince = false, time.Time{}
		}
	}
	clear(e.readySteps[len(kept):])
	e.readySteps = kept
}

// rank computes the place of a waiting step in the order.
func (e *Engine) rank(now time.Time, st *step) {
	s := st.sub
	q := e.queue(s)
	p := &st.place
	if *p = (guavafairness.Place{Claim: &s.claim, Urgency: guavaobjective.TooLate, Latest: s.accepted}); q == nil {
		return
	}
	if s.chains == nil {
		s.chains = guavaobjective.Chains(s.Steps)
	}
	objective := guavaobjective.Objective(q, s.chains)
	p.Urgency, p.Priority, p.Latest = guavaobjective.InTime, q.Priority, s.accepted.Add(objective)
	if s.Repeat > 0 {
		p.Latest = s.Due(st.occurrence).Add(objective)
	}
	if !st.spec.Service {
		p.Urgency = guavaobjective.Rate(p.Latest.Sub(now), s.chains[st.index], objective)
	}
	if s.account != nil {
		s.account.Contend(p, st.spec, st.waiting, e.order.Contended(q.Service, st.spec.Filler), e.pool(q.Service).total)
	}
}

func (e *Engine) placeStep(now time.Time, st *step) {
	if st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	q := e.queue(st.sub)
	if q == nil || !st.sub.durable || st.sub.state.Ended() || e.refusals.Group(st.sub) == guavarefusal.Aside {
		return
	}
	if st.spec.Gang {
		e.placeGang(now, st, q)
		return
	}
	var ranked *guavarank.Ranking[*worker]
	for _, t := range st.tasks {
		if st.waiting == 0 {
			return
		}
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.inherited && !e.inheritedRunsKnown() ||
			t.mustRecord() && st.sub.recordableStarts(now) <= 0 {
			continue
		}
		if reason := e.attemptsUsedUp(t); reason != "" {
			e.end(now, st.sub, guavascale.SubmissionFailed, reason)
			return
		}
		var w *worker
		switch {
		case !st.mayStart(now, 1):
			return
		case len(t.avoidWorkers) > 0 || t.record.OnTrial():
			w = e.choose(now, st, q, t)
		case e.knownFull(now, st):
			return
		default:
			if ranked == nil {
				ranked = e.rankWorkers(now, st, q)
			}
			w, _ = ranked.Best()
			e.recordChoice(now, st, w)
		}
		switch {
		case w != nil:
			e.start(now, t, w, t.attempt+1)
		case !t.record.OnTrial():
			return
		}
	}
}

// rankWorkers returns the ranking for a step. It is valid until the next call.
func (e *Engine) rankWorkers(now time.Time, st *step, q *guavascale.Queue) *guavarank.Ranking[*worker] {
	e.ranked.Before = before
	e.ranked.Fill(e.pool(q.Service).candidates, func(w *worker) (float64, bool) { return e.rate(now, st, w) })
	return &e.ranked
}

// placeGang starts all tasks of a gang step or none.
func (e *Engine) placeGang(now time.Time, st *step, q *guavascale.Queue) {
	attempt := int64(0)
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.inherited && !e.inheritedRunsKnown() {
			return
		}
		if reason := e.attemptsUsedUp(t); reason != "" {
			e.end(now, st.sub, guavascale.SubmissionFailed, reason)
			return
		}
		attempt = max(attempt, t.attempt)
	}
	checkpoint := ""
	for _, t := range st.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	if !st.mayRecordGang(now) || !st.mayStart(now, len(st.tasks)) {
		return
	}
	restore := e.fullSizes.Keep(placementClassOf(st))
	placed := make([]*worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		w := e.choose(now, st, q, t)
		if w == nil {
			break
		}
		placed = append(placed, w)
		w.used = w.used.Add(st.tasks[0].size())
		st.perWorker[w.ID]++
	}
	for _, w := range placed {
		w.used = w.used.Sub(st.tasks[0].size())
		if st.perWorker[w.ID]--; st.perWorker[w.ID] == 0 {
			delete(st.perWorker, w.ID)
		}
	}
	if len(placed) < len(st.tasks) {
		// The room that a part of the gang would take is free again.
		restore()
		return
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		e.start(now, t, placed[i], attempt+1)
	}
}

// fenced reports whether the worker, since its latest boot, has seen this owner's
// token, so that it refuses this owner's orders once it has seen the token of a
// later owner.
func (e *Engine) fenced(w *worker) bool { return w.known && (e.soleOwner || w.bootConfirmed) }

// usable reports whether runs may be started on the worker now.
func (e *Engine) usable(now time.Time, w *worker) bool {
	return w.takesStarts(now) && e.open(now, w)
}

// takesStarts reports whether no answer of the worker has to be waited for before more starts.
func (w *worker) takesStarts(now time.Time) bool {
	return w.pendingStarts < maxPendingStarts && !w.ends.Awaited() && !w.ends.Overdue(now)
}

// open reports whether runs may be started on the worker once enough starts are answered.
func (e *Engine) open(now time.Time, w *worker) bool {
	return w.listed && e.fenced(w) && w.durable && !e.missing.Recorded[w.ID] && w.failedHolds == 0 &&
		w.attempts.Ready(now) && !w.ends.StrayAck(now, e.delays, e.Limits.OrderDelay) && !e.overtaken(w) && e.acceptsRuns(w) && e.capacityKnown(w)
}

// capacityKnown reports whether the worker has its capacity still, or guards it.
func (e *Engine) capacityKnown(w *worker) bool { return !e.oldCapacity || e.catalog.Guards(w.Service) }

// overtaken reports whether the worker has not answered a start while others have
// answered later orders. If it restarts behind a cut, all its starts have to be waited
// for; an owner that is late itself sees no difference between workers.
func (e *Engine) overtaken(w *worker) bool {
	return w.askedAt.After(w.aliveAt) && e.answeredSent.Sub(w.askedAt) > guavaorder.ResendAfter
}

// acceptsRuns reports whether the platform allows new runs on the worker. Without a
// catalog, closed zones are not known.
func (e *Engine) acceptsRuns(w *worker) bool {
	return !w.Leaving && e.catalog != nil && !e.catalog.Closed[w.Zone]
}

// choose returns the worker for a task of the step, or nil. It prefers workers
// on which the task has not failed and which have had no failure since their
// last success, since the cause of a failure may be the worker.
func (e *Engine) choose(now time.Time, st *step, q *guavascale.Queue, t *task) *worker {
	if e.knownFull(now, st) {
		return nil
	}
	var best, ready guavarank.Best[*worker]
	for _, w := range e.pool(q.Service).candidates {
		rating, ok := e.rate(now, st, w)
		if !ok {
			continue
		}
		if slices.Contains(t.avoidWorkers, w.ID) {
			rating -= failedTaskPenalty
		}
		rating -= t.riskPenalty(w)
		best.Offer(w, rating, before)
		if ready.Improves(w, rating, before) && e.trial(now, t, w, true) {
			ready.Offer(w, rating, before)
		}
	}
	w := ready.Candidate
	if best.Found && (!ready.Found || ready.Rating < best.Rating-trialTolerance && !e.trial(now, t, w, false)) {
		return nil
	}
	e.recordChoice(now, st, w)
	return w
}

func before(a, b *worker) bool { return a.ID < b.ID }

// recordChoice records the result of a search for a worker for a task of the step;
// nil means that none was found.
func (e *Engine) recordChoice(now time.Time, st *step, w *worker) {
	switch {
	case w == nil:
		e.recordFull(st)
	case st.spec.Filler:
		e.recordTrials(now, st.spec.Kind, w)
	}
}

// rate returns the rating of a worker for a task of the step, or false if it can't
// run one. Failures since the worker's last success lower the rating.
func (e *Engine) rate(now time.Time, st *step, w *worker) (float64, bool) {
	if w.pendingStarts >= maxPendingStarts || e.endsFull(w) || !w.Capacity.Fits(w.used.Add(st.tasks[0].size())) {
		return 0, false
	}
	if !st.allows(w) || st.ordinary() && w.pool.ahead.Plan.Reserved(w) && !w.pool.ahead.Plan.Admits(now, w, e.planned(st)) {
		return 0, false
	}
	score, ok := e.score(now, st, w)
	if w.trials.Taken(now) {
		// A crash could not be attributed to one of several tasks.
		score -= suspectPenalty
	}
	return score - failurePenalty*w.attempts.Penalty(), ok
}

// allows reports whether the label and the bound per worker of the step allow one more task.
func (st *step) allows(w *worker) bool {
	return (st.spec.MaxPerWorker == 0 || st.perWorker[w.ID] < st.spec.MaxPerWorker) &&
		(st.spec.Label == "" || slices.Contains(w.Labels, st.spec.Label))
}

// knownFull reports whether a task of the same placement class that is no larger
// found no worker in this scheduling pass.
func (e *Engine) knownFull(now time.Time, st *step) bool {
	known := e.fullSizes.Known(placementClassOf(st), st.spec.Size)
	if st.noRoom = st.noRoom || known; known && st.ordinary() {
		e.pool(e.queue(st.sub).Service).ahead.Plan.HoldBack(now, st)
	}
	return known
}

func (e *Engine) recordFull(st *step) {
	p := e.pool(e.queue(st.sub).Service)
	p.stragglers.Crowded = p.stragglers.Crowded || st.ordinary()
	if st.noRoom = true; st.spec.MaxPerWorker == 0 {
		e.fullSizes.Record(placementClassOf(st), st.spec.Size)
	}
}

func placementClassOf(st *step) placementClass {
	return placementClass{binding: st.sub.binding, label: st.spec.Label, kind: st.spec.Kind, filler: st.spec.Filler, service: st.spec.Service, starved: st.starved, access: st.access}
}

// score rates a worker that has room for a task of the step; higher is better. It
// returns false if the worker must not be used.
func (e *Engine) score(now time.Time, st *step, w *worker) (float64, bool) {
	capacity := float64(max(w.Capacity.MilliCores, 1))
	free := float64(w.Capacity.MilliCores-w.used.MilliCores-st.spec.Size.MilliCores) / capacity
	score := 0.0
	switch {
	case st.spec.Service:
		// Services of the same kind share workers, so that fillers which disturb
		// this kind find workers without it.
		score = w.loads().Affinity(st.spec.Kind) - free - demandWeight*e.displacedDemand(now, st.spec.Kind, w)
		if w.serviceMilliCores == 0 && w.pool.spare <= 0 {
			score -= reservePenalty
		}
		if now.Before(w.vacatedUntil) {
			score -= reservePenalty
		}
	case st.spec.Filler:
		// Fillers get the processors that other tasks declare but don't use.
		beside := w.besideFiller(st)
		if !e.starvation.Fits(beside, st.starved) {
			return 0, false
		}
		if e.excluded(now, st.spec.Kind, w) || w.serviceMilliCores > 0 && w.worstLatencyRatio > guavadisturb.MaxStartRatio {
			return 0, false
		}
		// Avoid workers that other filler kinds depend on, such as those without
		// services.
		score = beside.Left - demandWeight*w.demand
		if w.serviceMilliCores > 0 {
			score += sharedWorkerBonus - latencyWeight*w.worstLatencyRatio - e.risk(now, st.spec.Kind, w)
		}
	default:
		// These tasks disturb no service, so they leave the workers without
		// services to the fillers that need them.
		score = w.pool.ahead.Fit.Rate(free, w.Capacity.Sub(w.used), st.spec.Size, st.perWorker[w.ID]) - float64(w.fillerMilliCores)/capacity - demandWeight*w.demand
	}
	if st.spec.DataRack != "" && slices.Contains(w.Labels, st.spec.DataRack) {
		score += e.Limits.RackPenalty
	}
	return score, true
}
