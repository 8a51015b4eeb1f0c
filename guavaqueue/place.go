package guavaqueue

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// kindOfPlace groups steps that fit the same workers but for their size.
	kindOfPlace struct {
		queue, label, kind string
		filler, service    bool
	}
)

const (
	classInTime = iota
	classLate
	classLost
)

const (
	// lateObjectives is for how many more objectives a late submission still
	// has a use.
	lateObjectives = 2
	// besideServices prefers workers with services that a filler does not
	// disturb, which leaves the others to tasks that need declared processors.
	besideServices = 0.3
	// latencyWeight prefers workers whose services are furthest below their
	// targets, since their load rises and falls within seconds.
	latencyWeight = 1.0
	// failedPenalty puts workers on which the task has failed last, and
	// suspectPenalty, for each failure since the last success, those that may
	// fail everything.
	failedPenalty  = 20.0
	suspectPenalty = 1.0
)

// place starts tasks that wait, in order of urgency.
func (e *Engine) place(now time.Time) {
	if len(e.open) == 0 {
		return
	}
	for _, st := range e.open {
		e.rank(now, st)
	}
	slices.SortStableFunc(e.open, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), a.latest.Compare(b.latest))
	})
	clear(e.fullSizes)
	e.weighDemand(now)
	kept := e.open[:0]
	for _, st := range e.open {
		e.placeStep(now, st)
		if st.waiting > 0 && !st.sub.state.Ended() {
			kept = append(kept, st)
		} else {
			st.opened = false
		}
	}
	clear(e.open[len(kept):])
	e.open = kept
}

// rank computes what orders the step among those that wait. A submission that
// can still meet its objective goes before one that can still be late, and that
// one before one that is too late; within each, by priority and objective.
func (e *Engine) rank(now time.Time, st *step) {
	s := st.sub
	q := e.queue(s)
	if q == nil {
		st.class, st.priority, st.latest = classLost, 0, s.accepted
		return
	}
	if s.objective == 0 {
		s.objective = time.Duration(q.Slack*float64(s.chain())) + q.Target
	}
	st.priority, st.latest = q.Priority, s.accepted.Add(s.objective)
	if s.Repeat > 0 {
		st.latest = s.due(st.occurrence).Add(s.objective)
	}
	left := st.latest.Sub(now) - st.rest()
	switch {
	case st.spec.Service || left >= 0:
		st.class = classInTime
	case left >= -lateObjectives*s.objective:
		st.class = classLate
	default:
		st.class = classLost
	}
}

// class names how urgent a step was at the last decision.
func (e *Engine) class(st *step) string {
	return [...]string{"InTime", "Late", "TooLate"}[st.class]
}

// chain returns the estimated time of the longest chain of steps.
func (s *submission) chain() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i := range s.Steps {
		for _, d := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// rest returns the estimated time of the longest chain from the step on.
func (st *step) rest() time.Duration {
	s := st.sub
	if s.rests == nil {
		s.rests = make([]time.Duration, len(s.Steps))
		for i := len(s.Steps) - 1; i >= 0; i-- {
			s.rests[i] += s.Steps[i].Estimate
			for _, d := range s.Steps[i].After {
				s.rests[d] = max(s.rests[d], s.rests[i])
			}
		}
	}
	return s.rests[st.index]
}

func (e *Engine) placeStep(now time.Time, st *step) {
	q := e.queue(st.sub)
	if q == nil || !st.sub.durable || st.sub.state.Ended() {
		return
	}
	if st.spec.Gang {
		e.placeGang(now, st, q)
		return
	}
	for _, t := range st.tasks {
		if st.waiting == 0 {
			return
		}
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.inherited && !e.inheritedKnown() {
			continue
		}
		w := e.choose(now, st, q, t)
		if w == nil {
			return
		}
		e.start(now, t, w, t.attempt+1)
	}
}

// placeGang starts all tasks of a step together or none.
func (e *Engine) placeGang(now time.Time, st *step, q *guavascale.Queue) {
	attempt := int64(0)
	for _, t := range st.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.inherited && !e.inheritedKnown() {
			return
		}
		attempt = max(attempt, t.attempt)
	}
	checkpoint := ""
	for _, t := range st.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
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
		return
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		e.start(now, t, placed[i], attempt+1)
	}
}

// fenced reports whether the worker's current boot knows this owner's token and
// refuses its orders once a later owner has reached it.
func (e *Engine) fenced(w *worker) bool { return w.known && (e.sole || w.sure) }

// usable reports whether the worker may get any start now.
func (e *Engine) usable(now time.Time, w *worker) bool {
	return w.listed && e.fenced(w) && w.durable && !w.Leaving && w.misses == 0 &&
		!now.Before(w.avoidUntil) && w.startsOut < maxStartsOut &&
		(e.catalog == nil || !e.catalog.Closed[w.Zone])
}

// choose returns the worker for a task of the step, or nil. A task that failed
// goes to another worker if there is one, since the worker may be at fault; so
// does any task, after a failure on a worker that has done nothing since.
func (e *Engine) choose(now time.Time, st *step, q *guavascale.Queue, t *task) *worker {
	if e.full(st) {
		return nil
	}
	var best *worker
	bestScore := 0.0
	size := st.tasks[0].size()
	for _, w := range e.candidates[q.Service] {
		if w.startsOut >= maxStartsOut || !w.Capacity.Fits(w.used.Add(size)) {
			continue
		}
		if st.spec.MaxPerWorker > 0 && st.perWorker[w.ID] >= st.spec.MaxPerWorker {
			continue
		}
		if st.spec.Label != "" && !slices.Contains(w.Labels, st.spec.Label) {
			continue
		}
		score, ok := e.score(now, st, w)
		if !ok {
			continue
		}
		if slices.Contains(t.failedOn, w.ID) {
			score -= failedPenalty
		}
		score -= suspectPenalty * float64(min(w.failures, failuresToAvoid))
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	switch {
	case best == nil:
		e.noteFull(st)
	case st.spec.Filler:
		e.tries(now, st.spec.Kind, best)
	}
	return best
}

// full reports whether a smaller task that was as easy to place found no worker
// in this decision. It keeps a long queue from being tried again task by task.
func (e *Engine) full(st *step) bool {
	size, ok := e.fullSizes[placeKey(st)]
	return ok && st.spec.Size.Fits(size)
}

func (e *Engine) noteFull(st *step) {
	if st.spec.MaxPerWorker > 0 {
		return
	}
	if e.fullSizes == nil {
		e.fullSizes = make(map[kindOfPlace]guavascale.Resources)
	}
	e.fullSizes[placeKey(st)] = st.spec.Size
}

func placeKey(st *step) kindOfPlace {
	return kindOfPlace{queue: st.sub.Queue, label: st.spec.Label, kind: st.spec.Kind, filler: st.spec.Filler, service: st.spec.Service}
}

// score rates a worker that has room for a task of the step, and reports
// whether it may be used at all.
func (e *Engine) score(now time.Time, st *step, w *worker) (float64, bool) {
	capacity := float64(max(w.Capacity.MilliCores, 1))
	free := float64(w.Capacity.MilliCores-w.used.MilliCores-st.spec.Size.MilliCores) / capacity
	score := 0.0
	switch {
	case st.spec.Service:
		// Services of a kind share workers, so that fillers which disturb one
		// kind find workers without it.
		score = w.sameKind(st.spec.Kind) - free - demandWeight*e.displaced(now, st.spec.Kind, w)
		if w.services == 0 && e.spare[w.Service] <= 0 {
			score -= reservePenalty
		}
	case st.spec.Filler:
		// Fillers get what the others leave of their declared processors.
		taken := float64(w.used.MilliCores-w.services+w.fillers+st.spec.Size.MilliCores) + serviceLoad*float64(w.services)
		left := 1 - taken/capacity
		if left < 0 {
			return 0, false
		}
		if e.apart(now, st.spec.Kind, w) || w.services > 0 && w.highest > startRatio {
			return 0, false
		}
		// Workers that other kinds depend on, such as those without services,
		// are left to them.
		score = left - demandWeight*w.demand
		if w.services > 0 {
			score += besideServices - latencyWeight*w.highest
		}
	default:
		// These disturb no service, so they leave the workers without services
		// to the fillers that need them.
		score = free - float64(w.fillers)/capacity - demandWeight*w.demand
	}
	if st.spec.DataRack != "" && slices.Contains(w.Labels, st.spec.DataRack) {
		score += e.Limits.RackPenalty
	}
	return score, true
}

// sameKind returns the part of the worker's service tasks that are of a kind.
func (w *worker) sameKind(kind string) float64 {
	same := int64(0)
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService && l.Kind == kind {
			same = l.MilliCores
		}
	}
	if w.services == 0 {
		return 0
	}
	return 2*float64(same)/float64(w.services) - 1
}
