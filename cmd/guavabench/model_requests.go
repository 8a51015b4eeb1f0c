package main

import (
	"strconv"
	"time"

	"guavascale.example/guavaroute"
)

// route submits a new request to the router of its daemon, or sends it by the
// baseline policy.
func (m *queueModel) route(req *request) {
	if m.policy == policyShares {
		d := &m.daemons[req.daemon]
		d.waiting[req.id] = req
		e, shed := d.router.Submit(m.wallTime(), guavaroute.Request{
			ID: req.id, Service: "svc", Priority: req.priority, Deadline: m.wallTime().Add(callerDeadline),
		})
		m.applyEvent(d, e)
		m.applyEvent(d, shed)
		return
	}
	if req.inOutage {
		m.count.outageAccepted++
	}
	m.sendBaseline(req)
}

// applyEvent applies a router's decision on a waiting request.
func (m *queueModel) applyEvent(d *simDaemon, e guavaroute.Event) {
	req := d.waiting[e.RequestID]
	if req == nil || e.Decision == guavaroute.Queued {
		return
	}
	delete(d.waiting, e.RequestID)
	if e.Decision != guavaroute.Granted {
		m.refuse(req)
		return
	}
	if req.inOutage {
		m.count.outageAccepted++
	}
	req.pick = e.Pick
	m.sendPicked(req)
}

func (m *queueModel) applyEvents(d *simDaemon, es []guavaroute.Event) {
	for _, e := range es {
		m.applyEvent(d, e)
	}
}

func (m *queueModel) tick(_ *request, daemon int) {
	d := &m.daemons[daemon]
	m.applyEvents(d, d.router.Tick(m.wallTime()))
	m.schedule(tickInterval, nil, daemon, m.tick)
}

func (m *queueModel) sendPicked(req *request) {
	// A worker's ID is "w" followed by its index.
	req.worker, _ = strconv.Atoi(string(req.pick.Endpoint.Worker)[1:])
	m.send(req)
}

func (m *queueModel) sendBaseline(req *request) {
	d := &m.daemons[req.daemon]
	req.worker = d.baseline.Pick(d.inUse, m.rnd)
	d.inUse[req.worker]++
	m.send(req)
}

// send starts an attempt at the chosen worker.
func (m *queueModel) send(req *request) {
	req.attempts++
	req.sent = m.now
	w := &m.workers[req.worker]
	if w.busy+len(w.queue) >= connsPerWorker {
		// The worker refuses the connection, so the attempt does not count as
		// sent.
		m.schedule(disconnectDelay, req, req.attempts, m.failAttempt)
		return
	}
	if req.inOutage {
		m.count.outageSent++
	}
	if m.workerFails(req.worker) {
		m.schedule(disconnectDelay, req, req.attempts, m.failAttempt)
		return
	}
	m.schedule(req.deadline-m.now, req, req.attempts, m.expire)
	if w.busy < slotsPerWorker {
		m.serve(req, req.attempts)
		return
	}
	w.queue = append(w.queue, req)
}

// serve occupies a slot of the worker for a random service time.
func (m *queueModel) serve(req *request, attempt int) {
	w := &m.workers[req.worker]
	w.busy++
	d := time.Duration(m.rnd.ExpFloat64() * float64(w.mean))
	m.schedule(d, req, attempt, m.completeService)
}

func (m *queueModel) completeService(req *request, attempt int) {
	w := &m.workers[req.worker]
	w.busy--
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		m.serve(next, next.attempts)
	}
	if req.finished || attempt != req.attempts {
		return
	}
	m.finish(req, true)
	m.release(req, false)
}

// expire ends a request at its deadline. The worker keeps processing it.
func (m *queueModel) expire(req *request, attempt int) {
	if req.finished || attempt != req.attempts {
		return
	}
	m.finish(req, false)
	m.release(req, false)
}

func (m *queueModel) release(req *request, failed bool) {
	d := &m.daemons[req.daemon]
	if m.policy != policyShares {
		d.inUse[req.worker]--
		return
	}
	m.applyEvents(d, d.router.Done(m.wallTime(), req.pick, guavaroute.Result{Elapsed: m.now - req.sent, Failed: failed}))
}

// failAttempt ends a failed attempt and retries the request if the policy and the
// deadline allow it.
func (m *queueModel) failAttempt(req *request, _ int) {
	m.release(req, true)
	if m.now >= req.deadline {
		m.finish(req, false)
		return
	}
	if m.policy != policyShares {
		if req.attempts >= baselineAttempts {
			m.finish(req, false)
			return
		}
		m.sendBaseline(req)
		return
	}
	d := &m.daemons[req.daemon]
	req.tried = append(req.tried, req.pick.Endpoint.Task)
	p, ok := d.router.Retry(m.wallTime(), "svc", req.tried)
	if !ok {
		m.finish(req, false)
		return
	}
	req.pick = p
	m.sendPicked(req)
}
