package guavagateway

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"guavascale.example"
	"guavascale.example/guavaroute"
)

type (
	// State is a copy of a Gateway's state for the state dump.
	State struct {
		Ready    bool
		Draining bool
		// Active is the number of callers' requests in progress.
		Active int64
		// Waiting is the number of requests that wait for a slot.
		Waiting int
		Routes  guavaroute.State
		// Connections is the number of open connections by worker.
		Connections map[guavascale.WorkerID]int
		// Requests, Answered, Retries and Outcomes count since the daemon started.
		Requests int64
		Answered int64
		Retries  int64
		Outcomes map[guavascale.Outcome]int64
	}

	gatewayMetrics struct {
		requests   metrics.Counter
		answered   metrics.Counter
		retries    metrics.Counter
		outcomes   map[guavascale.Outcome]metrics.Counter
		slotsInUse metrics.Gauge
		latency    metrics.Timer
	}

	// serverLog forwards log messages of the HTTP server to the gateway's log.
	serverLog struct{ g *Gateway }
)

func newGatewayMetrics(r metrics.Registry) gatewayMetrics {
	m := gatewayMetrics{
		requests:   metrics.GetOrRegisterCounter("gateway.requests", r),
		answered:   metrics.GetOrRegisterCounter("gateway.answered", r),
		retries:    metrics.GetOrRegisterCounter("gateway.retries", r),
		outcomes:   map[guavascale.Outcome]metrics.Counter{},
		slotsInUse: metrics.GetOrRegisterGauge("gateway.slots-in-use", r),
		latency:    metrics.GetOrRegisterTimer("gateway.latency", r),
	}
	for _, o := range []guavascale.Outcome{guavascale.OutcomeNotRun, guavascale.OutcomeUnknown, guavascale.OutcomeAlreadyRun} {
		m.outcomes[o] = metrics.GetOrRegisterCounter("gateway.outcome."+string(o), r)
	}
	return m
}

func (m gatewayMetrics) countOutcome(o guavascale.Outcome) { m.outcomes[o].Inc(1) }

// State returns a copy of the gateway's state.
func (g *Gateway) State() State {
	g.init()
	st := State{
		Ready:       g.Ready(),
		Draining:    g.draining.Load(),
		Active:      g.active.Load(),
		Connections: g.pool.openByWorker(),
		Requests:    g.metrics.requests.Count(),
		Answered:    g.metrics.answered.Count(),
		Retries:     g.metrics.retries.Count(),
		Outcomes:    map[guavascale.Outcome]int64{},
	}
	for o, c := range g.metrics.outcomes {
		st.Outcomes[o] = c.Count()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st.Waiting = len(g.waiting)
	st.Routes = g.router.State(g.Clock.Now())
	return st
}

// Printf logs a message of the HTTP server at debug level.
func (l serverLog) Printf(format string, args ...any) {
	l.g.Log.Debug().Msg("gateway: " + fmt.Sprintf(format, args...))
}
