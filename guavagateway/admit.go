package guavagateway

import (
	"time"

	"guavascale.example/guavaroute"
)

// admit acquires the slot for the first attempt, waiting in the queue if necessary.
func (r *request) admit() (guavaroute.Pick, *failure) {
	g := r.g
	now := g.Clock.Now()
	req := guavaroute.Request{
		ID:       g.lastRouterRequestID.Add(1),
		Service:  r.service.Name,
		Priority: r.priority,
		Deadline: now.Add(time.Until(r.deadline)),
	}
	g.mu.Lock()
	e, shed := g.router.Submit(now, req)
	var events chan guavaroute.Event
	if e.Decision == guavaroute.Queued {
		events = make(chan guavaroute.Event, 1)
		g.waiting[req.ID] = events
	}
	if shed.RequestID != 0 {
		g.deliver([]guavaroute.Event{shed})
	}
	g.metrics.slotsInUse.Update(int64(g.router.InUse()))
	g.mu.Unlock()
	if events != nil {
		e = <-events
	}
	return r.pickOrFailure(e)
}

func (r *request) pickOrFailure(e guavaroute.Event) (guavaroute.Pick, *failure) {
	switch e.Decision {
	case guavaroute.Granted:
		return e.Pick, nil
	case guavaroute.NoEndpoint:
		return guavaroute.Pick{}, unavailable("service " + r.service.Name + " has no endpoint")
	default:
		return guavaroute.Pick{}, overloaded()
	}
}

func (r *request) isOverloaded() bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.g.router.Overloaded(r.g.Clock.Now(), r.service.Name, r.priority)
}

// releaseSlot releases the slot of p and wakes up requests that get a slot as a
// result.
func (g *Gateway) releaseSlot(p guavaroute.Pick, res attemptResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.router.Done(g.Clock.Now(), p, res.routeResult()))
}
