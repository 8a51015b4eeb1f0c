package guavashard

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

const (
	fullPercent = 100
	// throttleReleaseRepeat is how long the release of a throttle is repeated.
	// It is longer than the timeout of a lost message.
	throttleReleaseRepeat = 30 * time.Second
)

// drain evicts batch tasks from leaving workers, and from all workers if the
// zone is out of service, at the rate of the preset and urgent tasks first.
func (s *Shard) drain() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	zoneOut := s.view.Config.ZonesOut[s.Zone]
	var evictable []*taskEntry
	for _, w := range s.sortedWorkers {
		if !zoneOut && !w.worker.Leaving {
			continue
		}
		for _, e := range w.tasks {
			if e.task.Class == guavascale.ClassBatch && e.proposed == nil && e.task.State == guavascale.TaskStarting {
				evictable = append(evictable, e)
			}
		}
	}
	slices.SortFunc(evictable, func(a, b *taskEntry) int {
		return cmp.Or(priority(&a.task)-priority(&b.task), cmp.Compare(a.task.ID, b.task.ID))
	})
	for _, e := range evictable {
		if !s.drainLimiter.allow(s.now, s.view.Preset.DrainPerSecond) {
			return
		}
		s.evict(e, "worker or availability zone is leaving")
	}
}

// evict proposes to stop a task with a checkpoint, from which it resumes later.
func (s *Shard) evict(e *taskEntry, reason string) {
	t := e.task
	t.State, t.Reason = guavascale.TaskStopping, reason
	t.Evictions++
	s.Evictions++
	s.proposeTask(t, false)
}

// Evict proposes to stop a batch task with a checkpoint to protect a service,
// and reports whether it did.
func (s *Shard) Evict(id guavascale.TaskID, reason string) bool {
	e := s.tasks[id]
	if e == nil || e.proposed != nil || e.task.Class != guavascale.ClassBatch || e.task.State != guavascale.TaskStarting {
		return false
	}
	s.evict(e, reason)
	return true
}

// Throttle limits a batch task to a percentage (1 to 100) of its declared
// processors and reports whether it did.
func (s *Shard) Throttle(id guavascale.TaskID, percent int) bool {
	e := s.tasks[id]
	if e == nil || e.task.Class != guavascale.ClassBatch || !e.task.State.HoldsWorker() {
		return false
	}
	s.setThrottle(e, min(max(percent, 1), fullPercent))
	return true
}

func (s *Shard) setThrottle(e *taskEntry, percent int) {
	if e.throttlePercent == percent {
		return
	}
	e.throttlePercent = percent
	e.throttleSetAt, e.throttleSentAt = s.now, time.Time{}
}

// needsThrottle reports whether a throttle order has to be sent. Reports do not
// include the throttle, so the order is repeated once per report interval. A
// release is repeated only for throttleReleaseRepeat.
func (s *Shard) needsThrottle(e *taskEntry) bool {
	if e.throttlePercent == 0 || s.now.Sub(e.throttleSentAt) < s.reportInterval() {
		return false
	}
	return e.throttlePercent < fullPercent || s.now.Sub(e.throttleSetAt) < throttleReleaseRepeat
}
