package guavaroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"guavascale.example"
)

type (
	// Router holds the routing state of one daemon. The zero value is ready to
	// use and has no endpoints.
	Router struct {
		// Rand is the source of random choices. If nil, a randomly seeded source
		// is used.
		Rand *rand.Rand
		// RetryBudget limits retries.
		RetryBudget RetryBudget

		view View
		// daemonsChangedAt is when the set of live daemons last changed.
		daemonsChangedAt time.Time
		workers          map[guavascale.WorkerID]*workerState
		endpoints        map[guavascale.TaskID]*endpointState
		services         map[string]*serviceState
		// candidates, candidateEndpoints and queueHeads are buffers that are
		// reused between calls. candidateEndpoints is parallel to candidates.
		candidates         []Candidate
		candidateEndpoints []*endpointState
		queueHeads         []queueHead
	}

	// queueHead is the first queued request of a service.
	queueHead struct {
		queuedRequest
		service *serviceState
	}

	workerState struct {
		slots       delayedCount
		connections delayedCount
		inUse       int
		// limits are the worker's total limits, from which slots and
		// connections were allocated.
		limits Allocation
		// services lists the services that have an endpoint on the worker.
		services []string
	}

	endpointState struct {
		endpoint guavascale.Endpoint
		worker   *workerState
		service  *serviceState
		ejection ejection
		latency  movingAverage
		inUse    int
	}

	serviceState struct {
		// endpoints holds the endpoints that accept new requests; workers holds
		// the distinct workers that they run on.
		endpoints []*endpointState
		workers   []*workerState
		queue     queue
		latency   movingAverage
	}
)

// Update replaces the router's view of the fleet. Endpoints that are leaving or
// whose zone is out receive no new requests; requests in progress there
// continue. The returned events are decisions on queued requests.
func (r *Router) Update(now time.Time, v View) []Event {
	sameDaemons := v.Daemon == r.view.Daemon && slices.Equal(v.Daemons, r.view.Daemons)
	if !sameDaemons {
		r.daemonsChangedAt = now
	}
	r.view = v
	r.RetryBudget.Ratio = retryRatio(v.Preset)
	r.updateWorkers(now, v, sameDaemons)
	r.updateEndpoints(v)
	return r.Tick(now)
}

// updateWorkers rebuilds the set of workers from the listed endpoints. A
// worker's allocation is recomputed only when the set of daemons or the worker's
// limits changed.
func (r *Router) updateWorkers(now time.Time, v View, sameDaemons bool) {
	oldWorkers := r.workers
	// Slots of a newly listed worker count as held since the set of daemons last
	// changed, because allocations depend only on that set. A new endpoint is
	// therefore usable immediately while the set of daemons is stable.
	r.workers = make(map[guavascale.WorkerID]*workerState, len(oldWorkers))
	for _, e := range v.Endpoints {
		w := r.workers[e.Worker]
		if w == nil {
			since := now
			w = oldWorkers[e.Worker]
			if w == nil {
				w = &workerState{}
				since = r.daemonsChangedAt
			}
			w.services = nil
			r.workers[e.Worker] = w
			limits := Allocation{e.Slots, e.Connections}
			if !sameDaemons || w.limits != limits {
				a := Allocate(e.Worker, v.Daemon, v.Daemons, e.Slots, e.Connections)
				w.slots.set(since, a.Slots)
				w.connections.set(since, a.Connections)
				w.limits = limits
			}
		}
		if !slices.Contains(w.services, e.Service) {
			w.services = append(w.services, e.Service)
		}
	}
	// A worker that is no longer listed may be listed again while requests to it
	// are in progress. Its slots are dropped, but its in-use count is kept.
	for id, w := range oldWorkers {
		if r.workers[id] == nil && w.inUse > 0 {
			w.slots.set(now, 0)
			w.connections.set(now, 0)
			w.limits = Allocation{}
			w.services = nil
			r.workers[id] = w
		}
	}
}

func (r *Router) updateEndpoints(v View) {
	oldEndpoints, oldServices := r.endpoints, r.services
	r.endpoints = make(map[guavascale.TaskID]*endpointState, len(v.Endpoints))
	r.services = make(map[string]*serviceState, len(oldServices))
	type serviceWorker struct {
		service *serviceState
		worker  *workerState
	}
	listed := make(map[serviceWorker]bool)
	for _, e := range v.Endpoints {
		s := r.ensureService(e.Service, oldServices)
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
		if key := (serviceWorker{s, es.worker}); !listed[key] {
			listed[key] = true
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

func (r *Router) ensureService(name string, old map[string]*serviceState) *serviceState {
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
// Refused or NoEndpoint. If the RequestID of the second event is not 0, that event
// refuses a queued request of lower priority to make room for this one.
func (r *Router) Submit(now time.Time, req Request) (Event, Event) {
	s := r.services[req.Service]
	if s == nil || len(s.endpoints) == 0 {
		return Event{RequestID: req.ID, Decision: NoEndpoint}, Event{}
	}
	if s.queue.queuedAhead(req.Priority) == 0 {
		if p, ok := r.acquireSlot(now, s, 0, nil); ok {
			return Event{RequestID: req.ID, Decision: Granted, Pick: p}, Event{}
		}
	}
	capacity := r.queueCapacity(now, s)
	deadline := r.queueDeadline(now, req)
	if s.queue.full(req.Priority, capacity) || r.estimatedWait(now, s, req.Priority) > deadline.Sub(now) {
		return Event{RequestID: req.ID, Decision: Refused}, Event{}
	}
	shed, ok := s.queue.push(queuedRequest{req, now, deadline}, capacity)
	if ok && shed.ID == req.ID {
		return Event{RequestID: req.ID, Decision: Refused}, Event{}
	}
	if !ok {
		return Event{RequestID: req.ID, Decision: Queued}, Event{}
	}
	return Event{RequestID: req.ID, Decision: Queued}, Event{RequestID: shed.ID, Decision: Refused}
}

// Overloaded reports whether Submit would refuse a request of priority p now
// because the service's queue is full.
func (r *Router) Overloaded(now time.Time, service string, p Priority) bool {
	s := r.services[service]
	if s == nil {
		return false
	}
	return s.queue.len() > 0 && s.queue.full(p, r.queueCapacity(now, s))
}

// Retry acquires a slot for another attempt of a request, excluding the
// endpoints in tried, and withdraws one retry from the budget. It never queues.
func (r *Router) Retry(now time.Time, service string, tried []guavascale.TaskID) (Pick, bool) {
	s := r.services[service]
	if s == nil {
		return Pick{}, false
	}
	p, ok := r.acquireSlot(now, s, 0, tried)
	if !ok {
		return Pick{}, false
	}
	if r.RetryBudget.TryWithdraw(now) {
		return p, true
	}
	r.releaseUnused(p)
	return Pick{}, false
}

// Cancel removes a request from its queue and reports whether it was queued.
func (r *Router) Cancel(req Request) bool {
	s := r.services[req.Service]
	return s != nil && s.queue.remove(req.ID)
}

// Done releases the slot of p and records how the request ended. The returned
// events are decisions on queued requests.
func (r *Router) Done(now time.Time, p Pick, res Result) []Event {
	es := p.state
	es.inUse--
	es.worker.inUse--
	es.recordLatency(now, res)
	if !res.Rejected && !res.Failed {
		r.RetryBudget.Deposit(now)
	}
	es.ejection.recordResult(now, p.probe, res, es.service.canEjectOne())
	var events []Event
	for {
		e, ok := r.grantNext(now, es.worker.services)
		if !ok {
			return events
		}
		events = append(events, e)
	}
}

// Tick expires requests that have been queued too long and grants slots that
// have become usable to queued requests.
func (r *Router) Tick(now time.Time) []Event {
	var events []Event
	names := make([]string, 0, len(r.services))
	for name, s := range r.services {
		names = append(names, name)
		for _, req := range s.queue.expire(now) {
			events = append(events, Event{RequestID: req.ID, Decision: Expired})
		}
	}
	slices.Sort(names)
	for {
		e, ok := r.grantNext(now, names)
		if !ok {
			return events
		}
		events = append(events, e)
	}
}

// grantNext grants a slot to the first queued request of the services for which
// one is available, in order of priority and then of time in the queue.
func (r *Router) grantNext(now time.Time, services []string) (Event, bool) {
	r.queueHeads = r.queueHeads[:0]
	for _, name := range services {
		s := r.services[name]
		if s == nil {
			continue
		}
		if w, ok := s.queue.peek(); ok {
			r.queueHeads = append(r.queueHeads, queueHead{w, s})
		}
	}
	slices.SortStableFunc(r.queueHeads, func(a, b queueHead) int { return a.compare(b.queuedRequest) })
	for _, h := range r.queueHeads {
		if p, ok := r.acquireSlot(now, h.service, now.Sub(h.queuedAt), nil); ok {
			h.service.queue.pop()
			return Event{RequestID: h.request.ID, Decision: Granted, Pick: p}, true
		}
	}
	return Event{}, false
}

// compare orders requests by priority, then by the time they were queued.
func (q queuedRequest) compare(other queuedRequest) int {
	if q.request.Priority != other.request.Priority {
		return cmp.Compare(q.request.Priority, other.request.Priority)
	}
	return q.queuedAt.Compare(other.queuedAt)
}

// recordLatency updates the latency averages. Failures faster than the service's
// mean latency are ignored; otherwise an endpoint that refuses connections would
// appear to be the fastest.
func (es *endpointState) recordLatency(now time.Time, res Result) {
	switch {
	case res.Rejected:
	case !res.Failed:
		es.latency.add(now, res.Elapsed, endpointWeight)
		es.service.latency.add(now, res.Elapsed, serviceWeight)
	case float64(res.Elapsed) > es.service.latency.value:
		es.latency.add(now, res.Elapsed, endpointWeight)
	}
}

// releaseUnused reverts acquireSlot for a Pick on which no request was sent.
func (r *Router) releaseUnused(p Pick) {
	p.state.inUse--
	p.state.worker.inUse--
	if p.probe {
		p.state.ejection.probing = false
	}
}
