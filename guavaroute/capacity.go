package guavaroute

import "time"

// initialQueuePerSlot is the capacity of a service's queue, in requests per slot,
// until a latency has been measured.
const initialQueuePerSlot = 4

// queueDeadline returns when a request stops waiting for a slot: after the
// preset's queueing limit or half the time to its deadline, whichever is first.
// Waiting until one mean latency before the deadline instead halved the number of
// responses in time at 4 times capacity, because many responses take longer than
// the mean.
func (r *Router) queueDeadline(now time.Time, req Request) time.Time {
	return now.Add(min(queueTimeout(r.view.Preset), req.Deadline.Sub(now)/2))
}

// estimatedWait estimates how long a new request of priority p would wait.
func (r *Router) estimatedWait(now time.Time, s *serviceState, p Priority) time.Duration {
	slots := max(1, s.usableSlots(now))
	return time.Duration(s.latency.value * float64(s.queue.queuedAhead(p)) / float64(slots))
}

// queueCapacity returns the number of requests that the service's slots can
// complete within the maximum queueing time (Little's law). Requests beyond that
// would expire in the queue.
func (r *Router) queueCapacity(now time.Time, s *serviceState) int {
	slots := s.usableSlots(now)
	if s.latency.lastSample.IsZero() {
		return initialQueuePerSlot * slots
	}
	rounds := float64(queueTimeout(r.view.Preset)) / max(s.latency.value, float64(time.Millisecond)/10)
	return max(1, int(rounds*float64(slots)))
}

// usableSlots returns the number of usable slots on the service's workers.
func (s *serviceState) usableSlots(now time.Time) int {
	slots := 0
	for _, w := range s.workers {
		slots += w.usableSlots(now)
	}
	return slots
}

// canEjectOne reports whether one more endpoint of the service may be ejected.
func (s *serviceState) canEjectOne() bool {
	ejected := 0
	for _, es := range s.endpoints {
		if es.ejection.ejected {
			ejected++
		}
	}
	return ejectionDivisor*(ejected+1) <= len(s.endpoints)
}

// usableSlots returns the number of requests that this daemon may have in
// progress at the worker.
func (w *workerState) usableSlots(now time.Time) int {
	return min(w.slots.usable(now), w.connections.usable(now))
}
