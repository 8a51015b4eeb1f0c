package guavashard

import (
	"time"

	"guavascale.example"
)

// jobHealth records where the tasks of a failure group have failed, to
// distinguish faulty jobs from faulty workers.
type jobHealth struct {
	succeeded     bool
	failedWorkers map[guavascale.WorkerID]bool
}

const (
	// maxDistinctFailures is the number of different tasks that have to fail
	// on a worker without a success in between before the worker is blocked. A
	// worker on which every task fails would otherwise look idle and attract
	// more and more tasks.
	maxDistinctFailures = 3
	// maxFailedWorkers is the number of workers on which tasks of a job have to
	// fail, with no success on any worker, before the job counts as faulty.
	maxFailedWorkers = 3
	// maxTaskFailures is the number of failures after which a batch task is
	// not retried. Failures attributed to a worker do not count.
	maxTaskFailures = 3
	minBackoff      = 30 * time.Second
	maxBackoff      = time.Hour
)

func (s *Shard) jobHealth(job string) *jobHealth {
	h := s.jobHealths[job]
	if h == nil {
		h = &jobHealth{failedWorkers: make(map[guavascale.WorkerID]bool)}
		s.jobHealths[job] = h
	}
	return h
}

func (h *jobHealth) faulty() bool {
	return !h.succeeded && len(h.failedWorkers) >= maxFailedWorkers
}

// failureGroup returns the job or service for which failures of a task are
// counted.
func failureGroup(t *guavascale.Task) string {
	if t.Class == guavascale.ClassService {
		return t.Service
	}
	return t.Job
}

// recordSuccess marks the failure group of a task as healthy and clears the
// failures and the backoff of the worker.
func (s *Shard) recordSuccess(w *workerState, t *guavascale.Task) {
	s.jobHealth(failureGroup(t)).succeeded = true
	clear(w.failedTasks)
	w.backoff = 0
}

// recordFailure records a failure and reports whether it counts against the
// task. Failures of a faulty job always count against the task and never against
// the worker, because they say nothing about the worker. Otherwise the first
// failure on a worker since its last success counts against the task, and
// further ones only against the worker.
func (s *Shard) recordFailure(w *workerState, t *guavascale.Task) bool {
	job := failureGroup(t)
	h := s.jobHealth(job)
	h.failedWorkers[w.worker.ID] = true
	if h.faulty() {
		s.clearFailuresOf(job)
		return true
	}
	first := len(w.failedTasks) == 0
	w.failedTasks[t.ID] = job
	if len(w.failedTasks) >= maxDistinctFailures && s.now.After(w.blockedUntil) {
		w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
		w.blockedUntil = s.now.Add(w.backoff)
	}
	return first
}

// clearFailuresOf removes the failures of a faulty job from all workers and
// unblocks the workers that were blocked because of them.
func (s *Shard) clearFailuresOf(job string) {
	for _, w := range s.sortedWorkers {
		blocked := len(w.failedTasks) >= maxDistinctFailures
		for id, failedJob := range w.failedTasks {
			if failedJob == job {
				delete(w.failedTasks, id)
			}
		}
		if blocked && len(w.failedTasks) < maxDistinctFailures {
			w.blockedUntil = time.Time{}
			w.backoff = 0
		}
	}
}
