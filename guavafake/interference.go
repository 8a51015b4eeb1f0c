package guavafake

import (
	"time"

	"guavascale.example"
)

type (
	// RunningTask is a task that runs on a worker, with the number of cores
	// that it uses.
	RunningTask struct {
		Task  guavascale.Task
		Cores float64
	}

	// sample is a measurement of an attempt, reported once it is as old as the
	// usage lag.
	sample struct {
		at        time.Time
		used      guavascale.Resources
		latencyMs float64
	}
)

const milliCores = 1000.0

// RunningTasks returns the running tasks by worker. Their core usage takes
// throttling into account.
func (f *Fleet) RunningTasks() map[guavascale.WorkerID][]RunningTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	all := map[guavascale.WorkerID][]RunningTask{}
	for _, id := range f.order {
		w := f.workers[id]
		if w.down {
			continue
		}
		f.advance(w, now)
		all[id] = w.runningTasks()
	}
	return all
}

func (w *worker) runningTasks() []RunningTask {
	var list []RunningTask
	for _, r := range w.sortedRuns() {
		if !r.state.Ended() {
			list = append(list, RunningTask{r.task, float64(w.usage(r).MilliCores) / milliCores})
		}
	}
	return list
}

// usage returns the resources that an attempt currently uses.
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

// takeSamples samples each attempt on a worker for the interference model, and
// discards the samples older than the one to report.
func (f *Fleet) takeSamples(w *worker, now time.Time) {
	if f.Latency == nil {
		return
	}
	colocated := w.runningTasks()
	for _, r := range w.sortedRuns() {
		if r.state.Ended() {
			r.samples = nil
			continue
		}
		s := sample{at: now, used: w.usage(r)}
		if r.task.Class == guavascale.ClassService {
			s.latencyMs = f.Latency(now, r.task, colocated)
		}
		r.samples = append(r.samples, s)
		for len(r.samples) > 1 && now.Sub(r.samples[1].at) >= f.UsageLag {
			r.samples = r.samples[1:]
		}
	}
}

// addSample adds to a report the newest sample that is at least as old as lag.
func (r *run) addSample(a *guavascale.AttemptReport, now time.Time, lag time.Duration) {
	if len(r.samples) == 0 || now.Sub(r.samples[0].at) < lag {
		return
	}
	s := r.samples[0]
	a.Used, a.LatencyMs = s.used, s.latencyMs
	a.UsageAgeMs = now.Sub(s.at).Milliseconds()
}
