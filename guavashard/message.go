package guavashard

import (
	"time"

	"guavascale.example"
)

// buildMessages builds a message for each worker that needs orders or is due
// for a report and has no message in flight. Orders are derived from the
// committed state.
func (s *Shard) buildMessages() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	restarts := s.restarts()
	for _, w := range s.sortedWorkers {
		if w.inFlight || w.worker.AgentAddress == "" {
			continue
		}
		m := guavascale.Orders{Shard: s.Name, Epoch: s.Epoch, Since: w.reportVersion}
		notAfter := s.addOrders(&m, w)
		if len(m.Orders) == 0 && s.now.Sub(w.lastSentAt) < s.reportInterval() {
			continue
		}
		if s.requestHeld(w, restarts) {
			continue
		}
		if len(m.Orders) > 0 {
			m.Incarnation = w.incarnation
			m.NotAfterMs = w.clockMs + notAfter.Sub(w.clockAt).Milliseconds()
		}
		w.inFlight, w.lastSentAt = true, s.now
		s.effects.Messages = append(s.effects.Messages, Message{Worker: w.worker, Orders: m})
	}
}

// addOrders adds the orders for a worker and returns the time after which the
// worker must ignore the message.
func (s *Shard) addOrders(m *guavascale.Orders, w *workerState) time.Time {
	notAfter := s.view.ActUntil
	if !w.fenced || w.incarnation == "" {
		return notAfter
	}
	startsAllowed := s.canSendStarts(w)
	for _, e := range w.tasks {
		if e.task.Incarnation != w.incarnation {
			continue
		}
		if startsAllowed && s.needsStart(w, e) && !s.startHeld(e) {
			notAfter = earlier(notAfter, s.view.StartUntil)
		}
	}
	for _, e := range w.tasks {
		if e.task.Incarnation == w.incarnation {
			s.addTaskOrders(m, w, e, notAfter, startsAllowed)
		}
	}
	for _, a := range w.orphans {
		m.Orders = append(m.Orders, guavascale.Order{Kind: guavascale.OrderStop, Attempt: a, Checkpoint: true})
	}
	if !s.now.After(w.startExpiry) {
		return notAfter
	}
	w.forgetInFlight = append(w.forgetInFlight[:0], w.forgettable...)
	for _, a := range w.forgetInFlight {
		m.Orders = append(m.Orders, guavascale.Order{Kind: guavascale.OrderForget, Attempt: a})
	}
	return notAfter
}

// canSendStarts reports whether start orders may currently be sent to the
// worker. Its capacity may have shrunk since its tasks were placed.
func (s *Shard) canSendStarts(w *workerState) bool {
	return s.now.Before(s.view.StartUntil) && !s.view.Config.ZonesOut[s.Zone] && !s.unschedulable(w) &&
		w.worker.Capacity.Fits(w.used)
}

func (s *Shard) needsStart(w *workerState, e *taskEntry) bool {
	if e.task.State != guavascale.TaskStarting || e.reportedRunning || e.proposed != nil {
		return false
	}
	_, known := w.reports[e.attempt]
	return !known
}

func (s *Shard) addTaskOrders(m *guavascale.Orders, w *workerState, e *taskEntry, notAfter time.Time, startsAllowed bool) {
	lease := time.Duration(e.task.LeaseSeconds * float64(time.Second))
	switch {
	case startsAllowed && s.needsStart(w, e) && !s.startHeld(e):
		t := e.task
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderStart, Attempt: e.attempt, Task: &t, LeaseMs: lease.Milliseconds(),
		})
		e.startSent, e.startExpiry = true, later(e.startExpiry, notAfter)
		e.startInherited, e.startUntil = false, notAfter
		w.startExpiry = later(w.startExpiry, notAfter)
		e.leaseExpiry = later(e.leaseExpiry, notAfter.Add(lease+leaseMargin))
		e.renewedAt = s.now
		return
	case e.task.State == guavascale.TaskStopping:
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderStop, Attempt: e.attempt, Checkpoint: !s.cancelled(&e.task),
		})
		return
	}
	// A renewal may arrive even if the worker's response is lost, so each
	// renewal that is sent postpones the time at which the task may start on
	// another worker. Do not send renewals to an unresponsive worker: if it
	// never returned, they would postpone that time indefinitely.
	if !e.reportedRunning || !s.responsive(w) {
		return
	}
	if s.now.Sub(e.renewedAt) >= lease/4 {
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderRenew, Attempt: e.attempt, LeaseMs: lease.Milliseconds(),
		})
		e.leaseExpiry = later(e.leaseExpiry, notAfter.Add(lease+leaseMargin))
		e.renewedAt = s.now
	}
	if s.needsThrottle(e) {
		e.throttleSentAt = s.now
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderThrottle, Attempt: e.attempt, Percent: e.throttlePercent,
		})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
