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
	// clock; the exported fields are set before the first call.
	Fleet struct {
		// Clock is the clock of all workers; nil stands for the wall clock.
		Clock guavascale.Clock
		// TimeScale multiplies the declared run times of batch tasks; 0
		// stands for 1.
		TimeScale float64
		// UsageLag is the age of reported usage.
		UsageLag time.Duration
		// StopTime is how long an attempt is Stopping before it is Stopped.
		StopTime time.Duration
		// RejectFull makes workers reject starts that exceed their capacity.
		// By default they start them, and the judge notes the violation.
		RejectFull bool
		// Latency models pairwise interference: it returns the reported 99th
		// percentile of a service instance beside the tasks of its worker, in
		// milliseconds, and is called while the fleet is locked. nil leaves it
		// to the worker's faults.
		Latency func(now time.Time, service guavascale.Task, beside []Busy) float64

		mu      sync.Mutex
		workers map[guavascale.WorkerID]*worker
		order   []guavascale.WorkerID
		judge   judge
		// saved is the progress by checkpoint, in seconds of work. It
		// survives the worker that saved it.
		saved     map[string]savedWork
		hosts     HostListFaults
		published []guavascale.Worker
		publishAt time.Time
		events    int
	}

	// WorkerFaults are the faults of one worker.
	WorkerFaults struct {
		// CutOff loses all messages to the worker; its tasks go on.
		CutOff bool
		// LoseAnswers is the number of messages, from the next one, that take
		// effect but whose answers are lost.
		LoseAnswers int
		// DelayMs delays each message before it takes effect, in milliseconds.
		DelayMs int64
		// FailStarts makes every start fail.
		FailStarts bool
		// UsageFactor multiplies the reported usage; 0 stands for 1.
		UsageFactor float64
		// LatencyMs is the reported answer time of service instances.
		LatencyMs float64
	}

	// HostListFaults are the faults of the host list.
	HostListFaults struct {
		// Down makes the host list unavailable.
		Down bool
		// LagMs is how long a list is repeated before it is made anew, in
		// milliseconds.
		LagMs int64
	}

	savedWork struct {
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

// Workers returns the host list, which lags as the faults say. A worker that
// is down is missing from it.
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
	if f.published == nil || now.Sub(f.publishAt) >= lag {
		f.published = f.list()
		f.publishAt = now
	}
	return slices.Clone(f.published), nil
}

func (f *Fleet) list() []guavascale.Worker {
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

// SetFaults replaces the faults of a worker. It fails with NotFoundError.
func (f *Fleet) SetFaults(id guavascale.WorkerID, wf WorkerFaults) error {
	return f.change(id, func(w *worker) { w.faults = wf })
}

// SetLeaving sets or clears the mark of a worker that will be taken away. It
// fails with NotFoundError.
func (f *Fleet) SetLeaving(id guavascale.WorkerID, leaving bool) error {
	return f.change(id, func(w *worker) { w.info.Leaving = leaving })
}

// Kill ends a worker and its attempts, without checkpoints. It fails with
// NotFoundError.
func (f *Fleet) Kill(id guavascale.WorkerID) error {
	return f.change(id, f.kill)
}

// Restart starts a worker with a new incarnation, after a Kill when it was up.
// It fails with NotFoundError.
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
			f.judge.ended(w, r, endKilled)
		}
	}
	w.runs = nil
	w.down = true
}

// Verdict returns what the fleet observed until now.
func (f *Fleet) Verdict() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, id := range f.order {
		f.advance(f.workers[id], now)
	}
	return f.judge.copy()
}

// Running returns the attempts that have not ended, by worker. Workers without
// one are missing.
func (f *Fleet) Running() map[guavascale.WorkerID][]guavascale.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	running := map[guavascale.WorkerID][]guavascale.AttemptID{}
	for _, id := range f.order {
		w := f.workers[id]
		f.advance(w, now)
		for _, r := range w.sorted() {
			if !r.state.Ended() {
				running[id] = append(running[id], r.id)
			}
		}
	}
	return running
}

// Serves reports whether requests to a worker reach it and find an instance of
// the service.
func (f *Fleet) Serves(id guavascale.WorkerID, service string) (reachable, serves bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || w.down || w.faults.CutOff {
		return false, false
	}
	f.advance(w, f.now())
	return true, w.runsService(service)
}
