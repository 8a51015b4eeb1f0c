package guavafake

import (
	"context"
	"slices"
	"sync"
	"time"

	"guavascale.example"
)

type (
	// Fleet holds the workers. The zero value has none and uses the wall
	// clock. Set the exported fields before the first call.
	Fleet struct {
		// Clock is the clock of all workers; nil means the wall clock.
		Clock guavascale.Clock
		// TimeScale multiplies the declared run times of batch tasks; 0 means
		// 1.
		TimeScale float64
		// UsageLag is the age of reported usage.
		UsageLag time.Duration
		// StopTime is how long an attempt stays in state Stopping before it is
		// Stopped.
		StopTime time.Duration
		// RejectFull makes workers reject starts that exceed their capacity.
		// By default they start them, and a violation is recorded.
		RejectFull bool
		// Latency models pairwise interference: it returns the 99th percentile
		// latency, in milliseconds, that a service instance reports when it
		// shares its worker with the colocated tasks. It is called while the
		// fleet is locked. If it is nil, WorkerFaults.LatencyMs is reported.
		Latency func(now time.Time, service guavascale.Task, colocated []RunningTask) float64

		mu      sync.Mutex
		workers map[guavascale.WorkerID]*worker
		order   []guavascale.WorkerID
		checker checker
		// checkpoints holds the saved progress by reference, in seconds of
		// work. It survives the worker that saved it.
		checkpoints     map[string]checkpoint
		hosts           HostListFaults
		published       []guavascale.Worker
		publishedAt     time.Time
		checkpointCount int
	}

	// WorkerFaults are the faults of one worker.
	WorkerFaults struct {
		// CutOff loses all messages to the worker; its tasks continue.
		CutOff bool
		// LoseAnswers is the number of messages, from the next one on, that
		// take effect but whose responses are lost.
		LoseAnswers int
		// DelayMs delays each message before it takes effect, in milliseconds.
		DelayMs int64
		// FailStarts makes every start fail.
		FailStarts bool
		// UsageFactor multiplies the reported usage; 0 means 1.
		UsageFactor float64
		// LatencyMs is the reported latency of service instances, in
		// milliseconds.
		LatencyMs float64
	}

	// HostListFaults are the faults of the host list.
	HostListFaults struct {
		// Down makes the host list unavailable.
		Down bool
		// LagMs is how long a list is returned again before it is refreshed,
		// in milliseconds.
		LagMs int64
	}

	checkpoint struct {
		task    guavascale.TaskID
		seconds float64
	}
)

var (
	_ guavascale.HostList = (*Fleet)(nil)
	_ guavascale.Agent    = (*Fleet)(nil)
)

func (f *Fleet) now() time.Time {
	if f.Clock == nil {
		return guavascale.WallClock{}.Now()
	}
	return f.Clock.Now()
}

func (f *Fleet) scale() float64 {
	if f.TimeScale <= 0 {
		return 1
	}
	return f.TimeScale
}

// Add adds a worker, or replaces the description of one with the same ID.
func (f *Fleet) Add(info guavascale.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[info.ID]; w != nil {
		w.info = info
		return
	}
	if f.workers == nil {
		f.workers = map[guavascale.WorkerID]*worker{}
	}
	w := &worker{info: info}
	w.boot(f.now())
	f.workers[info.ID] = w
	f.order = append(f.order, info.ID)
}

// Workers returns the host list, outdated by up to HostListFaults.LagMs. The
// list omits workers that are down.
func (f *Fleet) Workers(ctx context.Context) ([]guavascale.Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := ctx.Err()
	if err == nil && f.hosts.Down {
		err = errDown
	}
	if err != nil {
		return nil, &guavascale.UnavailableError{System: "host list", Op: "Workers", Cause: err}
	}
	now := f.now()
	lag := time.Duration(f.hosts.LagMs) * time.Millisecond
	if f.published == nil || now.Sub(f.publishedAt) >= lag {
		f.published = f.upWorkers()
		f.publishedAt = now
	}
	return slices.Clone(f.published), nil
}

func (f *Fleet) upWorkers() []guavascale.Worker {
	list := make([]guavascale.Worker, 0, len(f.order))
	for _, id := range f.order {
		if w := f.workers[id]; !w.down {
			list = append(list, w.info)
		}
	}
	return list
}

// SetHostListFaults replaces the faults of the host list.
func (f *Fleet) SetHostListFaults(h HostListFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = h
}

// SetFaults replaces the faults of a worker. It fails with NotFoundError for an
// unknown worker.
func (f *Fleet) SetFaults(id guavascale.WorkerID, wf WorkerFaults) error {
	return f.change(id, func(w *worker) { w.faults = wf })
}

// SetLeaving sets or clears the mark of a worker that will be removed. It fails
// with NotFoundError for an unknown worker.
func (f *Fleet) SetLeaving(id guavascale.WorkerID, leaving bool) error {
	return f.change(id, func(w *worker) { w.info.Leaving = leaving })
}

// Kill ends a worker and its attempts, without checkpoints. It fails with
// NotFoundError for an unknown worker.
func (f *Fleet) Kill(id guavascale.WorkerID) error {
	return f.change(id, f.kill)
}

// Restart kills a worker if it is up and starts it with a new incarnation. It
// fails with NotFoundError for an unknown worker.
func (f *Fleet) Restart(id guavascale.WorkerID) error {
	return f.change(id, func(w *worker) {
		f.kill(w)
		w.boot(f.now())
	})
}

func (f *Fleet) change(id guavascale.WorkerID, apply func(*worker)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return &guavascale.NotFoundError{Kind: "worker", Name: string(id)}
	}
	f.advance(w, f.now())
	apply(w)
	return nil
}

func (f *Fleet) kill(w *worker) {
	for _, r := range w.runs {
		if !r.state.Ended() {
			f.checker.ended(w, r, endKilled)
		}
	}
	w.runs = nil
	w.down = true
}

// Verdict returns what the fleet observed up to now.
func (f *Fleet) Verdict() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, id := range f.order {
		f.advance(f.workers[id], now)
	}
	return f.checker.snapshot()
}

// Running returns the attempts that have not ended, by worker. The map has no
// entry for workers without such attempts.
func (f *Fleet) Running() map[guavascale.WorkerID][]guavascale.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	running := map[guavascale.WorkerID][]guavascale.AttemptID{}
	for _, id := range f.order {
		w := f.workers[id]
		f.advance(w, now)
		for _, r := range w.sortedRuns() {
			if !r.state.Ended() {
				running[id] = append(running[id], r.id)
			}
		}
	}
	return running
}

// Instances reports whether a worker is reachable for requests, and returns the
// attempts of the service's instances that run on it.
func (f *Fleet) Instances(id guavascale.WorkerID, service string) (reachable bool, running []guavascale.AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || w.down || w.faults.CutOff {
		return false, nil
	}
	f.advance(w, f.now())
	return true, w.instances(service)
}
