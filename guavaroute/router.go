package guavaroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Router holds the routing state of one daemon. Its zero value works and
	// has no endpoint.
	Router struct {
		// Rand is the source of random choices; nil is a source with a random
		// seed.
		Rand *rand.Rand
		// Budget limits retries.
		Budget Budget

		view View
		// daemonsSince is when the set of daemons changed last.
		daemonsSince time.Time
		workers      map[guavascale.WorkerID]*workerState
		endpoints    map[guavascale.TaskID]*endpointState
		services     map[string]*serviceState
		scratch      []Candidate
		free         []*endpointState
		heads        []head
	}

	head struct {
		waiter
		service *serviceState
	}

	workerState struct {
		slots       ramp
		connections ramp
		inUse       int
		// limits are those of the worker itself that slots and connections
		// were computed from.
		limits Allotment
		// services are those with an endpoint on the worker.
		services []string
	}

	endpointState struct {
		endpoint guavascale.Endpoint
		worker   *workerState
		service  *serviceState
		ejection ejection
		latency  average
		inUse    int
	}

	serviceState struct {
		// endpoints holds those that may get new requests.
		endpoints []*endpointState
		workers   []*workerState
		queue     queue
		latency   average
	}
)

// Update sets what the router knows of the fleet. Endpoints that are leaving
// or whose zone is out get no request from then on; requests in progress there
// go on. The events decide on waiting tickets.
func (r *Router) Update(now time.Time, v View) []Event {
	sameDaemons := v.Daemon == r.view.Daemon && slices.Equal(v.Daemons, r.view.Daemons)
	if !sameDaemons {
		r.daemonsSince = now
	}
	r.view = v
	r.Budget.Ratio = retryRatio(v.Preset)
	r.updateWorkers(now, v, sameDaemons)
	r.updateEndpoints(v)
	return r.Tick(now)
}

// updateWorkers takes over the workers of the endpoints. The shares of a worker
// are computed again only when the daemons or its limits changed.
func (r *Router) updateWorkers(now time.Time, v View, sameDaemons bool) {
	old := r.workers
	// The slots of a worker that was not known are held as long as the set of
	// daemons has been the same, since that set alone decides on the shares. A
	// new endpoint is thus usable at once while no daemon comes or goes.
	r.workers = make(map[guavascale.WorkerID]*workerState, len(old))
	for _, e := range v.Endpoints {
		w := r.workers[e.Worker]
		if w == nil {
			since := now
			w = old[e.Worker]
			if w == nil {
				w = &workerState{}
				since = r.daemonsSince
			}
			w.services = nil
			r.workers[e.Worker] = w
			limits := Allotment{e.Slots, e.Connections}
			if !sameDaemons || w.limits != limits {
				a := Share(e.Worker, v.Daemon, v.Daemons, e.Slots, e.Connections)
				w.slots.set(since, a.Slots)
				w.connections.set(since, a.Connections)
				w.limits = limits
			}
		}
		if !slices.Contains(w.services, e.Service) {
			w.services = append(w.services, e.Service)
		}
	}
	// A worker that is not listed any more may return while requests to it are
	// in progress; its slots count as lost, its use is remembered.
	for id, w := range old {
		if r.workers[id] == nil && w.inUse > 0 {
			w.slots.set(now, 0)
			w.connections.set(now, 0)
			w.limits = Allotment{}
			w.services = nil
			r.workers[id] = w
		}
	}
}

func (r *Router) updateEndpoints(v View) {
	oldEndpoints, oldServices := r.endpoints, r.services
	r.endpoints = make(map[guavascale.TaskID]*endpointState, len(v.Endpoints))
	r.services = make(map[string]*serviceState, len(oldServices))
	type pair struct {
		service *serviceState
		worker  *workerState
	}
	listed := make(map[pair]bool)
	for _, e := range v.Endpoints {
		s := r.service(e.Service, oldServices)
		if e.Leaving || v.ZonesOut[e.Zone] {
			continue
		}
		es := oldEndpoints[e.Task]
		if es == nil || es.endpoint.Address != e.Address {
			es = &endpointState{}
		}
		es.endpoint, es.service, es.worker = e, s, r.workers[e.Worker]
		r.endpoints[e.Task] = es
		s.endpoints = append(s.endpoints, es)
		if at := (pair{s, es.worker}); !listed[at] {
			listed[at] = true
			s.workers = append(s.workers, es.worker)
		}
	}
	for name, s := range oldServices {
		if r.services[name] == nil && s.queue.len() > 0 {
			s.endpoints, s.workers = nil, nil
			r.services[name] = s
		}
	}
}

func (r *Router) service(name string, old map[string]*serviceState) *serviceState {
	s := r.services[name]
	if s != nil {
		return s
	}
	s = old[name]
	if s == nil {
		s = &serviceState{}
	}
	s.endpoints, s.workers = nil, nil
	r.services[name] = s
	return s
}

// Submit decides on a new request of a caller: Granted with a Pick, Queued,
// Refused or NoEndpoint. The second event, when its ticket is not 0, refuses a
// waiting ticket of lower priority in favour of this one.
func (r *Router) Submit(now time.Time, t Ticket) (Event, Event) {
	s := r.services[t.Service]
	if s == nil || len(s.endpoints) == 0 {
		return Event{Ticket: t.ID, Verdict: NoEndpoint}, Event{}
	}
	if s.queue.ahead(t.Priority) == 0 {
		if p, ok := r.acquire(now, s, 0, nil); ok {
			return Event{Ticket: t.ID, Verdict: Granted, Pick: p}, Event{}
		}
	}
	capacity := r.capacity(now, s)
	until := r.patience(now, t)
	if s.queue.full(t.Priority, capacity) || r.wait(now, s, t.Priority) > until.Sub(now) {
		return Event{Ticket: t.ID, Verdict: Refused}, Event{}
	}
	shed, ok := s.queue.push(waiter{t, now, until}, capacity)
	if ok && shed.ID == t.ID {
		return Event{Ticket: t.ID, Verdict: Refused}, Event{}
	}
	if !ok {
		return Event{Ticket: t.ID, Verdict: Queued}, Event{}
	}
	return Event{Ticket: t.ID, Verdict: Queued}, Event{Ticket: shed.ID, Verdict: Refused}
}

// Overloaded reports whether Submit would refuse a ticket now.
func (r *Router) Overloaded(now time.Time, service string, p Priority) bool {
	s := r.services[service]
	if s == nil {
		return false
	}
	return s.queue.len() > 0 && s.queue.full(p, r.capacity(now, s))
}

// Retry takes a slot for another attempt of a request, at none of the
// endpoints already tried, and one retry of the budget. It does not wait.
func (r *Router) Retry(now time.Time, service string, tried []guavascale.TaskID) (Pick, bool) {
	s := r.services[service]
	if s == nil {
		return Pick{}, false
	}
	p, ok := r.acquire(now, s, 0, tried)
	if !ok {
		return Pick{}, false
	}
	if r.Budget.Retry(now) {
		return p, true
	}
	r.giveBack(p)
	return Pick{}, false
}

// Cancel takes a waiting ticket out of its queue and reports whether it was
// there.
func (r *Router) Cancel(t Ticket) bool {
	s := r.services[t.Service]
	return s != nil && s.queue.remove(t.ID)
}

// Done gives a slot back. The events decide on waiting tickets.
func (r *Router) Done(now time.Time, p Pick, res Result) []Event {
	es := p.state
	es.inUse--
	es.worker.inUse--
	es.observe(now, res)
	if !res.Rejected && !res.Failed {
		r.Budget.Answered(now)
	}
	es.ejection.end(now, p.probe, res, es.service.maySpare())
	var events []Event
	for {
		e, ok := r.grantOne(now, es.worker.services)
		if !ok {
			return events
		}
		events = append(events, e)
	}
}

// Tick decides on waiting tickets: those that waited too long have expired,
// and slots that became usable are granted.
func (r *Router) Tick(now time.Time) []Event {
	var events []Event
	names := make([]string, 0, len(r.services))
	for name, s := range r.services {
		names = append(names, name)
		for _, t := range s.queue.expire(now) {
			events = append(events, Event{Ticket: t.ID, Verdict: Expired})
		}
	}
	slices.Sort(names)
	for {
		e, ok := r.grantOne(now, names)
		if !ok {
			return events
		}
		events = append(events, e)
	}
}

// grantOne serves the first waiting ticket of the services that finds a slot:
// higher priorities first, then the one that waits longest.
func (r *Router) grantOne(now time.Time, services []string) (Event, bool) {
	r.heads = r.heads[:0]
	for _, name := range services {
		s := r.services[name]
		if s == nil {
			continue
		}
		if w, ok := s.queue.peek(); ok {
			r.heads = append(r.heads, head{w, s})
		}
	}
	slices.SortStableFunc(r.heads, func(a, b head) int { return a.compare(b.waiter) })
	for _, h := range r.heads {
		if p, ok := r.acquire(now, h.service, now.Sub(h.since), nil); ok {
			h.service.queue.pop()
			return Event{Ticket: h.ticket.ID, Verdict: Granted, Pick: p}, true
		}
	}
	return Event{}, false
}

func (w waiter) compare(o waiter) int {
	if w.ticket.Priority != o.ticket.Priority {
		return cmp.Compare(w.ticket.Priority, o.ticket.Priority)
	}
	return w.since.Compare(o.since)
}

// observe updates latencies. A failure faster than usual is no observation,
// for an endpoint that refuses connections would look like the fastest one.
func (es *endpointState) observe(now time.Time, res Result) {
	switch {
	case res.Rejected:
	case !res.Failed:
		es.latency.add(now, res.Elapsed, endpointWeight)
		es.service.latency.add(now, res.Elapsed, serviceWeight)
	case float64(res.Elapsed) > es.service.latency.value:
		es.latency.add(now, res.Elapsed, endpointWeight)
	}
}

// giveBack undoes acquire; nothing was sent.
func (r *Router) giveBack(p Pick) {
	p.state.inUse--
	p.state.worker.inUse--
	if p.probe {
		p.state.ejection.probing = false
	}
}
