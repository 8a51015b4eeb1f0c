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
	// scenario is one run of the model.
	scenario struct {
		policy string
		// generateLoad is the rate of requests as a part of capacity.
		load float64
		// out is the part of workers that fails in the middle half of the run.
		out float64
		// queueMs is the longest waiting time of the preset; 0 is the default.
		queueMs float64
		seed    uint64
		length  time.Duration
	}

	result struct {
		latency        *hdrhistogram.Histogram
		goodput        float64
		refused        float64
		byPriority     [3]float64
		latencies      [3]*hdrhistogram.Histogram
		leastSlots     float64
		mostSlots      float64
		amplification  float64
		outageAnswered float64
	}

	// model is a fleet in virtual time. Requests arrive at random daemons;
	// workers serve up to their slots and queue the rest in order.
	model struct {
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
		mean  time.Duration
		busy  int
		queue []*job
	}

	simDaemon struct {
		router   guavaroute.Router
		waiting  map[uint64]*job
		baseline guavaroute.Baseline
		inUse    []int
	}

	// job is one request of a caller.
	job struct {
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
		over     bool
		inOutage bool
		measured bool
	}

	counters struct {
		latency                            *hdrhistogram.Histogram
		latencies                          [3]*hdrhistogram.Histogram
		arrived, good, refused             int
		byPriority, goodByPriority         [3]int
		outAccepted, outSent, outSucceeded int
	}

	event struct {
		at   time.Duration
		seq  uint64
		do   func(*job, int)
		job  *job
		what int
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
	tickTime         = 20 * time.Millisecond
	warmUp           = 500 * time.Millisecond
	breakTime        = time.Millisecond
	baselineAttempts = 3
	shares           = "Shares"
)

const modelText = "The model: 7 daemons, 50 workers of 8 slots and 60 connections, exponential service times with a mean of 10 ms, 5 workers with 40 ms; Poisson arrivals at random daemons; a caller's deadline of 250 ms; 10% of requests urgent, 60% normal, 30% low. Network delays are left out. A worker queues requests beyond its slots, refuses connections beyond 60, and does not notice that a caller gave up. `Shares` is package guavaroute with its defaults; the other policies choose among all workers without limits or admission control.\n\n"

var policies = []string{shares, string(guavaroute.LeastConnections), string(guavaroute.RoundRobin), string(guavaroute.Random)}

func newModel(s scenario) *model {
	m := &model{scenario: s, rnd: rand.New(rand.NewPCG(s.seed, 7))}
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
		d.waiting = map[uint64]*job{}
		d.inUse = make([]int, workerCount)
		d.baseline.Kind = guavaroute.BaselineKind(s.policy)
		d.router.Rand = rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		v := m.view
		v.Daemon = v.Daemons[i]
		d.router.Update(m.time().Add(-guavaroute.SlotActivationDelay), v)
	}
	return m
}

// time converts virtual time for the router.
func (m *model) time() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

// capacity is the greatest rate of answers, per second.
func (m *model) capacity() float64 {
	sum := 0.0
	for _, w := range m.workers {
		sum += slotsPerWorker / w.mean.Seconds()
	}
	return sum
}

func (m *model) at(d time.Duration, j *job, what int, do func(*job, int)) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, seq: m.sequence, do: do, job: j, what: what})
}

func (m *model) run() result {
	m.arrive(nil, 0)
	if m.policy == shares {
		for i := range m.daemons {
			m.at(tickTime, nil, i, m.tick)
		}
	}
	end := warmUp + m.length
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		if m.now > end+2*callerDeadline {
			break
		}
		e.do(e.job, e.what)
	}
	c := m.count
	r := result{
		latency:   c.latency,
		latencies: c.latencies,
		goodput:   float64(c.good) / (m.capacity() * m.length.Seconds()),
		refused:   float64(c.refused) / float64(c.arrived),
	}
	for i := range r.byPriority {
		r.byPriority[i] = float64(c.goodByPriority[i]) / float64(c.byPriority[i])
	}
	r.leastSlots, r.mostSlots = m.extremes()
	if c.outAccepted > 0 {
		r.amplification = float64(c.outSent) / float64(c.outAccepted)
		r.outageAnswered = float64(c.outSucceeded) / float64(c.outAccepted)
	}
	return r
}

// extremes returns the least and the greatest number of slots of a daemon.
func (m *model) extremes() (least, most float64) {
	for i, d := range m.view.Daemons {
		sum := 0
		for _, e := range m.view.Endpoints {
			sum += guavaroute.Allocate(e.Worker, d, m.view.Daemons, e.Slots, e.Connections).Slots
		}
		if i == 0 || float64(sum) < least {
			least = float64(sum)
		}
		most = max(most, float64(sum))
	}
	return least, most
}

// arrive starts a request and plans the next arrival.
func (m *model) arrive(*job, int) {
	if m.now > warmUp+m.length {
		return
	}
	gap := m.rnd.ExpFloat64() / (m.load * m.capacity())
	m.at(time.Duration(gap*float64(time.Second)), nil, 0, m.arrive)
	j := &job{
		id: m.sequence, daemon: m.rnd.IntN(daemonCount), arrived: m.now, deadline: m.now + callerDeadline,
		measured: m.now >= warmUp, inOutage: m.out > 0 && m.outage(),
	}
	switch p := m.rnd.Float64(); {
	case p < 0.1:
		j.priority = guavaroute.Urgent
	case p < 0.7:
		j.priority = guavaroute.Normal
	default:
		j.priority = guavaroute.Low
	}
	if j.measured {
		m.count.arrived++
		m.count.byPriority[j.priority]++
	}
	m.start(j)
}

func (m *model) outage() bool {
	t := m.now - warmUp
	return t >= m.length/4 && t < m.length*3/4
}

// fails reports whether a worker breaks connections now.
func (m *model) fails(worker int) bool {
	return m.out > 0 && m.outage() && float64(worker) < m.out*workerCount-0.5
}

// finish counts the end of a request.
func (m *model) finish(j *job, answered bool) {
	if j.over {
		return
	}
	j.over = true
	if !j.measured || !answered {
		return
	}
	if j.inOutage {
		m.count.outSucceeded++
	}
	if m.now <= j.deadline {
		m.count.good++
		m.count.goodByPriority[j.priority]++
		_ = m.count.latency.RecordValue((m.now - j.arrived).Microseconds())
		_ = m.count.latencies[j.priority].RecordValue((m.now - j.arrived).Microseconds())
	}
}

func (m *model) refuse(j *job) {
	j.over = true
	if j.measured {
		m.count.refused++
	}
}

// of returns a latency of the requests of one priority in milliseconds.
func (r result) of(p guavaroute.Priority, q float64) float64 {
	return float64(r.latencies[p].ValueAtQuantile(q)) / 1000
}

// quantile returns a latency in milliseconds.
func (r result) quantile(q float64) float64 {
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
