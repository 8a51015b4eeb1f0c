// Package guavagateway implements an HTTP reverse proxy that forwards callers'
// requests to the endpoints of services.
//
// A Gateway serves one daemon's listener for callers. The daemon's control goroutine
// sets an immutable Snapshot; request goroutines read it and share a
// guavaroute.Router that is protected by a mutex. The mutex is held only to make
// routing decisions, never during I/O. A request acquires a slot of a worker and
// is written to a pooled connection. The response is fully buffered and validated
// before its first byte is sent to the caller. Deadlines are set on connections,
// so that no attempt continues after the caller got its response.
//
// A request without a response from an endpoint ends with one of the outcomes of
// guavascale.Outcome. NotRun is reported only if no byte of the request was
// written to a connection to an endpoint, or the endpoint itself rejected the
// request. For this, each connection counts the bytes written to it. A connection
// is closed and not reused after any error.
package guavagateway

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"guavascale.example"
	"guavascale.example/guavaroute"
	"guavascale.example/internal/listen"
)

type (
	// Snapshot is the view of the fleet that requests are routed by. It must not
	// be modified once set.
	Snapshot struct {
		// Daemon is the name of this daemon; it is one of Daemons.
		Daemon string
		Zone   guavascale.Zone
		// Daemons holds the names of all live daemons.
		Daemons   []string
		Services  map[string]guavascale.Service
		Endpoints []guavascale.Endpoint
		// Isolated is set while the daemon can reach neither the store nor any
		// peer. Its view of zones and endpoints may then be stale while that of
		// other daemons is current, so callers should use other daemons.
		Isolated bool
		// ValidUntil is when the snapshot expires. Requests are answered with
		// NotRun from then on. The zero value means that it never expires.
		ValidUntil time.Time
		// ZonesOut holds the zones that receive no requests.
		ZonesOut map[guavascale.Zone]bool
		Preset   guavascale.Preset
	}

	// Limits holds the gateway's limits. The zero value of a field selects its
	// default.
	Limits struct {
		// RequestBytes and ResponseBytes are the maximum body sizes in bytes.
		RequestBytes  int
		ResponseBytes int
		// HeaderBytes is the maximum size of the headers of a request or response.
		HeaderBytes int
		// ReadTimeout limits the time from a request's first byte to its last.
		ReadTimeout time.Duration
		// IdleTimeout is how long a caller's connection may stay idle.
		IdleTimeout time.Duration
		// Connections is the maximum number of callers' connections.
		Connections int
	}

	// Gateway forwards callers' requests to endpoints. Its exported fields must be
	// set before first use and not changed afterwards. The zero value is ready to
	// use and has no endpoints. Serve may be called only once.
	Gateway struct {
		// Claims grants idempotency keys. If nil, requests with a key are
		// answered with NotRun.
		Claims guavascale.Claims
		// Clock is the source of time; nil means guavascale.WallClock.
		Clock  guavascale.Clock
		Limits Limits
		// HedgeAfter is how long an idempotent request waits for a response before
		// it is also sent to a second endpoint, within the retry budget. 0
		// disables hedging.
		HedgeAfter time.Duration
		Log        zerolog.Logger
		// Registry receives the metrics. If nil, a private registry is used.
		Registry metrics.Registry

		snapshot atomic.Pointer[Snapshot]
		// readyAt is when the slots of the first snapshot become usable, in Unix
		// nanoseconds; 0 if no snapshot has been set.
		readyAt atomic.Int64
		// validUntil is the snapshot's ValidUntil in Unix nanoseconds, or 0 if it
		// never expires.
		validUntil          atomic.Int64
		draining            atomic.Bool
		lastRequestID       atomic.Uint64
		active              atomic.Int64
		lastRouterRequestID atomic.Uint64

		// mu protects router and waiting.
		mu      sync.Mutex
		router  guavaroute.Router
		waiting map[uint64]chan guavaroute.Event

		initOnce  sync.Once
		server    *fasthttp.Server
		listeners listen.Group
		pool      connPool
		recorders pond.Pool
		metrics   gatewayMetrics
		// runID is a prefix that makes Request-Ids unique across restarts.
		runID        string
		stop         chan struct{}
		shutdownOnce sync.Once
	}
)

const (
	// maxDeadline limits the duration of each request, so that a graceful
	// shutdown terminates.
	maxDeadline = 30 * time.Second
	// tickInterval is how often queued requests are checked in the absence of
	// other events.
	tickInterval = 20 * time.Millisecond
	// recordWorkers and recordQueueSize limit the concurrent and pending recordings
	// of responses to requests with an idempotency key.
	recordWorkers   = 32
	recordQueueSize = 1024
)

// LivePath and ReadyPath are the paths of the health checks on the listener
// for callers. They respond with status 200 or 503.
const (
	LivePath  = "/-/live"
	ReadyPath = "/-/ready"
)

func (l Limits) withDefaults() Limits {
	l.RequestBytes = orDefault(l.RequestBytes, 1<<20)
	l.ResponseBytes = orDefault(l.ResponseBytes, 8<<20)
	l.HeaderBytes = orDefault(l.HeaderBytes, 16<<10)
	l.ReadTimeout = orDefault(l.ReadTimeout, 10*time.Second)
	l.IdleTimeout = orDefault(l.IdleTimeout, 60*time.Second)
	l.Connections = orDefault(l.Connections, 10_000)
	return l
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (g *Gateway) init() {
	g.initOnce.Do(func() {
		g.Limits = g.Limits.withDefaults()
		if g.Clock == nil {
			g.Clock = guavascale.WallClock{}
		}
		if g.Registry == nil {
			g.Registry = metrics.NewRegistry()
		}
		g.metrics = newGatewayMetrics(g.Registry)
		g.waiting = map[uint64]chan guavaroute.Event{}
		g.recorders = pond.NewPool(recordWorkers, pond.WithQueueSize(recordQueueSize), pond.WithNonBlocking(true))
		g.pool.headerBytes = g.Limits.HeaderBytes
		g.runID = strconv.FormatUint(rand.Uint64(), 36)
		g.stop = make(chan struct{})
		g.server = g.newServer()
	})
}

// SetSnapshot replaces the snapshot. Endpoints that are leaving or no longer listed
// receive no further requests.
func (g *Gateway) SetSnapshot(s *Snapshot) {
	g.init()
	now := g.Clock.Now()
	g.snapshot.Store(s)
	g.SetValidUntil(s.ValidUntil)
	g.readyAt.CompareAndSwap(0, now.Add(guavaroute.SlotActivationDelay).UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.router.Update(now, guavaroute.View{
		Daemon:    s.Daemon,
		Zone:      s.Zone,
		Daemons:   s.Daemons,
		Endpoints: s.Endpoints,
		ZonesOut:  s.ZonesOut,
		Preset:    s.Preset,
	}))
	g.pool.retainWorkers(s.Endpoints)
}

// Ready reports whether callers should send requests to this daemon: a snapshot is
// set, not expired and not isolated, its slots are usable, and the gateway is not
// draining.
func (g *Gateway) Ready() bool {
	g.init()
	at := g.readyAt.Load()
	s := g.snapshot.Load()
	return s != nil && !s.Isolated && !g.expired() && at != 0 && g.Clock.Now().UnixNano() >= at && !g.draining.Load()
}

// Serve accepts and serves callers' connections on ln until Shutdown. It returns the
// listener's error, if any.
func (g *Gateway) Serve(ln net.Listener) error {
	g.init()
	go g.runTicker()
	return g.listeners.Serve(ln, func(ln net.Listener) error {
		return g.server.Serve(&limitListener{Listener: ln, limit: int64(g.Limits.Connections)})
	})
}

// runTicker periodically processes queued requests, because slots become usable and
// ejections end without any other event. It also closes expired idle connections.
func (g *Gateway) runTicker() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.mu.Lock()
			g.deliver(g.router.Tick(g.Clock.Now()))
			g.mu.Unlock()
			g.pool.closeExpired(time.Now())
		}
	}
}

// deliver passes events to the requests that wait for them. g.mu must be held.
func (g *Gateway) deliver(events []guavaroute.Event) {
	for _, e := range events {
		if ch, ok := g.waiting[e.RequestID]; ok {
			delete(g.waiting, e.RequestID)
			ch <- e
		}
	}
	g.metrics.slotsInUse.Update(int64(g.router.InUse()))
}
