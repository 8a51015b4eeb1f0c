package guavaqueue

import (
	"time"

	"guavascale.example/guavahold"
	"guavascale.example/guavastraggler"
	"guavascale.example/guavavacancy"
)

// maxReportAge is the age of a worker's report from which it may have crashed: a report is due
// each guavahold.Wait.
const maxReportAge = 2 * guavahold.Wait

// vacate moves the services of a worker to others if fillers wait for a worker without
// services.
func (e *Engine) vacate(now time.Time) {
	if now.Sub(e.vacatedAt) < guavavacancy.Interval {
		return
	}
	e.vacatedAt = now
	for p, waiting := range e.waitingFillers(now) {
		from, to := p.window.Next(len(p.candidates), guavavacancy.WindowSize)
		window := p.candidates[from:to]
		if len(window) == 0 {
			continue
		}
		demands := make([]guavavacancy.Demand, 0, len(waiting))
		for kind, milliCores := range waiting {
			share := milliCores * int64(len(window)) / int64(len(p.candidates))
			demands = append(demands, guavavacancy.Demand{MilliCores: share, Excluded: e.excludedServices(now, kind)})
		}
		workers := make([]guavavacancy.Worker, len(window))
		for i, w := range window {
			workers[i] = w.vacancy(now)
		}
		if i := guavavacancy.Choose(workers, demands); i >= 0 {
			e.vacateWorker(now, window[i])
		}
	}
}

// waitingFillers returns the declared size of the fillers that have waited for guavavacancy.After,
// in thousandths of a core, by pool and kind.
func (e *Engine) waitingFillers(now time.Time) map[*pool]map[string]int64 {
	waiting := make(map[*pool]map[string]int64)
	for _, st := range e.readySteps {
		q := e.queue(st.sub)
		if q == nil || !st.spec.Filler || st.waiting == 0 || now.Sub(st.waitingSince) < guavavacancy.After {
			continue
		}
		p := e.pool(q.Service)
		if waiting[p] == nil {
			waiting[p] = make(map[string]int64)
		}
		waiting[p][st.spec.Kind] += int64(st.waiting) * st.spec.Size.MilliCores
	}
	return waiting
}

// vacancy returns the input of package guavavacancy for the worker.
func (w *worker) vacancy(now time.Time) guavavacancy.Worker {
	v := guavavacancy.Worker{
		ID: w.ID, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity.Sub(w.used), Vacated: now.Before(w.vacatedUntil),
	}
	if w.serviceMilliCores == 0 {
		return v
	}
	for _, r := range w.runs {
		st := r.task.step
		if !st.spec.Service {
			continue
		}
		if r.phase != phaseRunning {
			v.Moving++
		}
		v.Services = append(v.Services, guavavacancy.Service{
			Kind: st.spec.Kind, Size: st.spec.Size, Step: st,
			MayStop: st.mayStop(now), PerWorker: st.spec.MaxPerWorker, Label: st.spec.Label,
		})
	}
	return v
}

// mayStop returns how many tasks of a service step may be stopped now. A step without a
// limit has one all the same, so that most of it is at work at any time. While its account is
// over its limit, one that is stopped could not start again.
func (st *step) mayStop(now time.Time) int {
	if !st.sub.account.MayStart(st.spec.Size, 0) {
		return 0
	}
	limit := st.spec.MaxAway
	if limit == 0 {
		limit = max(1, len(st.tasks)/2)
	}
	for _, t := range st.tasks {
		if len(t.runs) != 1 || !t.runs[0].atWork(now) {
			limit--
		}
	}
	return limit
}

// atWork reports whether the service is at work as far as its worker has told lately. A
// worker that is silent may have crashed long before its lease ends.
func (r *run) atWork(now time.Time) bool {
	w := r.worker
	return r.phase == phaseRunning && r.percent >= guavastraggler.FullProgress && w.failedHolds == 0 && now.Sub(w.reportedAt) < maxReportAge
}

// vacateWorker stops those services of a worker that may stop now. They are placed again
// like any that has ended.
func (e *Engine) vacateWorker(now time.Time, w *worker) {
	w.vacatedUntil = now.Add(guavavacancy.KeptFor)
	e.emitWorker(now, w, "Vacated", "fillers wait for a worker without services")
	for _, r := range w.runs {
		if st := r.task.step; st.spec.Service && st.mayStop(now) > 0 {
			e.stop(now, r)
		}
	}
}

// drain stops the runs on a leaving worker that have to continue elsewhere.
func (e *Engine) drain(now time.Time, w *worker) {
	if !w.Leaving || w.failedHolds > 0 {
		return
	}
	for _, r := range w.runs {
		if r.phase == phaseRunning && guavavacancy.Leave(r.task.step.spec, w.leavesAt.Sub(now)-e.Limits.StopGrace, r.progress(now).Remaining()) {
			e.stop(now, r)
		}
	}
}
