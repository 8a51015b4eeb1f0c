package guavashard

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavainterference"
)

type (
	// workerState is the owner's view of one worker of the shard.
	workerState struct {
		worker guavascale.Worker
		// listed is set while the worker is on the host list.
		listed      bool
		incarnation string
		// clockMs is the worker's clock in the latest report, which was
		// received at clockAt. At any later local time t the worker's clock
		// reads at least clockMs + (t - clockAt).
		clockMs int64
		clockAt time.Time
		// fenced is set once the worker has reported at the epoch of this
		// owner. From then on it rejects orders of earlier owners: the same
		// incarnation by their epoch, later ones by their incarnation.
		fenced       bool
		lastReportAt time.Time
		lastSentAt   time.Time
		inFlight     bool
		// tasks holds the tasks assigned to the worker in committed state, in
		// order of assignment.
		tasks     []*taskEntry
		used      guavascale.Resources
		batchUsed guavascale.Resources
		// instances is the number of service instances on the worker, and
		// services the number for each service. loads holds the total load of
		// each kind of task.
		instances int
		services  []serviceCount
		loads     []guavainterference.Load
		// reports holds the latest report of each attempt, and reportVersion
		// the version of the latest report of the worker.
		reports       map[guavascale.AttemptID]guavascale.AttemptReport
		reportVersion uint64
		// startExpiry is the time after which no start order that was sent to
		// the worker has any effect.
		startExpiry time.Time
		// forgettable holds the ended attempts whose end is in the log. Orders
		// to forget them are sent only after startExpiry, because a duplicate
		// start order would start a forgotten attempt again.
		forgettable []guavascale.AttemptID
		// forgetInFlight holds the attempts to forget in the message in flight.
		forgetInFlight []guavascale.AttemptID
		// orphans holds unfinished attempts that are not in the log and have to
		// be stopped.
		orphans []guavascale.AttemptID

		// failedTasks maps the tasks that have failed on the worker since the
		// last success to their failure groups.
		failedTasks  map[guavascale.TaskID]string
		blockedUntil time.Time
		backoff      time.Duration
	}

	serviceCount struct {
		name  string
		count int
	}

	// tokenBucket is a token-bucket rate limiter. The zero value becomes full
	// at the first call of allow.
	tokenBucket struct {
		tokens float64
		last   time.Time
	}
)

const (
	// defaultReportInterval is the interval at which a worker that needs no
	// orders is asked for a report.
	defaultReportInterval = time.Second
	// unresponsiveMargin is added to three report intervals to get the time
	// without a report after which a worker counts as unresponsive: no tasks
	// are started on it and its service instances are replaced.
	unresponsiveMargin = 2 * time.Second
)

func (b *tokenBucket) allow(now time.Time, rate float64) bool {
	burst := max(rate, 1)
	if b.last.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *Shard) worker(id guavascale.WorkerID) *workerState {
	w := s.workers[id]
	if w == nil {
		w = &workerState{
			worker:      guavascale.Worker{ID: id},
			failedTasks: make(map[guavascale.TaskID]string),
			// Start orders that were sent at the same epoch before this state
			// was created may still arrive.
			startExpiry: s.now.Add(maxOrderDelay),
		}
		s.workers[id] = w
		i, _ := slices.BinarySearchFunc(s.sortedWorkers, id, compareWorker)
		s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
	}
	return w
}

func compareWorker(w *workerState, id guavascale.WorkerID) int { return cmp.Compare(w.worker.ID, id) }

func (w *workerState) removeTask(e *taskEntry) {
	if i := slices.Index(w.tasks, e); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

func (w *workerState) allocate(t *guavascale.Task) {
	w.used = w.used.Add(t.Size)
	w.addLoad(t, +1)
	if t.Class == guavascale.ClassBatch {
		w.batchUsed = w.batchUsed.Add(t.Size)
	} else {
		w.instances++
		w.addService(t.Service, +1)
	}
}

func (w *workerState) release(t *guavascale.Task) {
	w.used = w.used.Sub(t.Size)
	w.addLoad(t, -1)
	if t.Class == guavascale.ClassBatch {
		w.batchUsed = w.batchUsed.Sub(t.Size)
	} else {
		w.instances--
		w.addService(t.Service, -1)
	}
}

// addLoad adds n times the task to the load of its kind. A load without tasks
// is removed.
func (w *workerState) addLoad(t *guavascale.Task, n int) {
	i := slices.IndexFunc(w.loads, func(l guavainterference.Load) bool { return l.Kind == t.Kind && l.Class == t.Class })
	if i < 0 {
		i = len(w.loads)
		w.loads = append(w.loads, guavainterference.Load{Kind: t.Kind, Class: t.Class})
	}
	w.loads[i].Tasks += n
	w.loads[i].MilliCores += int64(n) * t.Size.MilliCores
	if w.loads[i].Tasks == 0 {
		w.loads = slices.Delete(w.loads, i, i+1)
	}
}

func (w *workerState) addService(name string, n int) {
	i := slices.IndexFunc(w.services, func(c serviceCount) bool { return c.name == name })
	if i < 0 {
		w.services = append(w.services, serviceCount{name, n})
		return
	}
	w.services[i].count += n
	if w.services[i].count == 0 {
		w.services = slices.Delete(w.services, i, i+1)
	}
}

// countService returns the number of instances of a service on the worker,
// including proposed ones.
func (w *workerState) countService(name string) int {
	for i := range w.services {
		if w.services[i].name == name {
			return w.services[i].count
		}
	}
	return 0
}

// updateWorkers updates the workers from the host list. A worker that is no
// longer listed is kept as long as tasks are assigned to it or a message to it is in
// flight: the answer may come from an earlier incarnation than the next one.
func (s *Shard) updateWorkers() {
	for _, w := range s.sortedWorkers {
		w.listed = false
	}
	for _, listed := range s.view.Workers {
		w := s.worker(listed.ID)
		w.worker = listed
		w.listed = true
	}
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *workerState) bool {
		gone := !w.listed && len(w.tasks) == 0 && !w.inFlight
		if gone {
			delete(s.workers, w.worker.ID)
		}
		return gone
	})
}

func (s *Shard) reportInterval() time.Duration {
	if s.view == nil || s.view.ReportInterval <= 0 {
		return defaultReportInterval
	}
	return s.view.ReportInterval
}

func (s *Shard) responseTimeout() time.Duration { return 3*s.reportInterval() + unresponsiveMargin }

// responsive reports whether the worker has acknowledged this owner's epoch and
// reported recently.
func (s *Shard) responsive(w *workerState) bool {
	return w.fenced && s.now.Sub(w.lastReportAt) < s.responseTimeout()
}

// unschedulable reports whether no task may be started on the worker.
func (s *Shard) unschedulable(w *workerState) bool {
	return !w.listed || w.worker.Leaving || !s.responsive(w) || s.now.Before(w.blockedUntil)
}
