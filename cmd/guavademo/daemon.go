package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavascale.example/guavaconfig"
	"guavascale.example/guavagateway"
	"guavascale.example/guavaoperator"
)

type (
	// daemon is one process of a daemon, and what is observed of it.
	daemon struct {
		*process
		gateway  string
		callers  *fasthttp.HostClient
		operator *guavaoperator.Client
		// ready is what a load balancer sees; stopping is set before SIGTERM
		// is sent.
		ready    atomic.Bool
		stopping atomic.Bool

		mu sync.Mutex
		// seen is when each configuration version, or a higher one, was seen
		// first.
		seen    map[uint64]time.Time
		version uint64
		reverts int
	}

	// dialError marks a connection that was not established.
	dialError struct{ error }
)

const (
	pollInterval    = 50 * time.Millisecond
	pollTimeout     = time.Second
	operatorTimeout = 5 * time.Second
	dialTimeout     = time.Second
	// callerIdle is shorter than the time after which a daemon closes an idle
	// connection, so that no request meets a connection being closed.
	callerIdle = 2 * time.Second
)

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

func newDaemon(p *process, s guavaconfig.Settings, token guavaconfig.Secret) *daemon {
	return &daemon{
		process: p,
		gateway: s.Gateway.Listen,
		callers: &fasthttp.HostClient{
			Addr:                      s.Gateway.Listen,
			MaxConns:                  1024,
			MaxIdleConnDuration:       callerIdle,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      dial,
		},
		operator: &guavaoperator.Client{
			Addresses: []string{s.Operator.Listen}, Token: token, Timeout: operatorTimeout,
		},
		seen: map[uint64]time.Time{},
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// observe polls readiness, as a load balancer does, and the configuration
// until the process ends.
func (d *daemon) observe() {
	go d.observeConfig()
	for !d.ended(pollInterval) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+d.gateway+guavagateway.ReadyPath, pollTimeout)
		d.ready.Store(err == nil && status == fasthttp.StatusOK)
	}
	d.ready.Store(false)
}

func (d *daemon) observeConfig() {
	for !d.ended(pollInterval) {
		cfg, err := d.operator.Config(context.Background())
		if err == nil {
			d.saw(cfg.Version, time.Now())
		}
	}
}

// saw records a configuration version. The polls of one process follow one
// another, so that a lower version than before is a reverted configuration.
func (d *daemon) saw(version uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version < d.version {
		d.reverts++
	}
	for v := d.version + 1; v <= version; v++ {
		d.seen[v] = now
	}
	d.version = max(d.version, version)
}

// sawAt returns when a version was in force first.
func (d *daemon) sawAt(version uint64) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.seen[version]
	return at, ok
}

func (d *daemon) revertCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reverts
}
