// Package guavadaemon assembles one daemon.
//
// A control goroutine owns the state of the shards, the host list and the
// summaries of the other daemons. Ten times a second it advances each owned
// shard and applies the effects. Store calls, messages to workers and exchanges
// with peers run on bounded pools and post their results to the control
// goroutine's mailbox. The gateway serves requests from an immutable snapshot
// that the control goroutine publishes; requests never wait for that goroutine.
//
// A daemon keeps no state of its own: after a restart it takes over partitions
// and reads their logs. Run returns after a graceful shutdown: readiness turns
// false, the gateway completes its requests, partitions are released and the
// session row is deleted.
package guavadaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"guavascale.example"
	"guavascale.example/guavaclaim"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavagateway"
	"guavascale.example/guavalease"
	"guavascale.example/guavaoperator"
	"guavascale.example/guavapeer"
)

type (
	// Platform holds the clients of the platform that a daemon uses.
	Platform struct {
		Table   guavascale.Table
		Objects guavascale.Objects
		Hosts   guavascale.HostList
		Agent   guavascale.Agent
	}

	// Daemon runs the gateway, the operator API, the peer protocol and the control
	// goroutine. Settings (with defaults) and Platform are required. A Daemon can
	// run only once.
	Daemon struct {
		Settings guavaconfig.Settings
		Platform Platform
		Log      zerolog.Logger
		// Listen opens the listeners; net.Listen when nil.
		Listen func(network, address string) (net.Listener, error)

		clock    guavascale.Clock
		registry metrics.Registry
		watcher  *guavaconfig.Watcher
		leases   *guavalease.Driver
		claims   *guavaclaim.Router
		members  guavapeer.Members
		peers    guavapeer.Client
		server   guavapeer.Server
		gateway  guavagateway.Gateway
		operator guavaoperator.Server
		mailbox  *mailbox
		// writeLimiter limits the commit rate of all logs of this daemon.
		writeLimiter *rate.Limiter
		control      *control
		// storePool, workerPool and peerPool limit the number of concurrent calls.
		storePool  pond.Pool
		workerPool pond.Pool
		peerPool   pond.Pool
		// releasePool releases claims whose response was lost. It is full only during
		// an outage, in which a release would fail as well.
		releasePool pond.Pool
		started     time.Time
		stopping    atomic.Bool
		addresses   Addresses
		ready       chan struct{}
		killed      chan struct{}
		killOnce    sync.Once
		// gossipNow wakes the gossip goroutine before its next interval.
		gossipNow chan struct{}
	}

	// Addresses holds the addresses at which a running daemon is reached: those
	// it listens on, or the advertised ones if set.
	Addresses struct {
		Gateway  string
		Operator string
		Peer     string
		Metrics  string
	}

	listeners struct{ gateway, operator, peer, metrics net.Listener }
)

const (
	maxStoreCalls = 32
	// maxStoreWritesPerSecond is the share of the store's capacity of several
	// hundred writes a second that the logs of all live daemons may use together.
	maxStoreWritesPerSecond = 300
	storeWriteBurst         = 20
	maxWorkerCalls          = 64
	maxPeerCalls            = 16
	maxReleaseCalls         = 32
	maxQueuedReleases       = 1000
	// balancerDrainDelay is how long readiness is false before the gateway stops
	// accepting connections, so that the load balancer stops sending requests.
	balancerDrainDelay = 2 * time.Second
	// releaseTimeout limits the release of partitions at shutdown.
	releaseTimeout = 5 * time.Second
)

// Run starts the daemon and returns once ctx has ended and the graceful shutdown
// is complete, or after Kill. It fails if a listener cannot be opened.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	d.assemble(l)
	// The control goroutine and the leases outlive ctx, since they are needed
	// until the requests in progress are complete.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.start(background, l)
	close(d.ready)
	d.Log.Info().Str("Gateway", d.addresses.Gateway).Str("Operator", d.addresses.Operator).
		Str("peer", d.addresses.Peer).Msg("daemon: started")
	select {
	case <-ctx.Done():
		d.shutdown(cancel)
	case <-d.killed:
		d.closeAbruptly(cancel, l)
	}
	return nil
}

// Ready returns a channel that is closed once the daemon listens. Prepare must
// be called first.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Addresses returns the addresses in use; valid once Ready is closed.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Prepare makes Ready usable before Run is called.
func (d *Daemon) Prepare() {
	if d.ready == nil {
		d.ready = make(chan struct{})
		d.killed = make(chan struct{})
	}
}

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	d.Prepare()
	s := &d.Settings
	listen := d.Listen
	if listen == nil {
		listen = net.Listen
	}
	for _, e := range []struct {
		name string
		cfg  guavaconfig.Listener
		into *net.Listener
		addr *string
	}{
		{"Gateway", s.Gateway, &l.gateway, &d.addresses.Gateway},
		{"Operator", s.Operator, &l.operator, &d.addresses.Operator},
		{"Peer", s.Peer, &l.peer, &d.addresses.Peer},
		{"Metrics", s.Metrics, &l.metrics, &d.addresses.Metrics},
	} {
		if e.cfg.Listen == "" {
			continue
		}
		ln, err := listen("tcp", e.cfg.Listen)
		if err != nil {
			return l, fmt.Errorf("listen on %s (%s): %w", e.cfg.Listen, e.name, err)
		}
		*e.into = ln
		*e.addr = ln.Addr().String()
		if e.cfg.Advertise != "" {
			*e.addr = e.cfg.Advertise
		}
	}
	return l, nil
}

func (d *Daemon) assemble(listeners) {
	d.clock = guavascale.WallClock{}
	d.started = d.clock.Now()
	d.registry = metrics.NewRegistry()
	d.mailbox = newMailbox()
	d.gossipNow = make(chan struct{}, 1)
	d.storePool = pond.NewPool(maxStoreCalls)
	d.workerPool = pond.NewPool(maxWorkerCalls)
	d.peerPool = pond.NewPool(maxPeerCalls)
	d.releasePool = pond.NewPool(maxReleaseCalls, pond.WithQueueSize(maxQueuedReleases), pond.WithNonBlocking(true))
	iv := &d.Settings.Intervals
	d.watcher = &guavaconfig.Watcher{
		Table: d.Platform.Table, Clock: d.clock, Notify: d.gossipNow,
		Poll: guavaconfig.Seconds(iv.ConfigPollSeconds), Authority: guavaconfig.Seconds(iv.StartAuthoritySeconds),
	}
	d.writeLimiter = rate.NewLimiter(maxStoreWritesPerSecond, storeWriteBurst)
	d.leases = guavalease.NewDriver(guavalease.Options{
		Config: guavalease.Config{
			Daemon: d.Settings.Name, Address: d.addresses.Peer,
			RenewEvery: guavaconfig.Seconds(iv.SessionRenewSeconds),
			TTL:        guavaconfig.Seconds(iv.SessionTTLSeconds),
			Margin:     guavaconfig.Seconds(iv.SessionMarginSeconds),
		},
		Table: d.Platform.Table, Clock: d.clock, Logger: d.Log,
	})
	d.claims = d.newClaims()
	lim := &d.Settings.Limits
	d.gateway.Claims = d.claims
	d.gateway.Log = d.Log
	d.gateway.Registry = d.registry
	d.gateway.Limits = guavagateway.Limits{
		RequestBytes: lim.BodyBytes, HeaderBytes: lim.HeaderBytes,
		ReadTimeout: guavaconfig.Seconds(lim.ReadSeconds), Connections: lim.Connections,
	}
	d.operator.Backend = &backend{d}
	d.operator.Credentials = d.Settings.Credentials
	d.operator.Limits = *lim
	d.operator.Metrics = d.registry
	d.operator.Log = d.Log
	d.server.Members = &d.members
	d.server.Local = &peerHandler{d}
	d.server.Clock = d.clock
	d.control = newControl(d, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

func (d *Daemon) start(ctx context.Context, l listeners) {
	serve := func(name string, ln net.Listener, f func(net.Listener) error) {
		if ln == nil {
			return
		}
		go func() {
			if err := f(ln); err != nil && !d.stopping.Load() {
				d.Log.Error().Err(err).Str("Listener", name).Msg("daemon: listener failed")
			}
		}()
	}
	serve("Peer", l.peer, d.server.Serve)
	serve("Gateway", l.gateway, d.gateway.Serve)
	serve("Operator", l.operator, d.operator.Serve)
	serve("Metrics", l.metrics, d.operator.ServeMetrics)
	go d.leases.Run(ctx)
	go d.watcher.Run(ctx, func(err error) {
		d.Log.Debug().Err(err).Msg("config: reading the configuration from the store failed")
	})
	go d.gossip(ctx)
	go d.control.run(ctx)
}

// shutdown stops the daemon in an order that interrupts no request: first
// readiness, then the gateway, then partition ownership.
func (d *Daemon) shutdown(cancel context.CancelFunc) {
	d.Log.Info().Msg("daemon: shutting down")
	d.stopping.Store(true)
	d.gateway.Drain()
	time.Sleep(balancerDrainDelay)
	limit := guavaconfig.Seconds(d.Settings.Intervals.ShutdownSeconds)
	ctx, cancelTimeout := context.WithTimeout(context.Background(), limit)
	if err := d.gateway.Shutdown(ctx); err != nil {
		d.Log.Error().Err(err).Msg("daemon: requests were still in progress at the shutdown timeout")
	}
	cancelTimeout()
	ctx, cancelTimeout = context.WithTimeout(context.Background(), releaseTimeout)
	if err := d.leases.Close(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("daemon: releasing partitions failed; they are taken over after their leases expire")
	}
	_ = d.operator.Shutdown(ctx)
	cancelTimeout()
	cancel()
	d.server.Close()
	d.peers.Close()
	d.Log.Info().Msg("daemon: stopped")
}
