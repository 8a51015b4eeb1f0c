package guavashard

import (
	"time"

	"guavascale.example"
)

// jobHealth tells failures of a job's tasks from failures of workers.
type jobHealth struct {
	succeeded bool
	failedOn  map[guavascale.WorkerID]bool
}

const (
	// maxDistinctFailures is the number of different tasks that may fail on a
	// worker in a row before it gets no more starts. A worker that fails all
	// its tasks would otherwise look idle and attract ever more of them.
	maxDistinctFailures = 3
	// maxFailedWorkers is the number of workers on which the tasks of a job
	// may fail, none succeeding anywhere, before the job counts as faulty.
	maxFailedWorkers = 3
	// maxTaskFailures is the number of failures after which a task fails for
	// good. Failures that are put down to a worker do not count.
	maxTaskFailures = 3
	minBackoff      = 30 * time.Second
	maxBackoff      = time.Hour
)

func (s *Shard) jobHealth(job string) *jobHealth {
	h := s.health[job]
	if h == nil {
		h = &jobHealth{failedOn: make(map[guavascale.WorkerID]bool)}
		s.health[job] = h
	}
	return h
}

func (h *jobHealth) faulty() bool {
	return !h.succeeded && len(h.failedOn) >= maxFailedWorkers
}

// group returns the name under which failures of a task are counted.
func group(t *guavascale.Task) string {
	if t.Class == guavascale.ClassService {
		return t.Service
	}
	return t.Job
}

// noteSuccess clears the record of failures of a worker and a job.
func (s *Shard) noteSuccess(w *workerState, t *guavascale.Task) {
	s.jobHealth(group(t)).succeeded = true
	clear(w.failed)
	w.backoff = 0
}

// noteFailure counts a failure and reports whether it counts against the task.
// Tasks of a faulty job say nothing about the worker; the first failure of a
// row counts against the task, later ones against the worker.
func (s *Shard) noteFailure(w *workerState, t *guavascale.Task) bool {
	job := group(t)
	h := s.jobHealth(job)
	h.failedOn[w.worker.ID] = true
	if h.faulty() {
		s.exonerate(job)
		return true
	}
	first := len(w.failed) == 0
	w.failed[t.ID] = job
	if len(w.failed) >= maxDistinctFailures && s.now.After(w.blockedUntil) {
		w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
		w.blockedUntil = s.now.Add(w.backoff)
	}
	return first
}

// exonerate takes the failures of a faulty job off all workers, and admits
// starts again on those that were closed because of them.
func (s *Shard) exonerate(job string) {
	for _, w := range s.order {
		blocked := len(w.failed) >= maxDistinctFailures
		for id, of := range w.failed {
			if of == job {
				delete(w.failed, id)
			}
		}
		if blocked && len(w.failed) < maxDistinctFailures {
			w.blockedUntil = time.Time{}
			w.backoff = 0
		}
	}
}
