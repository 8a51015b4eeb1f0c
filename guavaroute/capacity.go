package guavaroute

import "time"

// unmeasuredQueue is the capacity of a service's queue, in tickets per slot,
// before any latency was measured.
const unmeasuredQueue = 4

// patience returns when a ticket stops waiting: after the longest time that the
// preset allows, or half of the time to its deadline. Waiting until the mean
// latency before the deadline halved the answers in time at 4 times capacity,
// since many answers take longer than the mean.
func (r *Router) patience(now time.Time, t Ticket) time.Time {
	return now.Add(min(queueTime(r.view.Preset), t.Deadline.Sub(now)/2))
}

// wait estimates how long a new ticket of priority p waits.
func (r *Router) wait(now time.Time, s *serviceState, p Priority) time.Duration {
	slots := max(1, s.usable(now))
	return time.Duration(s.latency.value * float64(s.queue.ahead(p)) / float64(slots))
}

// capacity returns the number of tickets that the service's slots complete
// within the longest waiting time (Little's law). A longer queue would hold
// requests that expire in it.
func (r *Router) capacity(now time.Time, s *serviceState) int {
	slots := s.usable(now)
	if s.latency.last.IsZero() {
		return unmeasuredQueue * slots
	}
	turns := float64(queueTime(r.view.Preset)) / max(s.latency.value, float64(time.Millisecond)/10)
	return max(1, int(turns*float64(slots)))
}

// usable is the number of slots of the service's workers.
func (s *serviceState) usable(now time.Time) int {
	slots := 0
	for _, w := range s.workers {
		slots += w.usable(now)
	}
	return slots
}

// maySpare reports whether one more endpoint of the service may be ejected.
func (s *serviceState) maySpare() bool {
	ejected := 0
	for _, es := range s.endpoints {
		if es.ejection.ejected {
			ejected++
		}
	}
	return maxEjectedPart*(ejected+1) <= len(s.endpoints)
}

// usable is the number of requests that may be in progress at the worker.
func (w *workerState) usable(now time.Time) int {
	return min(w.slots.usable(now), w.connections.usable(now))
}
