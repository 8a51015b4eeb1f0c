package guavagateway

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"guavascale.example"
	"guavascale.example/guavaroute"
)

type (
	// State is the content of a Gateway for the state dump.
	State struct {
		Ready    bool
		Draining bool
		// Active counts callers' requests in progress.
		Active int64
		// Waiting counts requests that wait for a slot.
		Waiting int
		Routes  guavaroute.State
		// Connections counts open connections by worker.
		Connections map[guavascale.WorkerID]int
		// Requests, Answered, Retries and Outcomes count since the start.
		Requests int64
		Answered int64
		Retries  int64
		Outcomes map[guavascale.Outcome]int64
	}

	meters struct {
		requests metrics.Counter
		answered metrics.Counter
		retries  metrics.Counter
		outcomes map[guavascale.Outcome]metrics.Counter
		slots    metrics.Gauge
		latency  metrics.Timer
	}

	// serverLog passes messages of the HTTP server to the gateway's log.
	serverLog struct{ g *Gateway }
)

func newMeters(r metrics.Registry) meters {
	m := meters{
		requests: metrics.GetOrRegisterCounter("gateway.requests", r),
		answered: metrics.GetOrRegisterCounter("gateway.answered", r),
		retries:  metrics.GetOrRegisterCounter("gateway.retries", r),
		outcomes: map[guavascale.Outcome]metrics.Counter{},
		slots:    metrics.GetOrRegisterGauge("gateway.slots-in-use", r),
		latency:  metrics.GetOrRegisterTimer("gateway.latency", r),
	}
	for _, o := range []guavascale.Outcome{guavascale.OutcomeNotRun, guavascale.OutcomeUnknown, guavascale.OutcomeAlreadyRun} {
		m.outcomes[o] = metrics.GetOrRegisterCounter("gateway.outcome."+string(o), r)
	}
	return m
}

func (m meters) outcome(o guavascale.Outcome) { m.outcomes[o].Inc(1) }

// State returns a copy of the gateway's state.
func (g *Gateway) State() State {
	g.init()
	st := State{
		Ready:       g.Ready(),
		Draining:    g.draining.Load(),
		Active:      g.active.Load(),
		Connections: g.pool.open(),
		Requests:    g.meters.requests.Count(),
		Answered:    g.meters.answered.Count(),
		Retries:     g.meters.retries.Count(),
		Outcomes:    map[guavascale.Outcome]int64{},
	}
	for o, c := range g.meters.outcomes {
		st.Outcomes[o] = c.Count()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st.Waiting = len(g.waiting)
	st.Routes = g.router.State(g.Clock.Now())
	return st
}

// Printf logs a message of the HTTP server.
func (l serverLog) Printf(format string, args ...any) {
	l.g.Log.Debug().Msg("gateway: " + fmt.Sprintf(format, args...))
}
