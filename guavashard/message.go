package guavashard

import (
	"time"

	"guavascale.example"
)

// buildMessages makes one message for each worker that has none under way and
// needs orders or a report. Orders are made from the committed state.
func (s *Shard) buildMessages() {
	if !s.now.Before(s.view.ActUntil) {
		return
	}
	for _, w := range s.order {
		if w.underWay || w.worker.AgentAddress == "" {
			continue
		}
		m := guavascale.Orders{Shard: s.Name, Epoch: s.Epoch, Since: w.version}
		until := s.addOrders(&m, w)
		if len(m.Orders) == 0 && s.now.Sub(w.sentAt) < s.reportInterval() {
			continue
		}
		if len(m.Orders) > 0 {
			m.Incarnation = w.incarnation
			m.NotAfterMs = w.clockMs + until.Sub(w.clockAt).Milliseconds()
		}
		w.underWay, w.sentAt = true, s.now
		s.effects.Messages = append(s.effects.Messages, Message{Worker: w.worker, Orders: m})
	}
}

// addOrders adds the orders that a worker needs and returns the time after
// which the message must have no effect.
func (s *Shard) addOrders(m *guavascale.Orders, w *workerState) time.Time {
	until := s.view.ActUntil
	if !w.fenced || w.incarnation == "" {
		return until
	}
	mayStart := s.mayStart(w)
	for _, e := range w.tasks {
		if e.task.Incarnation != w.incarnation {
			continue
		}
		if mayStart && s.needsStart(w, e) {
			until = earlier(until, s.view.StartUntil)
		}
	}
	for _, e := range w.tasks {
		if e.task.Incarnation == w.incarnation {
			s.addTaskOrders(m, w, e, until, mayStart)
		}
	}
	for _, a := range w.orphans {
		m.Orders = append(m.Orders, guavascale.Order{Kind: guavascale.OrderStop, Attempt: a, Checkpoint: true})
	}
	if !s.now.After(w.startsUntil) {
		return until
	}
	w.forgetting = append(w.forgetting[:0], w.forget...)
	for _, a := range w.forgetting {
		m.Orders = append(m.Orders, guavascale.Order{Kind: guavascale.OrderForget, Attempt: a})
	}
	return until
}

// mayStart reports whether start orders may be sent to the worker now.
func (s *Shard) mayStart(w *workerState) bool {
	return s.now.Before(s.view.StartUntil) && !s.view.Config.ZonesOut[s.Zone] && !s.closed(w)
}

func (s *Shard) needsStart(w *workerState, e *entry) bool {
	if e.task.State != guavascale.TaskStarting || e.seen || e.next != nil {
		return false
	}
	_, known := w.reports[e.attempt]
	return !known
}

func (s *Shard) addTaskOrders(m *guavascale.Orders, w *workerState, e *entry, until time.Time, mayStart bool) {
	lease := time.Duration(e.task.LeaseSeconds * float64(time.Second))
	switch {
	case mayStart && s.needsStart(w, e):
		t := e.task
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderStart, Attempt: e.attempt, Task: &t, LeaseMs: lease.Milliseconds(),
		})
		e.sent, e.sentUntil = true, later(e.sentUntil, until)
		w.startsUntil = later(w.startsUntil, until)
		e.leaseUntil = later(e.leaseUntil, until.Add(lease+leaseMargin))
		e.renewed = s.now
		return
	case e.task.State == guavascale.TaskStopping:
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderStop, Attempt: e.attempt, Checkpoint: !s.cancelled(&e.task),
		})
		return
	}
	// A renewal may arrive although nothing is heard of the worker, so each one
	// that is sent extends the time after which the task may start elsewhere.
	// Sent to a worker that never returns they would extend it for ever.
	if !e.seen || !s.responsive(w) {
		return
	}
	if s.now.Sub(e.renewed) >= lease/4 {
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderRenew, Attempt: e.attempt, LeaseMs: lease.Milliseconds(),
		})
		e.leaseUntil = later(e.leaseUntil, until.Add(lease+leaseMargin))
		e.renewed = s.now
	}
	if s.needsThrottle(e) {
		e.throttled = s.now
		m.Orders = append(m.Orders, guavascale.Order{
			Kind: guavascale.OrderThrottle, Attempt: e.attempt, Percent: e.throttle,
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
