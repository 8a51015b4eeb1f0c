// Package guavagateway answers callers' HTTP requests by forwarding them to
// endpoints of services.
//
// The model: a Gateway is one daemon's callers' listener. The daemon's control
// goroutine sets an immutable Snapshot; request goroutines read it and share a
// guavaroute.Router behind a mutex, which is held for decisions only, never
// during I/O. A request obtains a slot of a worker, is written to a pooled
// connection, and its answer is buffered whole and checked before the first
// byte goes to the caller. Deadlines are set on connections, so that no
// request goes on behind the back of a caller that was answered.
//
// A request that has no answer of an endpoint ends in one of the outcomes of
// guavascale.Outcome. NotRun is said only when no byte of it was written to an
// endpoint's connection or the endpoint itself rejected it. To know that, each
// connection counts the bytes written to it. A connection on which anything
// went wrong is closed and not used again.
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
)

type (
	// Snapshot is what the request path knows of the fleet. It is immutable
	// once set.
	Snapshot struct {
		// Daemon is this daemon's name and one of Daemons.
		Daemon string
		Zone   guavascale.Zone
		// Daemons holds the names of all live daemons.
		Daemons   []string
		Services  map[string]guavascale.Service
		Endpoints []guavascale.Endpoint
		// Isolated is set while the daemon reaches neither the store nor any
		// peer. Its view of zones and endpoints may then be out of date while
		// that of the others is not, so callers should go to other daemons.
		Isolated bool
		// ValidUntil is when the snapshot may no longer be acted on; requests
		// are NotRun from then on. The zero value sets no end.
		ValidUntil time.Time
		// ZonesOut holds the zones that get no requests.
		ZonesOut map[guavascale.Zone]bool
		Preset   guavascale.Preset
	}

	// Limits bounds what callers may send. The zero value of a field stands
	// for its default.
	Limits struct {
		// RequestBytes and AnswerBytes bound bodies, in bytes.
		RequestBytes int
		AnswerBytes  int
		// HeaderBytes bounds the headers of requests and answers.
		HeaderBytes int
		// ReadTime bounds the time from a request's first byte to its last.
		ReadTime time.Duration
		// IdleTime closes a caller's connection without a request.
		IdleTime time.Duration
		// Connections bounds callers' connections.
		Connections int
	}

	// Gateway forwards callers' requests. Its fields are set before Serve and
	// not changed afterwards; the zero value works and has no endpoint. A
	// Gateway serves one listener once.
	Gateway struct {
		// Claims grants idempotency keys; without it, keyed requests get
		// NotRun.
		Claims guavascale.Claims
		// Clock is the source of time; nil is guavascale.WallClock.
		Clock  guavascale.Clock
		Limits Limits
		// HedgeAfter sends an idempotent request without an answer after this
		// time to a second endpoint, within the retry budget; 0 never does.
		HedgeAfter time.Duration
		Log        zerolog.Logger
		// Registry receives the metrics; nil is a registry of its own.
		Registry metrics.Registry

		snapshot atomic.Pointer[Snapshot]
		// readyAt is when the slots of the first snapshot are usable, in
		// nanoseconds of Unix time; 0 before.
		readyAt atomic.Int64
		// validUntil is the snapshot's ValidUntil in nanoseconds of Unix time,
		// 0 when it has none.
		validUntil atomic.Int64
		draining   atomic.Bool
		requests   atomic.Uint64
		active     atomic.Int64
		tickets    atomic.Uint64

		// mu guards router and waiting.
		mu      sync.Mutex
		router  guavaroute.Router
		waiting map[uint64]chan guavaroute.Event

		once   sync.Once
		server *fasthttp.Server
		pool   pool
		finish pond.Pool
		meters meters
		// run distinguishes Request-Ids of different starts.
		run  string
		stop chan struct{}
		down sync.Once
	}
)

const (
	// maxDeadline bounds each request, so that a graceful shutdown ends.
	maxDeadline = 30 * time.Second
	// tickInterval is how often waiting requests are looked at without any
	// other event.
	tickInterval = 20 * time.Millisecond
	// finishWorkers and finishQueue bound the records of answers in progress.
	finishWorkers = 32
	finishQueue   = 1024
)

// LivePath and ReadyPath answer 200 or 503 on the callers' listener.
const (
	LivePath  = "/-/live"
	ReadyPath = "/-/ready"
)

func (l Limits) withDefaults() Limits {
	l.RequestBytes = orDefault(l.RequestBytes, 1<<20)
	l.AnswerBytes = orDefault(l.AnswerBytes, 8<<20)
	l.HeaderBytes = orDefault(l.HeaderBytes, 16<<10)
	l.ReadTime = orDefault(l.ReadTime, 10*time.Second)
	l.IdleTime = orDefault(l.IdleTime, 60*time.Second)
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
	g.once.Do(func() {
		g.Limits = g.Limits.withDefaults()
		if g.Clock == nil {
			g.Clock = guavascale.WallClock{}
		}
		if g.Registry == nil {
			g.Registry = metrics.NewRegistry()
		}
		g.meters = newMeters(g.Registry)
		g.waiting = map[uint64]chan guavaroute.Event{}
		g.finish = pond.NewPool(finishWorkers, pond.WithQueueSize(finishQueue), pond.WithNonBlocking(true))
		g.pool.headerBytes = g.Limits.HeaderBytes
		g.run = strconv.FormatUint(rand.Uint64(), 36)
		g.stop = make(chan struct{})
		g.server = g.newServer()
	})
}

// Set replaces the snapshot. Endpoints that are leaving or not listed any more
// get no request from then on.
func (g *Gateway) Set(s *Snapshot) {
	g.init()
	now := g.Clock.Now()
	g.snapshot.Store(s)
	g.Extend(s.ValidUntil)
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
	g.pool.keep(s.Endpoints)
}

// Ready reports whether callers should send requests to this daemon: a
// snapshot is set, its slots are usable, and no shutdown has begun.
func (g *Gateway) Ready() bool {
	g.init()
	at := g.readyAt.Load()
	s := g.snapshot.Load()
	return s != nil && !s.Isolated && !g.expired() && at != 0 && g.Clock.Now().UnixNano() >= at && !g.draining.Load()
}

// Serve answers callers on ln until Shutdown. It fails with the listener's
// error.
func (g *Gateway) Serve(ln net.Listener) error {
	g.init()
	go g.tick()
	return g.server.Serve(&limitListener{Listener: ln, limit: int64(g.Limits.Connections)})
}

// tick decides on waiting requests regularly, for slots become usable and
// ejections end without any event.
func (g *Gateway) tick() {
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
			g.pool.sweep(time.Now())
		}
	}
}

// deliver passes events to waiting requests. The caller holds mu.
func (g *Gateway) deliver(events []guavaroute.Event) {
	for _, e := range events {
		if ch, ok := g.waiting[e.RequestID]; ok {
			delete(g.waiting, e.RequestID)
			ch <- e
		}
	}
	g.meters.slots.Update(int64(g.router.InUse()))
}
