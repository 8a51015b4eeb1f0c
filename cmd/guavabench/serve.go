package main

import (
	"strconv"
	"time"

	"guavascale.example/guavaroute"
)

// start routes a new request.
func (m *model) start(j *job) {
	if m.policy == shares {
		d := &m.daemons[j.daemon]
		d.waiting[j.id] = j
		e, shed := d.router.Submit(m.time(), guavaroute.Request{
			ID: j.id, Service: "svc", Priority: j.priority, Deadline: m.time().Add(callerDeadline),
		})
		m.decide(d, e)
		m.decide(d, shed)
		return
	}
	if j.inOutage {
		m.count.outAccepted++
	}
	m.sendBaseline(j)
}

// decide carries out a verdict of a router.
func (m *model) decide(d *simDaemon, e guavaroute.Event) {
	j := d.waiting[e.RequestID]
	if j == nil || e.Decision == guavaroute.Queued {
		return
	}
	delete(d.waiting, e.RequestID)
	if e.Decision != guavaroute.Granted {
		m.refuse(j)
		return
	}
	if j.inOutage {
		m.count.outAccepted++
	}
	j.pick = e.Pick

	m.sendPicked(j)
}

func (m *model) decideAll(d *simDaemon, es []guavaroute.Event) {
	for _, e := range es {
		m.decide(d, e)
	}
}

func (m *model) tick(_ *job, daemon int) {
	d := &m.daemons[daemon]
	m.decideAll(d, d.router.Tick(m.time()))
	m.at(tickTime, nil, daemon, m.tick)
}

func (m *model) sendPicked(j *job) {
	// Worker names are "w" and the index.
	j.worker, _ = strconv.Atoi(string(j.pick.Endpoint.Worker)[1:])
	m.send(j)
}

func (m *model) sendBaseline(j *job) {
	d := &m.daemons[j.daemon]
	j.worker = d.baseline.Pick(d.inUse, m.rnd)
	d.inUse[j.worker]++
	m.send(j)
}

// send hands an attempt to its worker.
func (m *model) send(j *job) {
	j.attempts++
	j.sent = m.now
	w := &m.workers[j.worker]
	if w.busy+len(w.queue) >= connsPerWorker {
		// The connection is refused; nothing was sent.
		m.at(breakTime, j, j.attempts, m.broken)
		return
	}
	if j.inOutage {
		m.count.outSent++
	}
	if m.fails(j.worker) {
		m.at(breakTime, j, j.attempts, m.broken)
		return
	}
	m.at(j.deadline-m.now, j, j.attempts, m.giveUp)
	if w.busy < slotsPerWorker {
		m.work(j, j.attempts)
		return
	}
	w.queue = append(w.queue, j)
}

// work occupies a slot of the worker until the request is served.
func (m *model) work(j *job, attempt int) {
	w := &m.workers[j.worker]
	w.busy++
	d := time.Duration(m.rnd.ExpFloat64() * float64(w.mean))
	m.at(d, j, attempt, m.served)
}

func (m *model) served(j *job, attempt int) {
	w := &m.workers[j.worker]
	w.busy--
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		m.work(next, next.attempts)
	}
	if j.over || attempt != j.attempts {
		return
	}
	m.finish(j, true)
	m.release(j, false)
}

// giveUp ends a request at its deadline; the worker goes on with it.
func (m *model) giveUp(j *job, attempt int) {
	if j.over || attempt != j.attempts {
		return
	}
	m.finish(j, false)
	m.release(j, false)
}

func (m *model) release(j *job, failed bool) {
	d := &m.daemons[j.daemon]
	if m.policy != shares {
		d.inUse[j.worker]--
		return
	}
	m.decideAll(d, d.router.Done(m.time(), j.pick, guavaroute.Result{Elapsed: m.now - j.sent, Failed: failed}))
}

// broken ends an attempt that failed and sends the request again if allowed.
func (m *model) broken(j *job, _ int) {
	m.release(j, true)
	if m.now >= j.deadline {
		m.finish(j, false)
		return
	}
	if m.policy != shares {
		if j.attempts >= baselineAttempts {
			m.finish(j, false)
			return
		}
		m.sendBaseline(j)
		return
	}
	d := &m.daemons[j.daemon]
	j.tried = append(j.tried, j.pick.Endpoint.Task)
	p, ok := d.router.Retry(m.time(), "svc", j.tried)
	if !ok {
		m.finish(j, false)
		return
	}
	j.pick = p
	m.sendPicked(j)
}
