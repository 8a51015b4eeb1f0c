package guavafake

import (
	"fmt"
	"time"

	"guavascale.example"
)

type (
	// worker is a worker of a fleet, guarded by the fleet's mutex.
	worker struct {
		info guavascale.Worker
		// formerCapacities holds the capacities before the latest changes.
		formerCapacities []capacityChange
		faults           WorkerFaults
		down             bool
		boots            int
		booted           time.Time
		epochs           map[guavascale.Partition]uint64
		runs             map[guavascale.AttemptID]*run
		incarnation      string
		// version counts the changes to reports; each boot starts a new range.
		version uint64
	}

	// run is an attempt that a worker keeps track of, running or ended.
	run struct {
		id    guavascale.AttemptID
		task  guavascale.Task
		state guavascale.AttemptState
		// reason and checkpoint are included in reports.
		reason     string
		checkpoint string
		started    time.Time
		// ended is the time of the end, set once the state is a final one.
		ended    time.Time
		leaseEnd time.Time
		// stopEnd is when an attempt in state Stopping ends.
		stopEnd   time.Time
		saveOnEnd bool
		// progress is the work done until progressAt, in seconds of work.
		progress   float64
		progressAt time.Time
		percent    int
		// lastReport is the last report of the attempt, and version the
		// worker's version at that time.
		lastReport guavascale.AttemptReport
		version    uint64
		// endReported is set once a delivered report contained the end.
		endReported bool
		// samples holds measurements for the interference model, oldest first.
		samples []sample
	}
)

const (
	// endedRetention is how long a worker reports an ended attempt; the agent
	// protocol requires at least an hour.
	endedRetention = time.Hour

	// defaultRunSeconds is the run time of batch tasks that declare none.
	defaultRunSeconds = 1.0

	fullPercent = 100

	// bootShift leaves 2^40 report versions for each boot of a worker.
	bootShift = 40
)

func (w *worker) boot(now time.Time) {
	w.boots++
	w.booted = now
	w.down = false
	w.version = uint64(w.boots) << bootShift
	w.incarnation = fmt.Sprintf("%s-%d", w.info.ID, w.boots)
	w.epochs = map[guavascale.Partition]uint64{}
	w.runs = map[guavascale.AttemptID]*run{}
}

// clockMs returns the worker's monotonic clock, which starts at 0 on each boot.
func (w *worker) clockMs(now time.Time) int64 { return now.Sub(w.booted).Milliseconds() }

// used returns the total declared size of the attempts that have not ended.
func (w *worker) used() guavascale.Resources {
	var sum guavascale.Resources
	for _, r := range w.runs {
		if !r.state.Ended() {
			sum = sum.Add(r.task.Size)
		}
	}
	return sum
}

// instances returns the attempts of a service's instances that run on the worker.
func (w *worker) instances(service string) []guavascale.AttemptID {
	var running []guavascale.AttemptID
	for id, r := range w.runs {
		if r.task.Class == guavascale.ClassService && r.task.Service == service && !r.state.Ended() {
			running = append(running, id)
		}
	}
	return running
}

// workSeconds returns the total work of the task, in seconds.
func (r *run) workSeconds() float64 {
	if r.task.RunSeconds <= 0 {
		return defaultRunSeconds
	}
	return r.task.RunSeconds
}

// rate returns the work done per second of the clock.
func (r *run) rate(scale float64) float64 {
	return float64(r.percent) / fullPercent / scale
}

// doneAt returns when a running batch attempt completes its work.
func (r *run) doneAt(scale float64) time.Time {
	left := max(r.workSeconds()-r.progress, 0) / r.rate(scale)
	return r.progressAt.Add(time.Duration(left * float64(time.Second)))
}

// advance adds the work done until t.
func (r *run) advance(t time.Time, scale float64) {
	if r.state == guavascale.AttemptRunning && r.task.Class == guavascale.ClassBatch && t.After(r.progressAt) {
		r.progress += t.Sub(r.progressAt).Seconds() * r.rate(scale)
		r.progress = min(r.progress, r.workSeconds())
	}
	r.progressAt = t
}

// nextEnd returns when and in which state an attempt that has not ended will end
// if it receives no further orders.
func (r *run) nextEnd(scale float64) (time.Time, guavascale.AttemptState) {
	if r.state == guavascale.AttemptStopping {
		return r.stopEnd, guavascale.AttemptStopped
	}
	if r.task.Class == guavascale.ClassBatch {
		if done := r.doneAt(scale); !done.After(r.leaseEnd) {
			return done, guavascale.AttemptDone
		}
	}
	return r.leaseEnd, guavascale.AttemptExpired
}

// report returns the attempt report that the agent sends.
func (r *run) report(w *worker, now time.Time, lag time.Duration) guavascale.AttemptReport {
	a := guavascale.AttemptReport{
		Attempt:    r.id,
		State:      r.state,
		Reason:     r.reason,
		Checkpoint: r.checkpoint,
	}
	if r.state.Ended() {
		return a
	}
	if len(r.samples) > 0 {
		r.addSample(&a, now, lag)
		return a
	}
	a.UsageAgeMs = lag.Milliseconds()
	if now.Sub(r.started) < lag {
		return a
	}
	a.Used = w.usage(r)
	if r.task.Class == guavascale.ClassService {
		a.LatencyMs = w.faults.LatencyMs
	}
	return a
}
