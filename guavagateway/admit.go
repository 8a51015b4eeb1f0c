package guavagateway

import (
	"time"

	"guavascale.example/guavaroute"
)

// admit obtains the first slot, waiting for one as long as the queue allows.
func (r *request) admit() (guavaroute.Pick, *failure) {
	g := r.g
	now := g.Clock.Now()
	t := guavaroute.Request{
		ID:       g.tickets.Add(1),
		Service:  r.service.Name,
		Priority: r.priority,
		Deadline: now.Add(time.Until(r.deadline)),
	}
	g.mu.Lock()
	e, shed := g.router.Submit(now, t)
	var ch chan guavaroute.Event
	if e.Decision == guavaroute.Queued {
		ch = make(chan guavaroute.Event, 1)
		g.waiting[t.ID] = ch
	}
	if shed.RequestID != 0 {
		g.deliver([]guavaroute.Event{shed})
	}
	g.meters.slots.Update(int64(g.router.InUse()))
	g.mu.Unlock()
	if ch != nil {
		e = <-ch
	}
	return r.verdict(e)
}

func (r *request) verdict(e guavaroute.Event) (guavaroute.Pick, *failure) {
	switch e.Decision {
	case guavaroute.Granted:
		return e.Pick, nil
	case guavaroute.NoEndpoint:
		return guavaroute.Pick{}, unavailable("service " + r.service.Name + " has no endpoint")
	default:
		return guavaroute.Pick{}, overload()
	}
}

func (r *request) overloaded() bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.g.router.Overloaded(r.g.Clock.Now(), r.service.Name, r.priority)
}

// done gives a slot back and wakes the requests that wait for one.
func (g *Gateway) done(p guavaroute.Pick, rep reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.router.Done(g.Clock.Now(), p, rep.result()))
}
