package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"guavascale.example"
	"guavascale.example/guavaroute"
)

type (
	// scenario holds the parameters of one simulation.
	scenario struct {
		policy string
		// load is the arrival rate as a fraction of the capacity.
		load float64
		// outageFraction is the fraction of workers that fail during the
		// middle half of the run.
		outageFraction float64
		// queueMs is the maximum queueing time in the preset; 0 selects the
		// default.
		queueMs float64
		seed    uint64
		length  time.Duration
	}

	routingResult struct {
		latency        *hdrhistogram.Histogram
		goodput        float64
		refused        float64
		byPriority     [3]float64                 // fraction answered within the deadline
		latencies      [3]*hdrhistogram.Histogram // by priority
		minSlots       float64
		maxSlots       float64
		amplification  float64 // requests sent per request accepted, in the outage
		outageAnswered float64
	}

	// queueModel is a discrete-event simulation of daemons and workers. Each
	// request arrives at a random daemon. A worker serves as many requests at a
	// time as it has slots and queues the others in FIFO order.
	queueModel struct {
		scenario
		rnd      *rand.Rand
		now      time.Duration
		events   events
		sequence uint64
		workers  []simWorker
		daemons  []simDaemon
		view     guavaroute.View
		count    counters
	}

	simWorker struct {
		mean  time.Duration // mean service time
		busy  int           // slots in use
		queue []*request
	}

	simDaemon struct {
		router   guavaroute.Router
		waiting  map[uint64]*request
		baseline guavaroute.Baseline
		inUse    []int // baseline attempts in progress, by worker
	}

	// request is one request of a caller with all of its attempts.
	request struct {
		id       uint64
		daemon   int
		priority guavaroute.Priority
		arrived  time.Duration
		deadline time.Duration
		attempts int
		pick     guavaroute.Pick
		worker   int
		sent     time.Duration
		tried    []guavascale.TaskID
		finished bool
		inOutage bool
		measured bool
	}

	counters struct {
		latency                                     *hdrhistogram.Histogram
		latencies                                   [3]*hdrhistogram.Histogram
		arrived, good, refused                      int
		byPriority, goodByPriority                  [3]int
		outageAccepted, outageSent, outageSucceeded int
	}

	event struct {
		at     time.Duration
		seq    uint64
		handle func(*request, int)
		req    *request
		arg    int
	}

	events []event
)

const (
	daemonCount      = 7
	workerCount      = 50
	slowWorkers      = 5
	slotsPerWorker   = 8
	connsPerWorker   = 60
	meanService      = 10 * time.Millisecond
	slowFactor       = 4
	callerDeadline   = 250 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	warmUp           = 500 * time.Millisecond
	disconnectDelay  = time.Millisecond
	baselineAttempts = 3
	policyShares     = "Shares"
)

const modelText = "The model: 7 daemons, 50 workers of 8 slots and 60 connections, exponential service times with a mean of 10 ms, 5 workers with 40 ms; Poisson arrivals at random daemons; a caller's deadline of 250 ms; 10% of requests urgent, 60% normal, 30% low. Network delays are left out. A worker queues requests beyond its slots, refuses connections beyond 60, and does not notice that a caller gave up. `Shares` is package guavaroute with its defaults; the other policies choose among all workers without limits or admission control.\n\n"

var policies = []string{policyShares, string(guavaroute.LeastConnections), string(guavaroute.RoundRobin), string(guavaroute.Random)}

func newModel(s scenario) *queueModel {
	m := &queueModel{scenario: s, rnd: rand.New(rand.NewPCG(s.seed, 7))}
	m.count.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range m.count.latencies {
		m.count.latencies[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	m.view = guavaroute.View{Zone: "a", Preset: guavascale.Preset{QueueMs: s.queueMs}}
	for i := range daemonCount {
		m.view.Daemons = append(m.view.Daemons, fmt.Sprintf("d%d", i))
	}
	for i := range workerCount {
		w := simWorker{mean: meanService}
		if i%(workerCount/slowWorkers) == 0 {
			w.mean *= slowFactor
		}
		m.workers = append(m.workers, w)
		m.view.Endpoints = append(m.view.Endpoints, guavascale.Endpoint{
			Service: "svc", Task: guavascale.TaskID(fmt.Sprint(i)), Worker: guavascale.WorkerID(fmt.Sprint("w", i)),
			Zone: "a", Slots: slotsPerWorker, Connections: connsPerWorker,
		})
	}
	m.daemons = make([]simDaemon, daemonCount)
	for i := range m.daemons {
		d := &m.daemons[i]
		d.waiting = map[uint64]*request{}
		d.inUse = make([]int, workerCount)
		d.baseline.Kind = guavaroute.BaselineKind(s.policy)
		d.router.Rand = rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		v := m.view
		v.Daemon = v.Daemons[i]
		d.router.Update(m.wallTime().Add(-guavaroute.SlotActivationDelay), v)
	}
	return m
}

// wallTime returns the virtual time as the time.Time that the router expects.
func (m *queueModel) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

// capacity returns the maximum throughput of all workers in responses per second.
func (m *queueModel) capacity() float64 {
	sum := 0.0
	for _, w := range m.workers {
		sum += slotsPerWorker / w.mean.Seconds()
	}
	return sum
}

func (m *queueModel) schedule(d time.Duration, req *request, arg int, handle func(*request, int)) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, seq: m.sequence, handle: handle, req: req, arg: arg})
}

func (m *queueModel) run() routingResult {
	m.arrive(nil, 0)
	if m.policy == policyShares {
		for i := range m.daemons {
			m.schedule(tickInterval, nil, i, m.tick)
		}
	}
	end := warmUp + m.length
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		if m.now > end+2*callerDeadline {
			break
		}
		e.handle(e.req, e.arg)
	}
	c := m.count
	r := routingResult{
		latency:   c.latency,
		latencies: c.latencies,
		goodput:   float64(c.good) / (m.capacity() * m.length.Seconds()),
		refused:   float64(c.refused) / float64(c.arrived),
	}
	for i := range r.byPriority {
		r.byPriority[i] = float64(c.goodByPriority[i]) / float64(c.byPriority[i])
	}
	r.minSlots, r.maxSlots = m.slotRange()
	if c.outageAccepted > 0 {
		r.amplification = float64(c.outageSent) / float64(c.outageAccepted)
		r.outageAnswered = float64(c.outageSucceeded) / float64(c.outageAccepted)
	}
	return r
}

// slotRange returns the minimum and maximum number of slots that a daemon holds.
func (m *queueModel) slotRange() (minSlots, maxSlots float64) {
	for i, d := range m.view.Daemons {
		sum := 0
		for _, e := range m.view.Endpoints {
			sum += guavaroute.Allocate(e.Worker, d, m.view.Daemons, e.Slots, e.Connections).Slots
		}
		if i == 0 || float64(sum) < minSlots {
			minSlots = float64(sum)
		}
		maxSlots = max(maxSlots, float64(sum))
	}
	return minSlots, maxSlots
}

// arrive creates and routes a request, and schedules the next arrival.
func (m *queueModel) arrive(*request, int) {
	if m.now > warmUp+m.length {
		return
	}
	gap := m.rnd.ExpFloat64() / (m.load * m.capacity())
	m.schedule(time.Duration(gap*float64(time.Second)), nil, 0, m.arrive)
	req := &request{
		id: m.sequence, daemon: m.rnd.IntN(daemonCount), arrived: m.now, deadline: m.now + callerDeadline,
		measured: m.now >= warmUp, inOutage: m.outageFraction > 0 && m.inOutage(),
	}
	switch p := m.rnd.Float64(); {
	case p < 0.1:
		req.priority = guavaroute.Urgent
	case p < 0.7:
		req.priority = guavaroute.Normal
	default:
		req.priority = guavaroute.Low
	}
	if req.measured {
		m.count.arrived++
		m.count.byPriority[req.priority]++
	}
	m.route(req)
}

func (m *queueModel) inOutage() bool {
	t := m.now - warmUp
	return t >= m.length/4 && t < m.length*3/4
}

// workerFails reports whether a worker breaks its connections at this time.
func (m *queueModel) workerFails(worker int) bool {
	return m.outageFraction > 0 && m.inOutage() && float64(worker) < m.outageFraction*workerCount-0.5
}

// finish marks a request as finished and counts its result.
func (m *queueModel) finish(req *request, answered bool) {
	if req.finished {
		return
	}
	req.finished = true
	if !req.measured || !answered {
		return
	}
	if req.inOutage {
		m.count.outageSucceeded++
	}
	if m.now <= req.deadline {
		m.count.good++
		m.count.goodByPriority[req.priority]++
		_ = m.count.latency.RecordValue((m.now - req.arrived).Microseconds())
		_ = m.count.latencies[req.priority].RecordValue((m.now - req.arrived).Microseconds())
	}
}

func (m *queueModel) refuse(req *request) {
	req.finished = true
	if req.measured {
		m.count.refused++
	}
}

// priorityQuantile returns a latency percentile of the requests of one priority,
// in milliseconds.
func (r routingResult) priorityQuantile(p guavaroute.Priority, q float64) float64 {
	return float64(r.latencies[p].ValueAtQuantile(q)) / 1000
}

// quantile returns a latency percentile of all requests, in milliseconds.
func (r routingResult) quantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / 1000
}

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
