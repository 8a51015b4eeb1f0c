package guavaqueue

import (
	"math"
	"slices"
	"time"

	"guavascale.example"
)

// The load that these decisions answer: fillers of a few kinds run beside
// service tasks of a few kinds. Most pairs don't mind each other. In the others
// one filler brings the service's queue to overflow: its latency grows to a
// multiple of the target within a second and falls slowly after the filler has
// gone. So what is learned is not an amount but which pairs to keep apart.

type (
	// pairKey names a kind of service and a kind of filler.
	pairKey struct{ service, filler string }

	// load is the work of one kind on a worker.
	load struct {
		Kind  string
		Class guavascale.TaskClass
		// MilliCores is the declared size of all tasks of the kind.
		MilliCores int64
	}

	// pair is what is known of a filler kind beside a service kind.
	pair struct {
		// suspicion is how likely the filler disturbs the service, 0 to 1.
		suspicion float64
		// strikes counts how often the pair has become suspect. It is kept
		// apart until retryAt, longer with each strike, and then tried once at
		// a time; trialAt is when the last trial began.
		strikes          int
		retryAt, trialAt time.Time
	}

	// suspicions holds what is known of pairs. Pairs that were never seen
	// together have firstSuspicion. The zero value works.
	suspicions struct {
		pairs map[pairKey]*pair
		// changed is set when a pair has changed since the last row.
		changed bool
	}
)

const (
	// firstSuspicion lets a new pair run together, apartFrom keeps a pair apart.
	firstSuspicion = 0.2
	apartFrom      = 0.5
	// firstRetry is how long a pair is kept apart the first time, doubled with
	// each strike up to maxRetryDoublings times. trialTime is how long a trial
	// takes to show in figures.
	firstRetry        = 30 * time.Second
	maxRetryDoublings = 6
	trialTime         = 2500 * time.Millisecond
	// leastSuspicion remains of a pair that was always calm, since the load of
	// a service changes.
	leastSuspicion = 0.05
	// blame and excuse are the weights of one hot or calm figure.
	blame  = 0.75
	excuse = 0.25
	// hotRatio and calmRatio are the parts of the target above which a service
	// is being disturbed, and below which it is not.
	hotRatio  = 0.9
	calmRatio = 0.7
	// startRatio is the part of the target up to which fillers may start.
	startRatio = 0.8
	// falling is the part of the last figure below which a latency falls, so
	// that its cause has gone.
	falling = 0.95
	// drainTime is how long a service's queue may take to empty after a suspect
	// filler has gone. In that time only a latency that rises by rising counts.
	drainTime = 2 * time.Second
	rising    = 1.15
	// leastCores is the part of a worker that a filler has to use for its
	// figures to count.
	leastCores = 0.03
	// maxPairs bounds what is remembered.
	maxPairs = 4096

	// observeEvery bounds the use of figures, whose window is half a second.
	observeEvery = 400 * time.Millisecond
	// settleTime is how long a run, a stop or a pace takes to show in a figure.
	settleTime = 600 * time.Millisecond
	// patience is how long a service may miss its target beside fillers none of
	// which is suspect, before the largest goes. After a part of DisturbMax all
	// are slowed: the figure lags by half a second, and a list comes every half
	// second.
	patience      = 1500 * time.Millisecond
	slowAfterPart = 0.4
	// slowPace is what a filler without checkpoints is slowed to, in percent.
	slowPace = 5
	// easeFactor multiplies the pace of a slowed filler at each calm figure, up
	// to suspectPace while it is suspect.
	easeFactor  = 4
	suspectPace = 20
	// nearEnd is the percentage of its work from which a filler without
	// checkpoints is slowed instead of stopped.
	nearEnd = 30
	// serviceLoad is the part of its declared processors that a service task
	// is taken to use; fillers get the rest.
	serviceLoad = 0.5
)

func (p *suspicions) get(service, filler string) float64 {
	if v := p.pairs[pairKey{service, filler}]; v != nil {
		return v.suspicion
	}
	return firstSuspicion
}

// at returns a pair to change.
func (p *suspicions) at(service, filler string) *pair {
	p.changed = true
	if v := p.pairs[pairKey{service, filler}]; v != nil {
		return v
	}
	if p.pairs == nil || len(p.pairs) >= maxPairs {
		p.pairs = make(map[pairKey]*pair)
	}
	v := &pair{suspicion: firstSuspicion}
	p.pairs[pairKey{service, filler}] = v
	return v
}

// apart reports whether a pair must not run together now.
func (p *suspicions) apart(now time.Time, service, filler string) bool {
	v := p.pairs[pairKey{service, filler}]
	return v != nil && v.suspicion >= apartFrom && (now.Before(v.retryAt) || now.Sub(v.trialAt) < trialTime)
}

// try notes that a filler starts beside a service.
func (p *suspicions) try(now time.Time, service, filler string) {
	if v := p.pairs[pairKey{service, filler}]; v != nil && v.suspicion >= apartFrom {
		v.trialAt = now
	}
}

func (p *suspicions) row() kindsRow {
	var row kindsRow
	for k, v := range p.pairs {
		row.Pairs = append(row.Pairs, pairRow{k.service, k.filler, math.Round(v.suspicion*100) / 100, v.strikes})
	}
	return row
}

func (p *suspicions) restore(now time.Time, row kindsRow) {
	for _, r := range row.Pairs {
		v := p.at(r.Service, r.Filler)
		v.suspicion, v.strikes = r.Suspicion, r.Strikes
		v.retryAt = now.Add(v.retryAfter())
	}
}

func (v *pair) retryAfter() time.Duration {
	return firstRetry << min(max(v.strikes-1, 0), maxRetryDoublings)
}

// hot blames the fillers beside a service that is being disturbed, each by the
// square of how suspect it already is, so that one culprit clears the others.
func (p *suspicions) hot(now time.Time, service string, fillers []string) {
	sum := 0.0
	for _, f := range fillers {
		v := p.get(service, f)
		sum += v * v
	}
	for _, f := range fillers {
		v := p.at(service, f)
		before, old := v.suspicion >= apartFrom && now.Before(v.retryAt), v.suspicion
		v.suspicion += (1 - old) * blame * old * old / max(sum, firstSuspicion*firstSuspicion)
		if v.suspicion >= apartFrom && !before {
			v.strikes++
			v.retryAt = now.Add(v.retryAfter())
		}
	}
}

// calm excuses the fillers beside a service that is not disturbed.
func (p *suspicions) calm(service string, fillers []string) {
	for _, f := range fillers {
		v := p.at(service, f)
		v.suspicion = max(v.suspicion*(1-excuse), leastSuspicion)
	}
}

// Apart lists the pairs of kinds that are kept apart, as "service/filler".
func (e *Engine) Apart() []string {
	var pairs []string
	for k, v := range e.suspicions.pairs {
		if v.suspicion >= apartFrom {
			pairs = append(pairs, k.service+"/"+k.filler)
		}
	}
	slices.Sort(pairs)
	return pairs
}

// observe learns from a worker's figures which fillers disturb services, and
// relieves services that miss their target.
func (e *Engine) observe(now time.Time, w *worker) {
	if w.services == 0 || now.Sub(w.observedAt) < observeEvery {
		return
	}
	w.observedAt = now
	settled := w.settledFillers(now)
	relieve := now.Sub(w.relievedAt) >= settleTime
	missed, highest := false, 0.0
	for _, l := range w.loads() {
		if l.Class != guavascale.ClassService {
			continue
		}
		worst, up := w.worst(now, l.Kind)
		if worst == nil {
			continue
		}
		ratio := worst.ratio()
		switch {
		case ratio > hotRatio && up:
			e.suspicions.hot(now, l.Kind, settled)
		case ratio < calmRatio:
			e.suspicions.calm(l.Kind, settled)
		}
		highest = max(highest, ratio)
		w.highest = highest
		if ratio <= 1 {
			continue
		}
		missed = true
		if w.missedSince.IsZero() {
			w.missedSince = now
		}
		switch {
		case e.Limits.DisturbMax > 0 && now.Sub(w.missedSince) >= e.slowAfter():
			e.slowFillers(now, w)
		case relieve:
			e.relieve(now, w, l.Kind, up)
		}
	}
	w.highest = highest
	if !missed {
		w.missedSince = time.Time{}
	}
	if highest > 0 && highest < calmRatio {
		e.ease(w)
	}
}

// settledFillers returns the kinds of fillers that have been at work for long
// enough to show in the figures.
func (w *worker) settledFillers(now time.Time) []string {
	var kinds []string
	for _, r := range w.runs {
		spec := r.task.step.spec
		share := float64(r.used) / float64(max(w.Capacity.MilliCores, 1))
		if spec.Filler && r.phase == phaseRunning && now.Sub(r.begun) > settleTime && share >= leastCores &&
			!slices.Contains(kinds, spec.Kind) {
			kinds = append(kinds, spec.Kind)
		}
	}
	return kinds
}

// ratio is the latency of a service in parts of its target.
func (r *run) ratio() float64 { return float64(r.tail) / float64(r.task.step.spec.Target) }

// worst returns the service of a kind that is furthest over its target, and
// whether its latency does not fall.
func (w *worker) worst(now time.Time, kind string) (worst *run, up bool) {
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.Service || spec.Kind != kind || spec.Target <= 0 || r.tail <= 0 || now.Sub(r.begun) < settleTime {
			continue
		}
		if worst == nil || r.ratio() > worst.ratio() {
			worst = r
			least := falling
			if now.Sub(w.suspectGone) < drainTime {
				least = rising
			}
			up = float64(r.tail) >= least*float64(r.lastTail)
		}
		r.lastTail = r.tail
	}
	return worst, up
}

// relieve stops or slows the fillers that are suspect of disturbing a kind of
// service. When none is, the largest goes once the service has missed its target
// for a while.
func (e *Engine) relieve(now time.Time, w *worker, kind string, up bool) {
	var largest *run
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.Filler || r.phase != phaseRunning || r.pace < fullPace {
			continue
		}
		if up && e.suspicions.get(kind, spec.Kind) >= apartFrom {
			e.setAside(now, r)
			w.relievedAt = now
			continue
		}
		if largest == nil || spec.Size.MilliCores > largest.task.step.spec.Size.MilliCores {
			largest = r
		}
	}
	if w.relievedAt != now && largest != nil && now.Sub(w.missedSince) >= patience {
		e.setAside(now, largest)
		w.relievedAt = now
	}
}

// slowAfter is how long a service may miss its target beside any filler.
func (e *Engine) slowAfter() time.Duration {
	return time.Duration(slowAfterPart * float64(e.Limits.DisturbMax))
}

// slowFillers slows all fillers of a worker. They keep their place, since most
// of them are innocent and would only disturb others elsewhere.
func (e *Engine) slowFillers(now time.Time, w *worker) {
	for _, r := range w.runs {
		if r.task.step.spec.Filler && r.phase == phaseRunning && r.pace > slowPace {
			e.noteSetAside(now, r)
			e.setPace(r, slowPace)
		}
	}
	w.relievedAt = now
}

// setAside stops a filler so that it goes on elsewhere, or slows it when too
// much work would be lost.
func (e *Engine) setAside(now time.Time, r *run) {
	e.noteSetAside(now, r)
	if !r.task.step.spec.Checkpoints && r.percent >= nearEnd {
		e.setPace(r, slowPace)
		return
	}
	e.stop(now, r)
}

func (e *Engine) noteSetAside(now time.Time, r *run) {
	e.note(Event{
		Kind: EventSetAside, Submission: r.id.Task.Submission, Run: r.id, Worker: r.worker.ID,
		Reason: "latency of a service in parts of its target", Value: r.worker.highest, Age: now.Sub(r.worker.observedAt),
	})
}

// ease speeds slowed fillers up again beside services that are calm; those that
// are suspect of disturbing one only to a pace that most services bear.
func (e *Engine) ease(w *worker) {
	for _, r := range w.runs {
		if r.phase != phaseRunning || r.pace == fullPace {
			continue
		}
		limit := fullPace
		for _, l := range w.loads() {
			if l.Class == guavascale.ClassService && e.suspicions.get(l.Kind, r.task.step.spec.Kind) >= apartFrom {
				limit = suspectPace
			}
		}
		if pace := min(easeFactor*r.pace, limit); pace > r.pace {
			e.setPace(r, pace)
		}
	}
}

func (e *Engine) setPace(r *run, percent int) {
	e.orders = append(e.orders, Order{
		Kind: OrderPace, Worker: r.worker.Worker, Run: r.id, Percent: percent, Timeout: orderTimeout,
	})
	r.pace = percent
}

// apart reports whether a filler of a kind must not run beside the services of
// a worker.
func (e *Engine) apart(now time.Time, filler string, w *worker) bool {
	if w.services == 0 {
		return false
	}
	blockedBy := e.blockedBy(now, filler)
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService && blockedBy[l.Kind] {
			return true
		}
	}
	return false
}

// blockedBy returns the kinds of services beside which a filler of a kind must
// not run now.
func (e *Engine) blockedBy(now time.Time, filler string) map[string]bool {
	if kinds, ok := e.blocked[filler]; ok {
		return kinds
	}
	kinds := make(map[string]bool)
	for k := range e.suspicions.pairs {
		if k.filler == filler && e.suspicions.apart(now, k.service, filler) {
			kinds[k.service] = true
		}
	}
	if e.blocked == nil {
		e.blocked = make(map[string]map[string]bool)
	}
	e.blocked[filler] = kinds
	return kinds
}

// gone notes that a filler has ended on a worker.
func (e *Engine) gone(now time.Time, filler string, w *worker) {
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService && e.suspicions.get(l.Kind, filler) > firstSuspicion {
			w.suspectGone = now
		}
	}
}

// tries notes the pairs that a filler which starts on a worker makes.
func (e *Engine) tries(now time.Time, filler string, w *worker) {
	for _, l := range w.loads() {
		if l.Class == guavascale.ClassService {
			e.suspicions.try(now, l.Kind, filler)
		}
	}
	// A pair that is tried again is tried once at a time.
	delete(e.blocked, filler)
}

// loads returns what runs on the worker by kind.
func (w *worker) loads() []load {
	if w.loadsValid {
		return w.loadsBuf
	}
	w.loadsBuf = w.loadsBuf[:0]
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.Service && !spec.Filler {
			continue
		}
		class := guavascale.ClassBatch
		if spec.Service {
			class = guavascale.ClassService
		}
		i := slices.IndexFunc(w.loadsBuf, func(l load) bool { return l.Kind == spec.Kind && l.Class == class })
		if i < 0 {
			w.loadsBuf = append(w.loadsBuf, load{Kind: spec.Kind, Class: class})
			i = len(w.loadsBuf) - 1
		}
		w.loadsBuf[i].MilliCores += spec.Size.MilliCores
	}
	w.loadsValid = true
	return w.loadsBuf
}
