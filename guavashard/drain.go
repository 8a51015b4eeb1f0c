package guavashard

import (
	"cmp"
	"slices"
	"time"

	"guavascale.example"
)

const (
	fullPercent = 100
	// releaseRepeat is how long the end of a throttle is sent again. It is
	// longer than a lost message and its timeout.
	releaseRepeat = 30 * time.Second
)

// drain moves batch tasks off workers that leave and out of a zone that was
// taken out, at the preset's rate, urgent ones first.
func (s *Shard) drain() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	zoneOut := s.view.Config.ZonesOut[s.Zone]
	var leave []*entry
	for _, w := range s.order {
		if !zoneOut && !w.worker.Leaving {
			continue
		}
		for _, e := range w.tasks {
			if e.task.Class == guavascale.ClassBatch && e.next == nil && e.task.State == guavascale.TaskStarting {
				leave = append(leave, e)
			}
		}
	}
	slices.SortFunc(leave, func(a, b *entry) int {
		return cmp.Or(rank(&a.task)-rank(&b.task), cmp.Compare(a.task.ID, b.task.ID))
	})
	for _, e := range leave {
		if !s.drains.take(s.now, s.view.Preset.DrainPerSecond) {
			return
		}
		s.evict(e, "worker or availability zone is leaving")
	}
}

// evict proposes to stop a task with a checkpoint; it resumes later.
func (s *Shard) evict(e *entry, reason string) {
	t := e.task
	t.State, t.Reason = guavascale.TaskStopping, reason
	t.Evictions++
	s.Evictions++
	s.proposeTask(t, false)
}

// Evict stops a batch task with a checkpoint to protect a service, and reports
// whether it did.
func (s *Shard) Evict(id guavascale.TaskID, reason string) bool {
	e := s.tasks[id]
	if e == nil || e.next != nil || e.task.Class != guavascale.ClassBatch || e.task.State != guavascale.TaskStarting {
		return false
	}
	s.evict(e, reason)
	return true
}

// Throttle sets the share of its declared processors that a batch task may
// use, 1 to 100 percent, and reports whether it did.
func (s *Shard) Throttle(id guavascale.TaskID, percent int) bool {
	e := s.tasks[id]
	if e == nil || e.task.Class != guavascale.ClassBatch || !e.task.State.HoldsWorker() {
		return false
	}
	s.setThrottle(e, min(max(percent, 1), fullPercent))
	return true
}

func (s *Shard) setThrottle(e *entry, percent int) {
	if e.throttle == percent {
		return
	}
	e.throttle = percent
	e.throttleFrom, e.throttled = s.now, time.Time{}
}

// needsThrottle reports whether the throttle has to be sent. Reports do not
// show it, so it is repeated with each message that asks for a report. A
// released one is repeated for a while only.
func (s *Shard) needsThrottle(e *entry) bool {
	if e.throttle == 0 || s.now.Sub(e.throttled) < s.reportInterval() {
		return false
	}
	return e.throttle < fullPercent || s.now.Sub(e.throttleFrom) < releaseRepeat
}
