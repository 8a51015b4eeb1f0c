package guavafake

import (
	"time"

	"guavascale.example"
)

type (
	// Busy is a task that runs on a worker, with the processors that it uses.
	Busy struct {
		Task  guavascale.Task
		Cores float64
	}

	// sample is a measurement of an attempt that is reported after the lag.
	sample struct {
		at        time.Time
		used      guavascale.Resources
		latencyMs float64
	}
)

const milliCores = 1000.0

// Busy returns the running tasks by worker, with their throttles applied.
func (f *Fleet) Busy() map[guavascale.WorkerID][]Busy {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	all := map[guavascale.WorkerID][]Busy{}
	for _, id := range f.order {
		w := f.workers[id]
		if w.down {
			continue
		}
		f.advance(w, now)
		all[id] = w.busy()
	}
	return all
}

func (w *worker) busy() []Busy {
	var list []Busy
	for _, r := range w.sorted() {
		if !r.state.Ended() {
			list = append(list, Busy{r.task, float64(w.usage(r).MilliCores) / milliCores})
		}
	}
	return list
}

// usage is what an attempt uses now.
func (w *worker) usage(r *run) guavascale.Resources {
	factor := w.faults.UsageFactor
	if factor <= 0 {
		factor = 1
	}
	used := r.task.Size
	used.MilliCores = int64(float64(used.MilliCores) * factor * float64(r.percent) / fullPercent)
	used.MemoryMB = int64(float64(used.MemoryMB) * factor)
	return used
}

// measure takes a sample of each attempt on a worker, for the model of
// interference. Samples older than the one that is reported are dropped.
func (f *Fleet) measure(w *worker, now time.Time) {
	if f.Latency == nil {
		return
	}
	beside := w.busy()
	for _, r := range w.sorted() {
		if r.state.Ended() {
			r.samples = nil
			continue
		}
		s := sample{at: now, used: w.usage(r)}
		if r.task.Class == guavascale.ClassService {
			s.latencyMs = f.Latency(now, r.task, beside)
		}
		r.samples = append(r.samples, s)
		for len(r.samples) > 1 && now.Sub(r.samples[1].at) >= f.UsageLag {
			r.samples = r.samples[1:]
		}
	}
}

// reportSample fills in the newest sample that is as old as the lag.
func (r *run) reportSample(a *guavascale.AttemptReport, now time.Time, lag time.Duration) {
	if len(r.samples) == 0 || now.Sub(r.samples[0].at) < lag {
		return
	}
	s := r.samples[0]
	a.Used, a.LatencyMs = s.used, s.latencyMs
	a.UsageAgeMs = now.Sub(s.at).Milliseconds()
}
