package guavashard

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
	"guavascale.example/guavainterference"
)

type (
	// workerState is what the owner knows of one worker of the shard.
	workerState struct {
		worker guavascale.Worker
		// listed is set while the worker is on the host list.
		listed      bool
		incarnation string
		// clockMs is the worker's clock of the latest report, which was
		// received at clockAt. At any later local time t the worker's clock is
		// at least clockMs plus t less clockAt.
		clockMs int64
		clockAt time.Time
		// fenced is set once the worker answered at this epoch; it accepts no
		// orders of earlier owners from then on.
		fenced   bool
		answered time.Time
		sentAt   time.Time
		underWay bool
		// tasks holds the tasks that count against the worker, in the order
		// in which they came.
		tasks []*entry
		used  guavascale.Resources
		batch guavascale.Resources
		// instances counts service instances, and services those of each
		// service. loads sums up the work of each kind.
		instances int
		services  []serviceCount
		loads     []guavainterference.Load
		// reports holds what the worker reported of each attempt, and version
		// the version of the latest report.
		reports map[guavascale.AttemptID]guavascale.AttemptReport
		version uint64
		// startsUntil is when the last message with a start order is dead.
		startsUntil time.Time
		// forget holds the ended attempts whose end is in the log. They are
		// forgotten only after startsUntil: a repeated start order of an
		// attempt that the worker has forgotten would start it again.
		forget []guavascale.AttemptID
		// forgetting holds those of the message under way.
		forgetting []guavascale.AttemptID
		// orphans holds attempts to stop that the log does not hold.
		orphans []guavascale.AttemptID

		// failed holds the distinct tasks that failed here since the last
		// success, with their jobs.
		failed       map[guavascale.TaskID]string
		blockedUntil time.Time
		backoff      time.Duration
	}

	serviceCount struct {
		name  string
		count int
	}

	// bucket is a token bucket. Its zero value is empty and fills from the
	// first call of take on.
	bucket struct {
		tokens float64
		last   time.Time
	}
)

const (
	// defaultReportInterval is the time between messages to a worker that
	// needs no orders.
	defaultReportInterval = time.Second
	// silence is how long a worker may stay silent beyond three report
	// intervals before it takes no starts and its service instances are
	// replaced.
	silence = 2 * time.Second
)

func (b *bucket) take(now time.Time, rate float64) bool {
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
			worker: guavascale.Worker{ID: id},
			failed: make(map[guavascale.TaskID]string),
			// Start orders sent before this state was made, at the same epoch,
			// may still arrive.
			startsUntil: s.now.Add(orderSlack),
		}
		s.workers[id] = w
		i, _ := slices.BinarySearchFunc(s.order, id, compareWorker)
		s.order = slices.Insert(s.order, i, w)
	}
	return w
}

func compareWorker(w *workerState, id guavascale.WorkerID) int { return cmp.Compare(w.worker.ID, id) }

func (w *workerState) remove(e *entry) {
	if i := slices.Index(w.tasks, e); i >= 0 {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
}

func (w *workerState) add(t *guavascale.Task) {
	w.used = w.used.Add(t.Size)
	w.addLoad(t, +1)
	if t.Class == guavascale.ClassBatch {
		w.batch = w.batch.Add(t.Size)
	} else {
		w.instances++
		w.addService(t.Service, +1)
	}
}

func (w *workerState) sub(t *guavascale.Task) {
	w.used = w.used.Sub(t.Size)
	w.addLoad(t, -1)
	if t.Class == guavascale.ClassBatch {
		w.batch = w.batch.Sub(t.Size)
	} else {
		w.instances--
		w.addService(t.Service, -1)
	}
}

// addLoad adds n tasks to the load of their kind; a load without tasks is
// removed.
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

// countService returns the number of instances of a service, proposed ones
// included.
func (w *workerState) countService(name string) int {
	for i := range w.services {
		if w.services[i].name == name {
			return w.services[i].count
		}
	}
	return 0
}

// updateWorkers takes over the host list. A worker that left the list stays
// known while it may still run tasks.
func (s *Shard) updateWorkers() {
	for _, w := range s.order {
		w.listed = false
	}
	for _, listed := range s.view.Workers {
		w := s.worker(listed.ID)
		w.worker = listed
		w.listed = true
	}
	s.order = slices.DeleteFunc(s.order, func(w *workerState) bool {
		gone := !w.listed && len(w.tasks) == 0
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

func (s *Shard) maxSilence() time.Duration { return 3*s.reportInterval() + silence }

// responsive reports whether the worker answered recently.
func (s *Shard) responsive(w *workerState) bool {
	return w.fenced && s.now.Sub(w.answered) < s.maxSilence()
}

// closed reports whether the worker takes no starts.
func (s *Shard) closed(w *workerState) bool {
	return !w.listed || w.worker.Leaving || !s.responsive(w) || s.now.Before(w.blockedUntil)
}
